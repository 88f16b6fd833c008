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
	"cmp"
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

// State is what is known about one claim. States are ordered: of two states of the same claim, the
// greater one replaces the other.
type State int

// States of a claim.
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

// Claim is the last claim of an ID that is known of one host.
type Claim struct {
	// Claimant is the host that made the claim.
	Claimant string `json:"claimant"`
	// Attempt numbers the claims of the ID, from 1. A host makes a new claim only after it has
	// released its former one.
	Attempt int   `json:"attempt"`
	State   State `json:"state"`
}

// Entry is one stored ID, in the form in which hosts exchange it. Entries are not changed once made.
type Entry struct {
	ID     ID     `json:"id"`
	Digest Digest `json:"digest"`
	// Claims holds the last claim of each host that has claimed the ID, by claimant in ascending order. A later
	// claim of a host tells that its former ones were released, and nothing of the claims of other
	// hosts, of which it may not have known.
	Claims []Claim `json:"claims"`
	// Answer is the answer under the claim that is done, if there is one.
	Answer Answer `json:"answer"`
	// Age is the time since the entry's last change, on the clock of the host that sent it.
	Age time.Duration `json:"age"`
}

// claimOf returns the claim of a host.
func (e Entry) claimOf(claimant string) (Claim, bool) {
	for _, c := range e.Claims {
		if c.Claimant == claimant {
			return c, true
		}
	}
	return Claim{}, false
}

// withClaim returns the entry with a claim in place of any other of its claimant.
func (e Entry) withClaim(claim Claim) Entry {
	claims := make([]Claim, 0, len(e.Claims)+1)
	for _, c := range e.Claims {
		if c.Claimant != claim.Claimant {
			claims = append(claims, c)
		}
	}
	claims = append(claims, claim)
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Claimant, b.Claimant) })
	e.Claims = claims
	return e
}

// lastAttempt returns the highest number of a claim, or zero if there is none.
func (e Entry) lastAttempt() int {
	last := 0
	for _, c := range e.Claims {
		last = max(last, c.Attempt)
	}
	return last
}

// othersReleased reports whether the request did not run under any claim of another host.
func (e Entry) othersReleased(claimant string) bool {
	return !slices.ContainsFunc(e.Claims, func(c Claim) bool { return c.Claimant != claimant && c.State != StateReleased })
}

// mayRun reports whether the request did not run under any claim.
func (e Entry) mayRun() bool {
	return len(e.Claims) > 0 && !slices.ContainsFunc(e.Claims, func(c Claim) bool { return c.State != StateReleased })
}

// doneClaim returns the claim under which the request ran, of several the one with the highest number.
func (e Entry) doneClaim() (Claim, bool) {
	done, found := Claim{}, false
	for _, c := range e.Claims {
		if c.State == StateDone && (!found || c.Attempt > done.Attempt) {
			done, found = c, true
		}
	}
	return done, found
}

// join returns the least upper bound of two entries of the same ID: for each host its later claim or,
// of two states of the same claim, the greater one.
func (e Entry) join(other Entry) Entry {
	joined := e
	for _, c := range other.Claims {
		if known, ok := e.claimOf(c.Claimant); !ok || known.before(c) {
			joined = joined.withClaim(c)
		}
	}
	if slices.Compare(e.Digest[:], other.Digest[:]) < 0 {
		joined.Digest = other.Digest
	}
	if done, ok := joined.doneClaim(); ok && !slices.Contains(e.Claims, done) {
		joined.Answer = other.Answer
	}
	switch {
	case joined.sameClaims(e):
		joined.Age = e.Age
	case joined.sameClaims(other):
		joined.Age = other.Age
	default:
		joined.Age = min(e.Age, other.Age)
	}
	return joined
}

// before reports whether another claim of the same host replaces this one.
func (c Claim) before(other Claim) bool {
	return c.Attempt < other.Attempt || c.Attempt == other.Attempt && c.State < other.State
}

// sameClaims reports whether two entries hold the same claims in the same states.
func (e Entry) sameClaims(other Entry) bool {
	return e.Digest == other.Digest && slices.Equal(e.Claims, other.Claims)
}

// entryOverhead is the estimated size of an entry with one claim, without its strings and answer, and
// claimOverhead that of one more claim, in bytes.
const (
	entryOverhead = 304
	claimOverhead = 48
)

// size returns the estimated size of the entry in memory, in bytes.
func (e Entry) size() int {
	size := entryOverhead + len(e.ID.Service) + len(e.ID.Key) + len(e.ID.Request) + len(e.Answer.Body)
	for i, c := range e.Claims {
		size += len(c.Claimant)
		if i > 0 {
			size += claimOverhead
		}
	}
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
