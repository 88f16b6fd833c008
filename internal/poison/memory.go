package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxCrashes is the maximum number of crashes stored per request.
	maxCrashes = 8
	// evictionDivisor determines how much an eviction frees in addition to the excess:
	// the maximum number of requests divided by it.
	evictionDivisor = 10
	// DefaultRequests is the default of Bounds.Requests.
	DefaultRequests = 10_000
)

// Bounds holds the limits of an EvidenceStore.
type Bounds struct {
	// CrashLimit is the number of crashes that makes a request poison if one of them
	// was in isolation. Otherwise it takes one crash more. Values below 1 count as 1.
	Deaths int
	// Retention is how long a crash is stored.
	Retention time.Duration
	// Requests is the maximum number of requests with evidence. Zero means DefaultRequests.
	Requests int
}

// crash is the evidence of one server crash against a request.
type crash struct {
	// isolated means that nothing else was in flight on the server.
	isolated bool
	// cleared means that the request has since finished, so that it did not cause the crash.
	cleared bool
	at      time.Time
	// sequence is the sequence number of the last change, for Export.
	sequence uint64
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
type Memory struct {
	bounds   Bounds
	requests map[Fingerprint]*evidence
	// sequence numbers the changes, so that Export returns only newer ones.
	sequence uint64
}

// NewEvidenceStore returns an empty store.
func NewMemory(bounds Bounds) *Memory {
	m := &Memory{requests: make(map[Fingerprint]*evidence)}
	m.Configure(bounds)
	return m
}

// Configure changes the bounds.
func (m *Memory) Configure(bounds Bounds) {
	bounds.Deaths = max(bounds.Deaths, 1)
	if bounds.Requests == 0 {
		bounds.Requests = DefaultRequests
	}
	m.bounds = bounds
}

// Add records that a request was in flight when a server crashed. Alone means that it
// ran in isolation.
func (m *Memory) Add(now time.Time, f Fingerprint, server Server, alone bool) {
	m.Import(now, []Record{{Fingerprint: f, Death: server, Alone: alone}})
}

// Clear records that a request has finished on a server, so that it caused none of the
// crashes known so far.
func (m *Memory) Clear(f Fingerprint) {
	e, ok := m.requests[f]
	if !ok {
		return
	}
	for server, c := range e.crashes {
		if !c.cleared {
			c.cleared = true
			e.crashes[server] = m.withNextSequence(c)
		}
	}
}

// Check returns the suspicion against a request.
func (m *Memory) Check(now time.Time, f Fingerprint) Suspicion {
	crashes, isolated := m.countCrashes(now, f)
	switch {
	case crashes == 0:
		return Clean
	case crashes > m.bounds.Deaths:
		return Condemned
	case crashes == m.bounds.Deaths && isolated > 0:
		return Condemned
	default:
		return Suspect
	}
}

// countCrashes returns the number of crashes that count against a request, and how many
// of them occurred in isolation.
func (m *Memory) countCrashes(now time.Time, f Fingerprint) (crashes, isolated int) {
	e, ok := m.requests[f]
	if !ok {
		return 0, 0
	}
	for _, c := range e.crashes {
		if c.cleared || m.expired(now, c) {
			continue
		}
		crashes++
		if c.isolated {
			isolated++
		}
	}
	return crashes, isolated
}

// Import adds records of other hosts. Order and repetition make no difference.
func (m *Memory) Import(now time.Time, records []Record) {
	for _, record := range records {
		m.add(now, record)
	}
	m.evict(now)
}

// add merges one record into the evidence.
func (m *Memory) add(now time.Time, record Record) {
	if record.Age >= m.bounds.Retention {
		return
	}
	e, ok := m.requests[record.Fingerprint]
	if !ok {
		e = &evidence{crashes: make(map[Server]crash)}
		m.requests[record.Fingerprint] = e
	}
	c, known := e.crashes[record.Death]
	if !known {
		if len(e.crashes) >= maxCrashes {
			return
		}
		c.at = now.Add(-record.Age)
	}
	merged := c
	merged.isolated = c.isolated || record.Alone
	merged.cleared = c.cleared || record.Cleared
	if !known || merged != c {
		e.crashes[record.Death] = m.withNextSequence(merged)
	}
}

// Export returns the records that changed after the given sequence number, and the
// sequence number to pass to the next call. Zero returns all records.
func (m *Memory) Export(now time.Time, since uint64) ([]Record, uint64) {
	var records []Record
	if since >= m.sequence {
		return nil, m.sequence
	}
	for f, e := range m.requests {
		for server, c := range e.crashes {
			if c.sequence <= since || m.expired(now, c) {
				continue
			}
			records = append(records, Record{
				Fingerprint: f,
				Death:       server,
				Alone:       c.isolated,
				Cleared:     c.cleared,
				Age:         now.Sub(c.at),
			})
		}
	}
	return records, m.sequence
}

// Len returns the number of requests with evidence.
func (m *Memory) Len() int {
	return len(m.requests)
}

// withNextSequence returns the changed crash with the next sequence number.
func (m *Memory) withNextSequence(c crash) crash {
	m.sequence++
	c.sequence = m.sequence
	return c
}

func (m *Memory) expired(now time.Time, c crash) bool {
	return now.Sub(c.at) >= m.bounds.Retention
}

// evict removes expired evidence if the store is above its maximum. If that is not
// enough, it removes the requests with the oldest evidence, poison requests last. It
// frees more than the excess, so that the expensive sorting is rarely needed.
func (m *Memory) evict(now time.Time) {
	if len(m.requests) <= m.bounds.Requests {
		return
	}
	m.Expire(now)
	if len(m.requests) <= m.bounds.Requests {
		return
	}
	order := slices.SortedFunc(maps.Keys(m.requests), func(a, b Fingerprint) int {
		condemnedA := m.Check(now, a) == Condemned
		condemnedB := m.Check(now, b) == Condemned
		if condemnedA != condemnedB {
			if condemnedB {
				return -1
			}
			return 1
		}
		return m.requests[a].latestCrash().Compare(m.requests[b].latestCrash())
	})
	excess := len(m.requests) - m.bounds.Requests + m.bounds.Requests/evictionDivisor
	for _, f := range order[:excess] {
		delete(m.requests, f)
	}
}

// Expire removes crashes whose retention has ended.
func (m *Memory) Expire(now time.Time) {
	for f, e := range m.requests {
		maps.DeleteFunc(e.crashes, func(_ Server, c crash) bool { return m.expired(now, c) })
		if len(e.crashes) == 0 {
			delete(m.requests, f)
		}
	}
}
