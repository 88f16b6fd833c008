// Package idempotency gives non-idempotent requests at-most-once execution: it stores
// their IDs, so that a request that its caller repeats runs at most once and gets the
// answer of the first run.
//
// The request-ID store of a host is bounded in entries, bytes and age. It never drops an
// ID before its retention has ended. When it is full, it rejects new IDs as not run.
//
// A host can fail, so its own store is not enough. Package keeper replicates claims: the
// primary of a session, once the request has a slot of the server, claims its ID (Claim),
// replicates the claim until a quorum of the session's lessors has stored it
// (StoreReplica), checks that the claim is still its own (LocalClaim), and only then
// sends the request. A host that becomes the primary first merges the entries of a
// quorum (Snapshot, Merge), and so learns of every claim under which a request may have
// run. (Names on the wire call the primary the lead.)
//
// Entries form a join-semilattice: merging them in any order, any number of times, gives
// the same result. On a host that does not know the result of a claim, the request's
// outcome is unknown.
//
// Store is the state machine, without locks or clock. Table makes it usable by concurrent
// requests and lets a repeated request wait for the first run.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// ID identifies a non-idempotent request: Request is the caller's ID, which is unique
// within a service and key.
type ID struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Request string `json:"request"`
}

// Digest is a hash of a request's contents.
type Digest [16]byte

// DigestOf returns the digest of a request's method, path with query, and body.
func DigestOf(method, path string, body []byte) Digest {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	var digest Digest
	copy(digest[:], hash.Sum(nil))
	return digest
}

// Header is one header of a stored answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is the stored answer to a request that ran.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// Omitted means that the body was too large to be kept, or was dropped later to
	// save space.
	Omitted bool `json:"omitted,omitempty"`
}

// State is what is known about one attempt to run a request. States are ordered: of two
// states of the same attempt, the greater one replaces the other.
type State int

// States of an attempt.
const (
	// StateRunning is a claim whose result is not known yet.
	StateRunning State = iota + 1
	// StateReleased is a claim whose request did not run. The ID may be claimed again.
	StateReleased
	// StateUnknown is a claim whose request may have run.
	StateUnknown
	// StateDone is a claim whose request ran; its answer is known.
	StateDone
)

// Entry is one stored ID, in the form in which hosts exchange it.
type Entry struct {
	ID     ID     `json:"id"`
	Digest Digest `json:"digest"`
	// Attempt numbers the claims of the ID, from 1. A new claim is possible only after
	// the previous one was released.
	Attempt int `json:"attempt"`
	// Claimant is the host that made the claim, or contested.
	Claimant string `json:"claimant"`
	State    State  `json:"state"`
	Answer   Answer `json:"answer"`
	// Age is the time since the entry's last change, on the clock of the host that sent it.
	Age time.Duration `json:"age"`
}

// contested is the claimant of an attempt that two hosts claimed without knowing of each
// other. Whatever state one of them reports for its own claim, the request may have run
// under the other's.
const contested = "*"

// join returns the least upper bound of two entries of the same ID. The later attempt
// wins, then the greater state. Claims of the same attempt by two hosts become contested,
// and their state at least unknown.
func (e Entry) join(other Entry) Entry {
	if e.Attempt != other.Attempt {
		return later(e, other, e.Attempt < other.Attempt)
	}
	if e.Claimant == other.Claimant && e.Claimant != contested {
		return later(e, other, e.State < other.State)
	}
	joined := later(e, other, e.State < other.State)
	if slices.Compare(e.Digest[:], other.Digest[:]) > 0 {
		joined.Digest = e.Digest
	} else {
		joined.Digest = other.Digest
	}
	joined.Claimant = contested
	joined.State = max(joined.State, StateUnknown)
	joined.Age = min(e.Age, other.Age)
	return joined
}

// later returns other if otherIsLater is true, and e otherwise.
func later(e, other Entry, otherIsLater bool) Entry {
	if otherIsLater {
		return other
	}
	return e
}

// sameClaim reports whether two entries describe the same claim in the same state.
func (e Entry) sameClaim(other Entry) bool {
	return e.Digest == other.Digest &&
		e.Attempt == other.Attempt &&
		e.Claimant == other.Claimant &&
		e.State == other.State
}

// entryOverhead is the estimated size of an entry without its strings and answer, in bytes.
const entryOverhead = 256

// size returns the estimated size of the entry in memory, in bytes.
func (e Entry) size() int {
	size := entryOverhead + len(e.ID.Service) + len(e.ID.Key) + len(e.ID.Request) + len(e.Claimant) + len(e.Answer.Body)
	for _, header := range e.Answer.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return size
}

// withoutBody returns the entry without its answer's body.
func (e Entry) withoutBody() Entry {
	if len(e.Answer.Body) > 0 {
		e.Answer.Body = nil
		e.Answer.Omitted = true
	}
	return e
}
