package idempotency

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of a memory. A zero Entries, Bytes or BodyBytes stands for its default.
type Bounds struct {
	// Entries is the largest number of remembered IDs. Default 100000.
	Entries int
	// Bytes is the largest memory taken by them. Default 64 MiB.
	Bytes int
	// BodyBytes is the largest body kept with an answer. Default 16 KiB.
	BodyBytes int
	// Retention is how long an ID is remembered after its last change.
	Retention time.Duration
}

// Default bounds.
const (
	DefaultEntries   = 100_000
	DefaultBytes     = 64 << 20
	DefaultBodyBytes = 16 << 10
)

const (
	// minRetryAfter is the shortest time after which a refused caller may come back.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest such time.
	maxRetryAfter = 30 * time.Second
)

func (b Bounds) normal() Bounds {
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

// Kind is the kind of a verdict on a claim.
type Kind int

// Kinds of verdicts.
const (
	// KindNew lets the caller run the request; it must finish the claim.
	KindNew Kind = iota + 1
	// KindRunning says that this host is running the request.
	KindRunning
	// KindDone says that the request ran; the verdict holds its answer.
	KindDone
	// KindUnknown says that the request may have run.
	KindUnknown
	// KindMismatch says that the ID was used for another request.
	KindMismatch
	// KindFull says that the memory is full. The request did not run.
	KindFull
)

// Verdict is the answer to a claim.
type Verdict struct {
	Kind Kind
	// Attempt numbers the claim; it is set with KindNew.
	Attempt int
	// Answer is set with KindDone.
	Answer Answer
	// RetryAfter is set with KindFull.
	RetryAfter time.Duration
}

// Result is the end of a claim.
type Result struct {
	// State is StateDone, StateUnknown or StateReleased.
	State State
	// Answer is set with StateDone.
	Answer Answer
}

// stored is an entry together with its local state.
type stored struct {
	entry Entry
	// local says that this host runs the request now. A local entry does not age.
	local bool
	// changed is the time of the last change on this host's clock.
	changed time.Time
	// copied says that another host may know of the entry.
	copied bool
	// replaced says that a later one took its place in the index.
	replaced bool
}

// Memory remembers request IDs. It is not safe for concurrent use.
type Memory struct {
	host   string
	bounds Bounds
	index  map[ID]*stored
	// order holds the entries that age, oldest change first.
	order []*stored
	// stripped is the number of entries at the start of order that hold no body.
	stripped int
	// bytes is the memory taken by all entries, bodyBytes the part of it that their bodies take.
	bytes     int
	bodyBytes int
}

// NewMemory returns the empty memory of a host. The host's name differs for each
// of its incarnations.
func NewMemory(host string, bounds Bounds) *Memory {
	return &Memory{host: host, bounds: bounds.normal(), index: make(map[ID]*stored)}
}

// SetRetention changes how long IDs are remembered.
func (m *Memory) SetRetention(retention time.Duration) {
	m.bounds.Retention = retention
}

// Lookup returns the verdict that a claim would get, but claims nothing.
func (m *Memory) Lookup(now time.Time, id ID, digest Digest) Verdict {
	m.expire(now)
	known, ok := m.index[id]
	switch {
	case !ok:
		return Verdict{Kind: KindNew, Attempt: 1}
	case known.entry.Digest != digest:
		return Verdict{Kind: KindMismatch}
	case known.entry.State == StateReleased:
		return Verdict{Kind: KindNew, Attempt: known.entry.Attempt + 1}
	default:
		return known.verdict()
	}
}

// Claim asks whether the request may run now.
func (m *Memory) Claim(now time.Time, id ID, digest Digest) Verdict {
	verdict := m.Lookup(now, id, digest)
	if verdict.Kind != KindNew {
		return verdict
	}
	entry := Entry{ID: id, Digest: digest, Attempt: verdict.Attempt, Claimant: m.host, State: StateRunning}
	if !m.fits(entry) {
		return Verdict{Kind: KindFull, RetryAfter: m.untilExpiry(now)}
	}
	m.put(&stored{entry: entry, local: true, changed: now})
	return verdict
}

// Finish ends a claim that this host got. A result of StateReleased promises
// that the request did not run and never will under this claim. It returns
// false where this host does not hold the claim.
func (m *Memory) Finish(now time.Time, id ID, attempt int, result Result) bool {
	known, ok := m.index[id]
	if !ok || !known.local || known.entry.Attempt != attempt {
		return false
	}
	switch result.State {
	case StateDone, StateUnknown, StateReleased:
	default:
		panic(errors.AssertionFailedf("idempotency: a claim cannot end in state %d", result.State))
	}
	if result.State == StateReleased && !known.copied && attempt == 1 {
		m.remove(known)
		return true
	}
	entry := known.entry
	entry.State = result.State
	if result.State == StateDone {
		entry.Answer = result.Answer
	}
	m.put(&stored{entry: m.fitting(entry), changed: now, copied: known.copied})
	return true
}

// Claimed returns the entry of a claim, for copying it to another host, and
// true while this host holds the claim.
func (m *Memory) Claimed(now time.Time, id ID, attempt int) (Entry, bool) {
	known, ok := m.index[id]
	if !ok || !known.local || known.entry.Attempt != attempt {
		return Entry{}, false
	}
	return known.export(now), true
}

// Get returns the entry of an ID, for copying it to another host.
func (m *Memory) Get(now time.Time, id ID) (Entry, bool) {
	known, ok := m.index[id]
	if !ok {
		return Entry{}, false
	}
	return known.export(now), true
}

// Hold takes in another host's claim and reports whether it is remembered here
// now, so that no host which merges this memory will run the request. Where it
// returns false the other host must not run the request under this claim.
func (m *Memory) Hold(now time.Time, claim Entry) bool {
	m.Merge(now, []Entry{claim})
	known, ok := m.index[claim.ID]
	return ok && known.entry.State != StateReleased &&
		known.entry.Attempt == claim.Attempt && known.entry.Claimant == claim.Claimant
}

// Snapshot returns the entries that match, oldest change first. A nil match selects all.
func (m *Memory) Snapshot(now time.Time, match func(ID) bool) []Entry {
	m.expire(now)
	entries := make([]Entry, 0, len(m.index))
	for id, known := range m.index {
		if match == nil || match(id) {
			entries = append(entries, known.export(now))
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(b.Age, a.Age) })
	return entries
}

// Merge takes in entries of another host. It returns how many IDs it could not
// take in because the memory is full; a host with such a loss must not run
// requests that it does not know.
func (m *Memory) Merge(now time.Time, entries []Entry) (lost int) {
	m.expire(now)
	for _, entry := range entries {
		if !m.merge(now, entry) {
			lost++
		}
	}
	m.sort()
	return lost
}

// merge takes in one entry and reports whether it is remembered now.
func (m *Memory) merge(now time.Time, entry Entry) bool {
	if entry.Age >= m.bounds.Retention {
		return true
	}
	if known, ok := m.index[entry.ID]; ok {
		joined := known.entry.join(entry)
		if joined.sameClaim(known.entry) {
			return true
		}
		entry = joined
	}
	entry = m.fitting(entry)
	if !m.fits(entry.withoutBody()) {
		return false
	}
	changed := now.Add(-entry.Age)
	entry.Age = 0
	m.put(&stored{entry: entry, changed: changed, copied: true})
	return true
}

// Len returns the number of remembered IDs.
func (m *Memory) Len() int {
	return len(m.index)
}

// Bytes returns the memory that they take.
func (m *Memory) Bytes() int {
	return m.bytes
}

// verdict returns the answer to a repeat of a known request.
func (s *stored) verdict() Verdict {
	switch {
	case s.entry.State == StateDone:
		return Verdict{Kind: KindDone, Answer: s.entry.Answer}
	case s.local:
		return Verdict{Kind: KindRunning}
	default:
		return Verdict{Kind: KindUnknown}
	}
}

// export returns the entry as other hosts get it.
func (s *stored) export(now time.Time) Entry {
	s.copied = true
	entry := s.entry
	entry.Age = now.Sub(s.changed)
	if s.local {
		entry.Age = 0
	}
	return entry
}
