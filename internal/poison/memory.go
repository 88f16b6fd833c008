package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxDeaths is the largest number of deaths remembered for one request.
	maxDeaths = 8
	// shrinkShare is the reciprocal of the share of the memory that is freed when it is full.
	shrinkShare = 10
	// DefaultRequests is the largest number of requests remembered where the bounds set none.
	DefaultRequests = 10_000
)

// Bounds of a memory.
type Bounds struct {
	// Deaths is the number of deaths after which a request is refused.
	Deaths int
	// Retention is how long a death is remembered.
	Retention time.Duration
	// Requests is the largest number of requests remembered. Zero stands for DefaultRequests.
	Requests int
}

// death is the evidence of one death against a request.
type death struct {
	alone    bool
	cleared  bool
	at       time.Time
	sequence uint64
}

// evidence is all that is known about one request.
type evidence struct {
	deaths map[Server]death
}

// latest returns the time of the last death.
func (e *evidence) latest() time.Time {
	var latest time.Time
	for _, d := range e.deaths {
		if d.at.After(latest) {
			latest = d.at
		}
	}
	return latest
}

// Memory holds the evidence against requests. It is not safe for concurrent use.
type Memory struct {
	bounds   Bounds
	requests map[Fingerprint]*evidence
	sequence uint64
}

// NewMemory returns an empty memory.
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

// Add notes that a request was in flight when a server died.
func (m *Memory) Add(now time.Time, f Fingerprint, server Server, alone bool) {
	m.Import(now, []Record{{Fingerprint: f, Death: server, Alone: alone}})
}

// Clear notes that a request has finished on a server: all deaths known so far
// were not its doing.
func (m *Memory) Clear(f Fingerprint) {
	e, ok := m.requests[f]
	if !ok {
		return
	}
	for server, d := range e.deaths {
		if !d.cleared {
			d.cleared = true
			e.deaths[server] = m.numbered(d)
		}
	}
}

// Check returns the suspicion against a request.
func (m *Memory) Check(now time.Time, f Fingerprint) Suspicion {
	deaths, alone := m.count(now, f)
	switch {
	case deaths == 0:
		return Clean
	case deaths > m.bounds.Deaths:
		return Condemned
	case deaths == m.bounds.Deaths && alone > 0:
		return Condemned
	default:
		return Suspect
	}
}

// count returns the number of deaths that speak against a request, and of those
// at which it ran alone.
func (m *Memory) count(now time.Time, f Fingerprint) (deaths, alone int) {
	e, ok := m.requests[f]
	if !ok {
		return 0, 0
	}
	for _, d := range e.deaths {
		if d.cleared || m.expired(now, d) {
			continue
		}
		deaths++
		if d.alone {
			alone++
		}
	}
	return deaths, alone
}

// Import takes in records of other hosts, in any order and any number of times.
func (m *Memory) Import(now time.Time, records []Record) {
	for _, record := range records {
		m.add(now, record)
	}
	m.shrink(now)
}

// add takes in one record.
func (m *Memory) add(now time.Time, record Record) {
	if record.Age >= m.bounds.Retention {
		return
	}
	e, ok := m.requests[record.Fingerprint]
	if !ok {
		e = &evidence{deaths: make(map[Server]death)}
		m.requests[record.Fingerprint] = e
	}
	d, known := e.deaths[record.Death]
	if !known {
		if len(e.deaths) >= maxDeaths {
			return
		}
		d.at = now.Add(-record.Age)
	}
	joined := d
	joined.alone = d.alone || record.Alone
	joined.cleared = d.cleared || record.Cleared
	if !known || joined != d {
		e.deaths[record.Death] = m.numbered(joined)
	}
}

// Export returns the records that changed after the given number, and the
// number to give next time. Zero returns all.
func (m *Memory) Export(now time.Time, since uint64) ([]Record, uint64) {
	var records []Record
	if since >= m.sequence {
		return nil, m.sequence
	}
	for f, e := range m.requests {
		for server, d := range e.deaths {
			if d.sequence <= since || m.expired(now, d) {
				continue
			}
			records = append(records, Record{
				Fingerprint: f,
				Death:       server,
				Alone:       d.alone,
				Cleared:     d.cleared,
				Age:         now.Sub(d.at),
			})
		}
	}
	return records, m.sequence
}

// Len returns the number of remembered requests.
func (m *Memory) Len() int {
	return len(m.requests)
}

// numbered gives a change its place in the order of changes.
func (m *Memory) numbered(d death) death {
	m.sequence++
	d.sequence = m.sequence
	return d
}

func (m *Memory) expired(now time.Time, d death) bool {
	return now.Sub(d.at) >= m.bounds.Retention
}

// shrink forgets what has expired and then, where the memory is still above its
// bound, the requests with the oldest evidence; those that are refused go last.
// It makes room for a share of the bound, so that it is seldom needed.
func (m *Memory) shrink(now time.Time) {
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
		return m.requests[a].latest().Compare(m.requests[b].latest())
	})
	excess := len(m.requests) - m.bounds.Requests + m.bounds.Requests/shrinkShare
	for _, f := range order[:excess] {
		delete(m.requests, f)
	}
}

// Expire forgets deaths whose retention has ended.
func (m *Memory) Expire(now time.Time) {
	for f, e := range m.requests {
		maps.DeleteFunc(e.deaths, func(_ Server, d death) bool { return m.expired(now, d) })
		if len(e.deaths) == 0 {
			delete(m.requests, f)
		}
	}
}
