package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxCrashes is the maximum number of crashes stored per request.
	maxCrashes = 8
	// durableCrashes is the number of crashes from which on the evidence against a request is kept
	// outside the hosts, and sent on by other hosts than the one that has recorded it.
	durableCrashes = 2
	// evictionDivisor determines how much an eviction frees in addition to the excess:
	// the maximum number of requests divided by it.
	evictionDivisor = 10
	// DefaultRequests is the default of Bounds.Requests.
	DefaultRequests = 10_000
)

// Bounds holds the limits of an EvidenceStore.
type Bounds struct {
	// CrashLimit is the number of crashes that blocks a request if at least one of them
	// occurred while it ran alone. Values below 1 count as 1.
	CrashLimit int
	// SharedCrashLimit is the number of crashes that blocks a request in any case. Zero means
	// one more than CrashLimit.
	SharedCrashLimit int
	// Retention is how long a crash is stored.
	Retention time.Duration
	// Requests is the maximum number of requests with evidence. Zero means DefaultRequests.
	Requests int
}

// Source says how a host has learned of a crash.
type Source string

// Sources of crashes.
const (
	// ConnectionRefused means that the server's address refused a connection.
	ConnectionRefused Source = "connection refused"
	// Discovery means that the service discovery, or the end of the server's session, told of it.
	Discovery Source = "service discovery"
	// OtherHost means that another host sent the evidence.
	OtherHost Source = "other host"
	// SharedState means that the evidence was read from the shared state.
	SharedState Source = "shared state"
)

// Change is a change of the number of crashes that count against a request.
type Change struct {
	Fingerprint Fingerprint
	// Server is the server incarnation whose crash was added or cleared. It is empty if a success of
	// the request on this host has cleared all.
	Server Server
	// Source says how this host has learned of the change. It is empty after a success on this host.
	Source Source
	// Before and After are the numbers of crashes that count.
	Before, After int
}

// crash is the evidence of one server crash against a request.
type crash struct {
	// alone means that nothing else was in flight on the server.
	alone bool
	// cleared means that the request has finished since, or shortly before, so that it did not cause the crash.
	cleared bool
	// imported means that all that is known of the crash comes from other hosts.
	imported bool
	at       time.Time
	// sequence is the sequence number of the last change, for Export.
	sequence uint64
}

// record returns the crash as other hosts get it.
func (c crash) record(now time.Time, f Fingerprint, server Server) Record {
	return Record{Fingerprint: f, Death: server, Alone: c.alone, Cleared: c.cleared, Age: now.Sub(c.at)}
}

// evidence holds the crashes during which one request was in flight.
type evidence struct {
	crashes map[Server]crash
}

// latestCrash returns the time of the latest crash.
func (e *evidence) latestCrash() time.Time {
	var latest time.Time
	for _, c := range e.crashes {
		if c.at.After(latest) {
			latest = c.at
		}
	}
	return latest
}

// EvidenceStore holds the evidence against requests. It is not safe for concurrent use.
type EvidenceStore struct {
	bounds   Bounds
	requests map[Fingerprint]*evidence
	// sequence numbers the changes, so that Export returns only newer ones. exportable is the last one that Export may return.
	sequence, exportable uint64
	// changes lists the changes in order, also those that newer ones of the same crash have replaced, which are removed once
	// the list has compactAt entries.
	changes   []change
	compactAt int
	// successes holds the requests that this host has lately seen finish.
	successes recentSuccesses
	// sendsOn reports whether this host sends evidence of others against a request on.
	sendsOn func(Fingerprint) bool
	// onChange is called with each change of the number of crashes that count against a request.
	onChange func(Change)
}

// change refers to the change of one crash.
type change struct {
	sequence    uint64
	fingerprint Fingerprint
	server      Server
}

// minCompactAt is the least number of changes from which on replaced ones are removed.
const minCompactAt = 256

// NewEvidenceStore returns an empty store.
func NewEvidenceStore(bounds Bounds) *EvidenceStore {
	s := &EvidenceStore{requests: make(map[Fingerprint]*evidence), compactAt: minCompactAt, sendsOn: func(Fingerprint) bool { return true }, onChange: func(Change) {}}
	s.Configure(bounds)
	return s
}

// Configure changes the bounds.
func (s *EvidenceStore) Configure(bounds Bounds) {
	bounds.CrashLimit = max(bounds.CrashLimit, 1)
	if bounds.SharedCrashLimit == 0 {
		bounds.SharedCrashLimit = bounds.CrashLimit + 1
	}
	if bounds.Requests == 0 {
		bounds.Requests = DefaultRequests
	}
	s.bounds = bounds
}

// Add records that a request was in flight when a server crashed. Alone means that it
// ran alone.
func (s *EvidenceStore) Add(now time.Time, f Fingerprint, server Server, alone bool, source Source) {
	s.addAndReport(now, Record{Fingerprint: f, Death: server, Alone: alone}, source)
	s.evict(now)
}

// Clear records that a request has finished on a server, so that it caused none of the
// crashes known so far, and none that follow within successWindow.
func (s *EvidenceStore) Clear(now time.Time, f Fingerprint) {
	s.successes.add(now, f, s.bounds.Requests)
	e, ok := s.requests[f]
	if !ok {
		return
	}
	before, _ := s.countCrashes(now, f)
	if before > 0 {
		defer s.onChange(Change{Fingerprint: f, Before: before})
	}
	for server, c := range e.crashes {
		if !c.cleared {
			c.cleared = true
			c.imported = false
			e.crashes[server] = s.withNextSequence(f, server, c)
		}
	}
}

// Check returns the suspicion against a request.
func (s *EvidenceStore) Check(now time.Time, f Fingerprint) Suspicion {
	crashes, alone := s.countCrashes(now, f)
	switch {
	case crashes == 0:
		return Clean
	case crashes >= s.bounds.SharedCrashLimit:
		return Blocked
	case crashes >= s.bounds.CrashLimit && alone > 0:
		return Blocked
	default:
		return Suspect
	}
}

// countCrashes returns the number of crashes that count against a request, and how many
// of them occurred while it ran alone.
func (s *EvidenceStore) countCrashes(now time.Time, f Fingerprint) (crashes, alone int) {
	e, ok := s.requests[f]
	if !ok {
		return 0, 0
	}
	for _, c := range e.crashes {
		if c.cleared || s.expired(now, c) {
			continue
		}
		crashes++
		if c.alone {
			alone++
		}
	}
	return crashes, alone
}

// Import adds records of other hosts. Order and repetition make no difference.
func (s *EvidenceStore) Import(now time.Time, records []Record, source Source) {
	for _, record := range records {
		s.addAndReport(now, record, source)
	}
	s.evict(now)
}

// addAndReport merges one record into the evidence and reports whether this changes the number of
// crashes that count.
func (s *EvidenceStore) addAndReport(now time.Time, record Record, source Source) {
	before, _ := s.countCrashes(now, record.Fingerprint)
	s.add(now, record, source == OtherHost || source == SharedState)
	after, _ := s.countCrashes(now, record.Fingerprint)
	if after >= durableCrashes && s.exportable < s.sequence && s.sendsOn(record.Fingerprint) {
		s.exportable = s.sequence
	}
	if before != after {
		s.onChange(Change{Fingerprint: record.Fingerprint, Server: record.Death, Source: source, Before: before, After: after})
	}
}

// add merges one record into the evidence. imported says that it comes from another host.
func (s *EvidenceStore) add(now time.Time, record Record, imported bool) {
	if record.Age >= s.bounds.Retention {
		return
	}
	e, ok := s.requests[record.Fingerprint]
	if !ok {
		e = &evidence{crashes: make(map[Server]crash)}
		s.requests[record.Fingerprint] = e
	}
	c, known := e.crashes[record.Death]
	if !known {
		if len(e.crashes) >= maxCrashes && (record.Cleared || !e.removeCleared()) {
			return
		}
		c.at = now.Add(-record.Age)
		c.imported = imported
	}
	merged := c
	merged.imported = c.imported && imported
	merged.alone = c.alone || record.Alone
	merged.cleared = c.cleared || record.Cleared
	if !merged.cleared && s.successes.before(merged.at, record.Fingerprint) {
		// The other hosts must learn of it from this one.
		merged.cleared, merged.imported = true, false
	}
	if !known || merged != c {
		e.crashes[record.Death] = s.withNextSequence(record.Fingerprint, record.Death, merged)
	}
}

// removeCleared removes the oldest cleared crash. It returns false if there is none.
func (e *evidence) removeCleared() bool {
	var oldest Server
	found := false
	for server, c := range e.crashes {
		if c.cleared && (!found || c.at.Before(e.crashes[oldest].at)) {
			oldest, found = server, true
		}
	}
	delete(e.crashes, oldest)
	return found
}

// Export returns the records that changed after the given sequence number, and the
// sequence number to pass to the next call. Zero returns all records. Imported records of a
// request are left out until it has crashed durableCrashes servers: the host that they come
// from sends them to all others. From then on some hosts send them on, see Guard.SendOnIf.
func (s *EvidenceStore) Export(now time.Time, since uint64) ([]Record, uint64) {
	if since >= s.exportable {
		return nil, s.sequence
	}
	var records []Record
	first, _ := slices.BinarySearchFunc(s.changes, since+1, func(c change, sequence uint64) int { return cmp.Compare(c.sequence, sequence) })
	for _, change := range s.changes[first:] {
		c, current := s.crashOf(change)
		if current && !s.expired(now, c) && s.mayExport(now, change.fingerprint, c) {
			records = append(records, c.record(now, change.fingerprint, change.server))
		}
	}
	return records, s.sequence
}

// crashOf returns the crash that a change refers to. It returns false if a newer change has replaced it, or it is gone.
func (s *EvidenceStore) crashOf(change change) (crash, bool) {
	e, ok := s.requests[change.fingerprint]
	if !ok {
		return crash{}, false
	}
	c := e.crashes[change.server]
	return c, c.sequence == change.sequence
}

// mayExport reports whether this host sends a crash on: one that it has recorded itself, or any of a request that has
// crashed durableCrashes servers, if it sends that on.
func (s *EvidenceStore) mayExport(now time.Time, f Fingerprint, c crash) bool {
	if !c.imported {
		return true
	}
	crashes, _ := s.countCrashes(now, f)
	return crashes >= durableCrashes && s.sendsOn(f)
}

// ExportDurable returns all records of the requests that have crashed durableCrashes servers, by
// request, if a crash changed after the given sequence number that was recorded by this host itself
// or, if imported is set, by any. It also returns the sequence number to pass to the next call.
// These records are worth keeping where they outlast the loss of all hosts.
func (s *EvidenceStore) ExportDurable(now time.Time, since uint64, imported bool) (map[Fingerprint][]Record, uint64) {
	durable := make(map[Fingerprint][]Record)
	if since >= s.sequence {
		return durable, s.sequence
	}
	for f, e := range s.requests {
		if crashes, _ := s.countCrashes(now, f); crashes < durableCrashes || !e.changedSince(since, imported) {
			continue
		}
		durable[f] = s.records(now, f)
	}
	return durable, s.sequence
}

// DurableRecords returns the records of a request if the given ones, which are kept outside the hosts, no longer tell that it must be
// stopped or tried with care as this host does, and otherwise nil: another host's older write may have replaced the newest ones,
// or their removal may have come late. Only crashes that this host has recorded itself or, if imported is set, any make it answer.
func (s *EvidenceStore) DurableRecords(now time.Time, f Fingerprint, kept []Record, imported bool) []Record {
	e, ok := s.requests[f]
	crashes, _ := s.countCrashes(now, f)
	if !ok || crashes < durableCrashes || !e.changedSince(0, imported) {
		return nil
	}
	keptCrashes := 0
	for _, record := range kept {
		if !record.Cleared && record.Age < s.bounds.Retention && !e.crashes[record.Death].cleared {
			keptCrashes++
		}
	}
	if keptCrashes >= min(crashes, s.bounds.SharedCrashLimit) {
		return nil
	}
	return s.records(now, f)
}

// records returns the records of a request that have not expired.
func (s *EvidenceStore) records(now time.Time, f Fingerprint) []Record {
	var records []Record
	for server, c := range s.requests[f].crashes {
		if !s.expired(now, c) {
			records = append(records, c.record(now, f, server))
		}
	}
	return records
}

// changedSince reports whether a crash changed after the given sequence number that was recorded by
// this host itself or, if imported is set, by any.
func (e *evidence) changedSince(since uint64, imported bool) bool {
	for _, c := range e.crashes {
		if (imported || !c.imported) && c.sequence > since {
			return true
		}
	}
	return false
}

// Len returns the number of requests with evidence.
func (s *EvidenceStore) Len() int {
	return len(s.requests)
}

// withNextSequence returns the changed crash with the next sequence number, and lists the change.
func (s *EvidenceStore) withNextSequence(f Fingerprint, server Server, c crash) crash {
	s.sequence++
	c.sequence = s.sequence
	if !c.imported {
		s.exportable = s.sequence
	}
	if len(s.changes) >= s.compactAt {
		s.changes = slices.DeleteFunc(s.changes, func(change change) bool { _, current := s.crashOf(change); return !current })
		s.compactAt = max(2*len(s.changes), minCompactAt)
	}
	s.changes = append(s.changes, change{c.sequence, f, server})
	return c
}

func (s *EvidenceStore) expired(now time.Time, c crash) bool {
	return now.Sub(c.at) >= s.bounds.Retention
}

// evict removes expired evidence if the store is above its maximum. If that is not
// enough, it removes the requests with the oldest evidence, blocked requests last. It
// frees more than the excess, so that the expensive sorting is rarely needed.
func (s *EvidenceStore) evict(now time.Time) {
	if len(s.requests) <= s.bounds.Requests {
		return
	}
	s.Expire(now)
	if len(s.requests) <= s.bounds.Requests {
		return
	}
	order := slices.SortedFunc(maps.Keys(s.requests), func(a, b Fingerprint) int {
		blockedA := s.Check(now, a) == Blocked
		blockedB := s.Check(now, b) == Blocked
		if blockedA != blockedB {
			if blockedB {
				return -1
			}
			return 1
		}
		return s.requests[a].latestCrash().Compare(s.requests[b].latestCrash())
	})
	excess := len(s.requests) - s.bounds.Requests + s.bounds.Requests/evictionDivisor
	for _, f := range order[:excess] {
		delete(s.requests, f)
	}
}

// Expire removes crashes whose retention has ended.
func (s *EvidenceStore) Expire(now time.Time) {
	for f, e := range s.requests {
		maps.DeleteFunc(e.crashes, func(_ Server, c crash) bool { return s.expired(now, c) })
		if len(e.crashes) == 0 {
			delete(s.requests, f)
		}
	}
}
