// Package logservice describes two outside services of a deployment: an
// append-only log and a lagging list of hosts. It holds the interfaces, the
// shapes of their HTTP protocol and a client. Small stand-ins live in package
// standin.
//
// The log's HTTP protocol:
//
//	POST /v1/streams/{stream}/records         body: record bytes      -> 201 AppendReply
//	GET  /v1/streams/{stream}/records?from=N&max=M&wait_ms=W          -> 200 ReadReply
//
// A read from an offset below the first retained one answers 410 with a
// ReadReply whose First field tells where the stream begins. An append may
// take effect although its answer is lost.
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

// Stream is the name of the one stream that the system keeps in the log.
const Stream = "poplarcroft"

// ErrTrimmed reports a read from an offset that the log no longer keeps.
var ErrTrimmed = errors.New("log: offset is no longer retained")

// ErrUnavailable reports that the log did not answer. An append that ends with
// it may or may not have taken effect.
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

// ReadReply is the answer to a read: entries in offset order, the first
// retained offset and the offset that the next append will get.
type ReadReply struct {
	Entries []Entry `json:"entries"`
	First   Offset  `json:"first"`
	Next    Offset  `json:"next"`
}

// Log is the platform's append-only log, seen from one client. It is safe for
// concurrent use.
type Log interface {
	// Append adds data to the stream. ErrUnavailable leaves open whether it took effect.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns at most max entries from the offset on and waits up to wait
	// for one where there is none. It returns ErrTrimmed together with a reply
	// whose First is set where from is no longer retained.
	Read(ctx context.Context, from Offset, max int, wait time.Duration) (ReadReply, error)
}

// HostState is a host's state in the platform's list. The list lags.
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
	// List returns the platform's list of hosts, which may lag or mislead.
	List(ctx context.Context) (HostList, error)
	// Announce puts this host's entry into the list, or replaces it.
	Announce(ctx context.Context, entry HostEntry) error
	// Withdraw removes a host's entry.
	Withdraw(ctx context.Context, name string) error
}
