// Package peer is the protocol between hosts: net/rpc for control and HTTP for
// requests that one host forwards to another. Both use the host's peer address.
//
// A control call names the incarnation of the host that it is meant for. A host
// that has restarted answers Known false: it has forgotten what it promised.
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
	// HeaderLead names the session's lead in a refusal with reason not-lead.
	HeaderLead = "Poplarcroft-Lead"
	// HeaderSuccessor carries the session that took the slice over, in a refusal with reason not-owner.
	HeaderSuccessor = "Poplarcroft-Successor"
	// HeaderRefusal marks an answer that a host made, not a backend server.
	HeaderRefusal = "Poplarcroft-Refusal"
)

// LeadArgs asks a lessor for its consent.
type LeadArgs struct {
	Incarnation string
	Request     lease.LeadRequest
}

// LeadReply answers LeadArgs. Known is false where the host is no lessor of the session.
type LeadReply struct {
	Known bool
	Reply lease.LeadReply
}

// CloseArgs asks a lessor to join the closing of a session.
type CloseArgs struct {
	Incarnation string
	Request     lease.CloseRequest
}

// CloseReply answers CloseArgs. Known is false where the host is no lessor of the session.
type CloseReply struct {
	Known bool
	Reply lease.CloseReply
	// Entries are all request IDs that the lessor remembers, where it has joined.
	Entries []idempotency.Entry
}

// AdoptArgs activates slices at the session that was named as their successor.
type AdoptArgs struct {
	Session record.SessionID
	From    record.SessionID
	Slices  []backend.SliceGrant
	// Complete says that the entries are all that is remembered of the slices. Otherwise the successor asks all hosts.
	Complete bool
	// Entries are the request IDs that the former owner's lessors remember of the slices.
	Entries []idempotency.Entry
}

// AdoptReply answers AdoptArgs. Adopted is true once the server has confirmed.
// Lead names the session's lead where the host asked is not.
type AdoptReply struct {
	Adopted bool
	Closed  bool
	Lead    string
}

// SessionArgs names a session.
type SessionArgs struct {
	Session record.SessionID
}

// LeadOfReply tells which host the lessor knows as the session's lead, "" for none.
type LeadOfReply struct {
	Known bool
	Lead  string
}

// ProbeReply tells whether the host reaches the session's server under the session's incarnation.
type ProbeReply struct {
	Reached bool
}

// RetiredArgs asks whether a former lessor has retired all versions before the given one.
type RetiredArgs struct {
	Incarnation string
	Session     record.SessionID
	Version     logservice.Offset
}

// RetiredReply answers RetiredArgs. Entries are all request IDs that the lessor
// remembers, where it has retired the versions.
type RetiredReply struct {
	Retired bool
	Entries []idempotency.Entry
}

// HoldArgs copies the claim of a request ID to another lessor before the request
// is sent. From is the lead's name in the lease protocol.
type HoldArgs struct {
	Session record.SessionID
	From    string
	Claim   idempotency.Entry
}

// CopyArgs copies the ends of claims to another lessor. From is the lead's name in the lease protocol.
type CopyArgs struct {
	Session record.SessionID
	From    string
	Entries []idempotency.Entry
}

// CopyReply answers HoldArgs and CopyArgs. Kept is false where the lessor's consent does not
// belong to the sender: a later lead may have read the lessor's memory already.
type CopyReply struct {
	Kept bool
}

// RememberedArgs asks a host for the request IDs that it remembers of slices,
// whatever the session. Count is the number of slices of the service.
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

// WitnessArgs copies remembered request IDs to a host that is no lessor of the
// session, for the case that all lessors are lost.
type WitnessArgs struct {
	Entries []idempotency.Entry
}

// MemoryArgs asks a lessor for the request IDs that it remembers of a session.
// From is the asking lead's name; the lessor's consent must belong to it.
type MemoryArgs struct {
	Session record.SessionID
	From    string
}

// MemoryReply answers MemoryArgs. Known is false where the consent does not belong to the asker.
type MemoryReply struct {
	Known   bool
	Entries []idempotency.Entry
}

// SuspectsArgs passes on evidence against requests that were in flight when servers died.
type SuspectsArgs struct {
	Records []poison.Record
}

// SnapshotReply is a host's folded state of the log.
type SnapshotReply struct {
	Offset logservice.Offset
	Data   []byte
}

// SliceRate is the load of a slice whose server the host leads, in requests per second.
type SliceRate struct {
	Service string
	Slice   int
	Rate    float64
}

// StatusReply is a host's word on itself. Rates lists the slices with any load.
type StatusReply struct {
	Rates       []SliceRate
	Host        string
	Incarnation string
	Applied     logservice.Offset
	Leaving     bool
}

// HostsReply lists the hosts that a host knows, itself included.
type HostsReply struct {
	Hosts []logservice.HostEntry
}

// Empty carries nothing.
type Empty struct{}
