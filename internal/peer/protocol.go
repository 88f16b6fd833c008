// Package peer defines the protocol between hosts and holds its client. It is net/rpc
// for control calls and HTTP for requests that one host forwards to another; both use
// the host's peer address. Package host serves it; packages host, keeper, members and
// route call it.
//
// Names differ from the terms in prose: "lead" is the primary host of a session,
// "memory" and "remembered" are stored request IDs, "hold" and "copy" replicate them.
// net/rpc and gob send the names of methods, types and fields, so they stay.
//
// Calls that depend on consents of a lessor carry the incarnation of the host that
// gave them. A host that has restarted has lost its consents and answers Known or
// Retired false. A call without an answer (ErrUnreachable) may have taken
// effect; its result is unknown to the caller.
package peer

import (
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Paths on a host's peer address.
const (
	// PathRPC takes an HTTP CONNECT that turns the connection into a net/rpc one.
	PathRPC = "/_poplarcroft/rpc"
	// PathForward is followed by the caller's own path of a forwarded request.
	PathForward = "/_poplarcroft/forward"
)

// Headers of a forwarded request and its answer, beside those of package backend.
const (
	// HeaderForwardedBy names the host that forwarded a request.
	HeaderForwardedBy = "Poplarcroft-Forwarded-By"
	// HeaderLead names the session's primary host in a refusal with reason not-lead.
	HeaderLead = "Poplarcroft-Lead"
	// HeaderSuccessor carries the session that took the slice over, in a refusal with reason not-owner.
	HeaderSuccessor = "Poplarcroft-Successor"
	// HeaderRefusal marks an answer that a host gave itself, not a backend server.
	HeaderRefusal = "Poplarcroft-Refusal"
)

// LeadArgs asks a lessor to consent to the sender becoming or staying the primary of a session.
type LeadArgs struct {
	Incarnation string
	Request     lease.LeadRequest
}

// LeadReply answers LeadArgs. Known is false if the host is not a lessor of the session.
type LeadReply struct {
	Known bool
	Reply lease.LeadReply
}

// CloseArgs asks a lessor to consent to the closing of a session.
type CloseArgs struct {
	Incarnation string
	Request     lease.CloseRequest
}

// CloseReply answers CloseArgs. Known is false if the host is not a lessor of the session.
type CloseReply struct {
	Known bool
	Reply lease.CloseReply
	// Entries are all request IDs that the lessor has stored, if it has consented.
	Entries []idempotency.Entry
}

// AdoptArgs asks to activate slices at the session that the log names as their successor.
type AdoptArgs struct {
	Session record.SessionID
	From    record.SessionID
	Slices  []backend.SliceGrant
	// Complete is set if the entries are all request IDs stored for the slices.
	// Otherwise the successor queries all hosts for them.
	Complete bool
	// Entries are the request IDs that the former owner's lessors have stored for the slices.
	Entries []idempotency.Entry
}

// AdoptReply answers AdoptArgs. Adopted is true once the server has confirmed the
// activation. Lead names the session's primary if the called host is not the primary.
type AdoptReply struct {
	Adopted bool
	Closed  bool
	Lead    string
}

// SessionArgs names a session.
type SessionArgs struct {
	Session record.SessionID
}

// LeadOfReply names the host that the lessor regards as the session's primary, "" for none.
// Known is false if the host is not a lessor of the session.
type LeadOfReply struct {
	Known bool
	Lead  string
}

// ProbeReply reports whether the session's server answers this host under the session's incarnation.
type ProbeReply struct {
	Reached bool
}

// RetiredArgs asks whether a former lessor has stopped acting under all versions of the
// session's lessors before the given one.
type RetiredArgs struct {
	Incarnation string
	Session     record.SessionID
	Version     logservice.Offset
}

// RetiredReply answers RetiredArgs. Entries are all request IDs that the lessor
// has stored, if Retired is true.
type RetiredReply struct {
	Retired bool
	Entries []idempotency.Entry
}

// HoldArgs replicates the claim of a request ID to another lessor before the request
// is sent. From is the primary's lessor name (package lease).
type HoldArgs struct {
	Session record.SessionID
	From    string
	Claim   idempotency.Entry
}

// CopyArgs replicates the results of claims to another lessor. From is the primary's
// lessor name (package lease).
type CopyArgs struct {
	Session record.SessionID
	From    string
	Entries []idempotency.Entry
}

// CopyReply answers HoldArgs and CopyArgs. Kept is false if the lessor's consent does
// not belong to the sender: a later primary may have read the stored IDs already.
type CopyReply struct {
	Kept bool
}

// RememberedArgs asks a host for the request IDs that it has stored for slices, under
// any session. Count is the number of slices of the service.
type RememberedArgs struct {
	Service string
	Slices  []int
	Count   int
}

// Matches reports whether the ID belongs to one of the slices.
func (a RememberedArgs) Matches(id idempotency.ID) bool {
	return id.Service == a.Service && a.Count > 0 &&
		slices.Contains(a.Slices, ownership.SliceOf(id.Key, a.Count))
}

// RememberedReply answers RememberedArgs.
type RememberedReply struct {
	Entries []idempotency.Entry
}

// WitnessArgs replicates stored request IDs to a host that is not a lessor of the
// session, in case all lessors are lost.
type WitnessArgs struct {
	Entries []idempotency.Entry
}

// MemoryArgs asks a lessor for the request IDs that it has stored for a session. From is
// the lessor name of the calling primary; the lessor's consent must belong to it.
type MemoryArgs struct {
	Session record.SessionID
	From    string
}

// MemoryReply answers MemoryArgs. Known is false if the consent does not belong to the caller.
type MemoryReply struct {
	Known   bool
	Entries []idempotency.Entry
}

// SuspectsArgs carries evidence against requests that were in flight when servers crashed.
type SuspectsArgs struct {
	Records []poison.Record
}

// SnapshotReply is the state that a host has built by replay of the log up to Offset.
type SnapshotReply struct {
	Offset logservice.Offset
	Data   []byte
}

// SliceRate is the load of a slice in requests per second, reported by the primary of its session.
type SliceRate struct {
	Service string
	Slice   int
	Rate    float64
}

// StatusReply is a host's report on itself. Rates lists the slices with noticeable load.
type StatusReply struct {
	Rates       []SliceRate
	Host        string
	Incarnation string
	Applied     logservice.Offset
	Leaving     bool
}

// HostsReply is a host's list of hosts, itself included.
type HostsReply struct {
	Hosts []logservice.HostEntry
}

// Empty is the type of arguments and replies without contents.
type Empty struct{}
