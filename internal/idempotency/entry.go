// Package idempotency remembers the IDs of non-idempotent requests, so that a
// request that its caller repeats runs at most once and gets the first run's answer.
//
// The memory is bounded in entries, bytes and age. It never forgets an ID
// within its retention: where it is full it refuses new ones, truly not run.
//
// The memory of one host is not enough, since hosts are lost. The lead of a
// session claims an ID, waits for a slot, copies the claim to so many other
// lessors that a quorum holds it (Hold), checks that the claim is still its own
// (Claimed), and only then sends the request. A
// host that becomes the lead merges the copies of a quorum (Snapshot, Merge)
// before its first claim, and so finds every claim under which a request may have run.
// Entries form a lattice: merging them in any order, any number of times, gives
// the same result. A claim whose result is not known where it was copied to
// counts as unknown there.
//
// Memory is the state machine, without locks or clock. Table makes it usable by
// concurrent requests and lets a repeat wait for the first run.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// ID names a non-idempotent request: the caller's ID within a service and key.
type ID struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Request string `json:"request"`
}

// Digest identifies a request's contents.
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

// Answer is the answer of a request that ran.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// Omitted says that the body was too large to be kept.
	Omitted bool `json:"omitted,omitempty"`
}

// State is what is known about one attempt to run a request. States are
// ordered: a later one replaces an earlier one of the same attempt.
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

// Entry is one remembered ID, in the form in which hosts exchange it.
type Entry struct {
	ID      ID     `json:"id"`
	Digest  Digest `json:"digest"`
	Attempt int    `json:"attempt"`
	// Claimant is the host that got the claim, or contested.
	Claimant string `json:"claimant"`
	State    State  `json:"state"`
	Answer   Answer `json:"answer"`
	// Age is the time since the entry's last change, on the clock of the host that sent it.
	Age time.Duration `json:"age"`
}

// contested is the claimant of an attempt that two hosts claimed without
// knowing of each other. Whatever one of them says of its own claim, the
// request may have run under the other's.
const contested = "*"

// join returns what two entries of the same ID say together.
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

func later(e, other Entry, otherIsLater bool) Entry {
	if otherIsLater {
		return other
	}
	return e
}

// sameClaim reports whether two entries stand for the same claim in the same state.
func (e Entry) sameClaim(other Entry) bool {
	return e.Digest == other.Digest &&
		e.Attempt == other.Attempt &&
		e.Claimant == other.Claimant &&
		e.State == other.State
}

// entryOverhead is the memory that an entry takes besides its strings and its answer, in bytes.
const entryOverhead = 256

// size returns the memory that the entry takes, in bytes.
func (e Entry) size() int {
	size := entryOverhead + len(e.ID.Service) + len(e.ID.Key) + len(e.ID.Request) + len(e.Claimant) + len(e.Answer.Body)
	for _, header := range e.Answer.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return size
}

// withoutBody returns the entry with its answer's body left out.
func (e Entry) withoutBody() Entry {
	if len(e.Answer.Body) > 0 {
		e.Answer.Body = nil
		e.Answer.Omitted = true
	}
	return e
}
