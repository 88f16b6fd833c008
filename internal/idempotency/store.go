package idempotency

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds holds the limits of a store. A zero Entries, Bytes or BodyBytes means its default.
type Bounds struct {
	// Entries is the maximum number of stored IDs. Default 100000.
	Entries int
	// Bytes is the maximum estimated size of all entries. Default 64 MiB.
	Bytes int
	// BodyBytes is the maximum size of a body that is kept with an answer. Default 16 KiB.
	BodyBytes int
	// Retention is how long an ID is stored after its last change.
	Retention time.Duration
}

// Default bounds.
const (
	DefaultEntries   = 100_000
	DefaultBytes     = 64 << 20
	DefaultBodyBytes = 16 << 10
)

const (
	// minRetryAfter is the shortest retry-after time of a rejected claim.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest retry-after time of a rejected claim.
	maxRetryAfter = 30 * time.Second
)

func (b Bounds) withDefaults() Bounds {
	if b.Entries == 0 {
		b.Entries = DefaultEntries
	}
	if b.Bytes == 0 {
		b.Bytes = DefaultBytes
	}
	if b.BodyBytes == 0 {
		b.BodyBytes = DefaultBodyBytes
	}
	return b
}

// Kind is the kind of a decision on a claim.
type Kind int

// Kinds of decisions.
const (
	// KindNew means that the claim was made. The caller may run the request and must
	// finish the claim.
	KindNew Kind = iota + 1
	// KindRunning means that this host is running the request.
	KindRunning
	// KindDone means that the request ran; the decision holds its answer.
	KindDone
	// KindUnknown means that the request may have run.
	KindUnknown
	// KindMismatch means that the ID was used for a request with other contents.
	KindMismatch
	// KindFull means that the store is full. The request did not run.
	KindFull
)

// Decision is the answer to a claim.
type Decision struct {
	Kind Kind
	// Attempt is the number of the claim; it is set with KindNew.
	Attempt int
	// Answer is set with KindDone.
	Answer Answer
	// RetryAfter is set with KindFull.
	RetryAfter time.Duration
}

// Result is how a claim ended.
type Result struct {
	// State is StateDone, StateUnknown or StateReleased.
	State State
	// Answer is set with StateDone.
	Answer Answer
}

// storedEntry is an entry together with its local state.
type storedEntry struct {
	entry Entry
	// local means that this host runs the request now. A local entry does not expire.
	local bool
	// changed is the time of the last change on this host's clock.
	changed time.Time
	// knownElsewhere means that another host may have the entry.
	knownElsewhere bool
	// removed means that the entry is no longer in the index. It may still be in byAge.
	removed bool
}

// Store holds request IDs. It is not safe for concurrent use.
type Store struct {
	host   string
	bounds Bounds
	index  map[ID]*storedEntry
	// byAge holds the entries that expire, in the order of their last change, oldest first.
	byAge []*storedEntry
	// bodilessCount is the number of entries at the start of byAge that hold no body.
	bodilessCount int
	// bytes is the estimated size of all entries, bodyBytes the part taken by their bodies.
	bytes     int
	bodyBytes int
}

// NewStore returns the empty store of a host. The host's name must differ for each of its
// incarnations, because a restarted host has lost its claims.
func NewStore(host string, bounds Bounds) *Store {
	return &Store{host: host, bounds: bounds.withDefaults(), index: make(map[ID]*storedEntry)}
}

// SetRetention changes how long IDs are stored.
func (s *Store) SetRetention(retention time.Duration) {
	s.bounds.Retention = retention
}

// Lookup returns the decision that Claim would return, without claiming the ID. It does not
// check whether the store has room.
func (s *Store) Lookup(now time.Time, id ID, digest Digest) Decision {
	s.expire(now)
	known, ok := s.index[id]
	switch {
	case !ok:
		return Decision{Kind: KindNew, Attempt: 1}
	case known.entry.Digest != digest:
		return Decision{Kind: KindMismatch}
	case known.entry.mayRun():
		return Decision{Kind: KindNew, Attempt: known.entry.lastAttempt() + 1}
	default:
		return known.decision()
	}
}

// Claim claims an ID for a request if it may run now. The digest detects an ID that is
// used again for another request.
func (s *Store) Claim(now time.Time, id ID, digest Digest) Decision {
	decision := s.Lookup(now, id, digest)
	if decision.Kind != KindNew {
		return decision
	}
	entry := Entry{ID: id, Digest: digest}
	if known, ok := s.index[id]; ok {
		entry = known.entry
	}
	entry = entry.withClaim(Claim{Claimant: s.host, Attempt: decision.Attempt, State: StateRunning})
	if !s.hasRoomFor(entry) {
		return Decision{Kind: KindFull, RetryAfter: s.untilNextExpiry(now)}
	}
	s.put(&storedEntry{entry: entry, local: true, changed: now})
	return decision
}

// Finish ends a claim that this host made. With StateReleased the caller guarantees that
// the request did not run and never will under this claim. Finish returns false if this
// host does not have the claim.
func (s *Store) Finish(now time.Time, id ID, attempt int, result Result) bool {
	known, ok := s.localEntry(id, attempt)
	if !ok {
		return false
	}
	switch result.State {
	case StateDone, StateUnknown, StateReleased:
	default:
		panic(errors.AssertionFailedf("idempotency: a claim cannot end in state %d", result.State))
	}
	if result.State == StateReleased && !known.knownElsewhere && attempt == 1 {
		s.remove(known)
		return true
	}
	entry := known.entry.withClaim(Claim{Claimant: s.host, Attempt: attempt, State: result.State})
	if result.State == StateDone {
		entry.Answer = result.Answer
	}
	s.put(&storedEntry{entry: s.limitBody(entry), changed: now, knownElsewhere: known.knownElsewhere})
	return true
}

// LocalClaim returns the entry of a claim, for replication to another host, and true while
// the claim is this host's own and the request is not known to have run, or to be running, under the claim of
// another host.
func (s *Store) LocalClaim(now time.Time, id ID, attempt int) (Entry, bool) {
	known, ok := s.localEntry(id, attempt)
	if !ok || !known.entry.othersReleased(s.host) {
		return Entry{}, false
	}
	return known.export(now), true
}

// localEntry returns the entry of a claim that this host made and has not ended.
func (s *Store) localEntry(id ID, attempt int) (*storedEntry, bool) {
	known, ok := s.index[id]
	if !ok || !known.local {
		return nil, false
	}
	own, ok := known.entry.claimOf(s.host)
	return known, ok && own.Attempt == attempt
}

// Get returns the entry of an ID, for replication to another host.
func (s *Store) Get(now time.Time, id ID) (Entry, bool) {
	known, ok := s.index[id]
	if !ok {
		return Entry{}, false
	}
	return known.export(now), true
}

// StoreReplica merges another host's entry and reports whether the claim in it that is not released is
// stored here now and no other host's claim may have run the request, so that no host which merges this
// store will run the request. If StoreReplica returns
// false, this copy does not count towards the quorum that the claim needs: without the
// quorum the other host must not run the request under this claim.
func (s *Store) StoreReplica(now time.Time, entry Entry) bool {
	s.Merge(now, []Entry{entry})
	known, ok := s.index[entry.ID]
	claimed := slices.IndexFunc(entry.Claims, func(c Claim) bool { return c.State != StateReleased })
	if !ok || claimed < 0 {
		return false
	}
	claim := entry.Claims[claimed]
	stored, ok := known.entry.claimOf(claim.Claimant)
	return ok && stored.Attempt == claim.Attempt && stored.State != StateReleased && known.entry.othersReleased(claim.Claimant)
}

// Snapshot returns the entries whose IDs match, oldest change first. A nil match selects all.
func (s *Store) Snapshot(now time.Time, match func(ID) bool) []Entry {
	s.expire(now)
	entries := make([]Entry, 0, len(s.index))
	for id, known := range s.index {
		if match == nil || match(id) {
			entries = append(entries, known.export(now))
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(b.Age, a.Age) })
	return entries
}

// Merge merges entries of another host. It returns the number of entries that it could not
// store because the store is full. If there are any, this host must not run a request
// whose ID it does not have, since the request may have run before.
func (s *Store) Merge(now time.Time, entries []Entry) (lost int) {
	s.expire(now)
	for _, entry := range entries {
		if !s.merge(now, entry) {
			lost++
		}
	}
	s.sortByAge()
	return lost
}

// merge merges one entry. It returns false if there was no room for it.
func (s *Store) merge(now time.Time, entry Entry) bool {
	if entry.Age >= s.bounds.Retention {
		return true
	}
	if len(entry.Claims) == 0 {
		// Hosts of an older version send entries without claims. The request may have run.
		entry = entry.withClaim(Claim{Attempt: 1, State: StateUnknown})
	}
	local := false
	if known, ok := s.index[entry.ID]; ok {
		joined := known.entry.join(entry)
		if joined.sameClaims(known.entry) {
			return true
		}
		entry, local = joined, known.local
	}
	entry = s.limitBody(entry)
	if !s.hasRoomFor(entry.withoutBody()) {
		return false
	}
	changed := now.Add(-entry.Age)
	entry.Age = 0
	s.put(&storedEntry{entry: entry, local: local, changed: changed, knownElsewhere: true})
	return true
}

// Len returns the number of stored IDs.
func (s *Store) Len() int {
	return len(s.index)
}

// Bytes returns the estimated size of all entries.
func (s *Store) Bytes() int {
	return s.bytes
}

// decision returns the decision on a repeated request.
func (e *storedEntry) decision() Decision {
	switch {
	case e.isDone():
		return Decision{Kind: KindDone, Answer: e.entry.Answer}
	case e.local:
		return Decision{Kind: KindRunning}
	default:
		return Decision{Kind: KindUnknown}
	}
}

// isDone reports whether the request ran and its answer is known.
func (e *storedEntry) isDone() bool {
	_, done := e.entry.doneClaim()
	return done
}

// export returns the entry in the form for other hosts, and marks it as known to them.
func (e *storedEntry) export(now time.Time) Entry {
	e.knownElsewhere = true
	entry := e.entry
	entry.Age = now.Sub(e.changed)
	if e.local {
		entry.Age = 0
	}
	return entry
}
