package sharedlimit

import (
	"slices"
	"sync"
	"time"
)

const (
	// tightBelow is the part of its burst at which a limit becomes tight, and relaxedAbove the one at which it may cease to be.
	tightBelow   = 0.5
	relaxedAbove = 0.8
	// minTight is how long a limit stays tight at least. It is the window of a quota, so that no window has two bursts.
	minTight = 5 * time.Second
	// relaxedDemand is the demand, relative to the limit, below which a limit ceases to be tight.
	relaxedDemand = 0.9
	// initialTokens is the part of the burst at which a limit starts that this leader has not seen before.
	initialTokens = 0.7
	// askedConstant is the time constant of the average of what is asked.
	askedConstant = 2 * time.Second
)

// Meter adds up at the leader what all hosts have admitted of each limit.
type Meter struct {
	// limitOf returns a limit by the leader's configuration, and false if there is none.
	limitOf func(id string) (Limit, bool)

	mu     sync.Mutex
	limits map[string]*metered
	// reported holds the last report of each host in this term.
	reported map[string]UsageReport
}

// metered is the state of one limit.
type metered struct {
	limit Limit
	// tokens is what is left of the limit's bucket, below zero if hosts have admitted more.
	tokens    float64
	updatedAt time.Duration
	// asked is the number of requests that decays with askedConstant.
	asked      float64
	tight      bool
	tightSince time.Duration
}

// NewMeter returns a meter of limits that limitOf returns.
func NewMeter(limitOf func(id string) (Limit, bool)) *Meter {
	return &Meter{limitOf: limitOf, limits: make(map[string]*metered), reported: make(map[string]UsageReport)}
}

// Reset forgets what was reported, at the start of a term as leader.
func (m *Meter) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.limits)
	clear(m.reported)
}

// Add counts a report and returns the limits that are tight.
func (m *Meter) Add(report UsageReport, now time.Duration) UsageAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count(report, now)
	answer := UsageAnswer{Known: true}
	for id := range m.limits {
		if l := m.get(id, now); l != nil && l.tight {
			answer.Tight = append(answer.Tight, id)
		}
	}
	slices.Sort(answer.Tight)
	return answer
}

// count adds what a host has counted since its last report. What it had counted before its first report in this term is not
// known to be recent, and does not count. The caller holds the lock.
func (m *Meter) count(report UsageReport, now time.Duration) {
	last, known := m.reported[report.Host]
	restarted := known && last.Incarnation != report.Incarnation
	if known && !restarted && report.Sequence <= last.Sequence {
		return
	}
	m.reported[report.Host] = report
	if !known && report.Sequence > 1 {
		return
	}
	if restarted {
		last = UsageReport{}
	}
	for id, n := range report.Asked {
		if l := m.get(id, now); l != nil {
			l.asked += float64(max(n-last.Asked[id], 0))
		}
	}
	for id, n := range report.Spent {
		if l := m.get(id, now); l != nil {
			l.tokens = min(l.tokens-float64(n-last.Spent[id]), l.limit.Burst)
		}
	}
}

// Overdrawn reports whether hosts have admitted more of a limit than its bucket held, so that shares have to wait.
func (m *Meter) Overdrawn(id string, now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.get(id, now)
	return l != nil && l.tokens < 0
}

// get returns the state of a limit at the given time, or nil if it is no limit any more. The caller holds the lock.
func (m *Meter) get(id string, now time.Duration) *metered {
	limit, ok := m.limitOf(id)
	if !ok {
		delete(m.limits, id)
		return nil
	}
	l := m.limits[id]
	if l == nil {
		l = &metered{limit: limit, tokens: initialTokens * limit.Burst, updatedAt: now}
		m.limits[id] = l
	}
	l.limit = limit
	l.advance(now)
	return l
}

// advance refills the bucket and updates whether the limit is tight.
func (l *metered) advance(now time.Duration) {
	elapsed := max(now-l.updatedAt, 0)
	l.updatedAt = now
	l.tokens = min(l.tokens+l.limit.Rate*elapsed.Seconds(), l.limit.Burst)
	l.asked *= max(1-elapsed.Seconds()/askedConstant.Seconds(), 0)
	switch {
	case !l.tight && l.tokens < tightBelow*l.limit.Burst:
		l.tight, l.tightSince = true, now
	case l.tight && now-l.tightSince >= minTight && l.tokens >= relaxedAbove*l.limit.Burst && l.asked/askedConstant.Seconds() < relaxedDemand*l.limit.Rate:
		l.tight = false
	}
}
