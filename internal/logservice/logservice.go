// Package logservice defines two services of the platform that a deployment relies
// on: an append-only log and a list of hosts. It holds their interfaces, the types
// of their HTTP protocols and a client. Small stand-ins are in package standin.
//
// Hosts and the operators' command use the client. The log may be unavailable, lose
// the answer to an append that took effect, and trim its oldest records. The list of
// hosts may be outdated or wrong.
//
// The log's HTTP protocol:
//
//	POST /v1/streams/{stream}/records         body: record bytes      -> 201 AppendReply
//	GET  /v1/streams/{stream}/records?from=N&max=M&wait_ms=W          -> 200 ReadReply
//
// A read from an offset below the first retained one answers 410 with a
// ReadReply whose First field is the first retained offset. An append may take
// effect although its answer is lost.
//
// The host list's HTTP protocol:
//
//	GET    /v1/hosts                           -> 200 HostList
//	PUT    /v1/hosts/{name}   body: HostEntry  -> 204
//	DELETE /v1/hosts/{name}                    -> 204
package logservice

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Offset is a record's position in a stream. The first offset is 1; zero means none.
type Offset uint64

// Stream is the name of the only stream of the log that the system uses.
const Stream = "poplarcroft"

// ErrTrimmed reports a read from an offset that the log no longer retains.
var ErrTrimmed = errors.New("log: offset is no longer retained")

// ErrUnavailable reports that the log did not answer, or answered with an unexpected
// status. An append that fails with it may or may not have taken effect.
var ErrUnavailable = errors.New("log: unavailable")

// Entry is a record as read from the log.
type Entry struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// AppendReply is the answer to an append.
type AppendReply struct {
	Offset Offset `json:"offset"`
}

// ReadReply is the answer to a read: Entries in offset order, First, the first
// retained offset, and Next, the offset that the next append will get.
type ReadReply struct {
	Entries []Entry `json:"entries"`
	First   Offset  `json:"first"`
	Next    Offset  `json:"next"`
}

// Log is the platform's append-only log, seen from one client. It is safe for
// concurrent use.
type Log interface {
	// Append adds data to the stream and returns its offset. After ErrUnavailable the
	// append may or may not have taken effect.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns at most max entries, starting at the offset from. If there are none,
	// it waits up to wait for one. If from is no longer retained, it returns ErrTrimmed
	// and a reply whose First is set.
	Read(ctx context.Context, from Offset, max int, wait time.Duration) (ReadReply, error)
}

// HostState is a host's state in the platform's list, which may be outdated.
type HostState string

// States of a host in the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostEntry is one host in the platform's list. Incarnation changes with every
// start of the host's process.
type HostEntry struct {
	Name        string    `json:"name"`
	Zone        string    `json:"zone"`
	PeerAddr    string    `json:"peer_addr"`
	AdminAddr   string    `json:"admin_addr"`
	Incarnation string    `json:"incarnation"`
	State       HostState `json:"state"`
}

// HostList is the platform's list of hosts, ordered by name.
type HostList struct {
	Hosts []HostEntry `json:"hosts"`
}

// Hosts is the platform's host list, seen from one client.
type Hosts interface {
	// List returns the platform's list of hosts, which may be outdated or wrong.
	List(ctx context.Context) (HostList, error)
	// Announce adds the entry of this host to the list, or replaces it.
	Announce(ctx context.Context, entry HostEntry) error
	// Withdraw removes the entry of the named host.
	Withdraw(ctx context.Context, name string) error
}
