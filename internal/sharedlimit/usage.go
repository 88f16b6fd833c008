package sharedlimit

import (
	"maps"
	"sync"
	"time"
)

const (
	// UsageInterval is the time between two reports of what a host has admitted. An account that sends 7.5 times its usual
	// rate, 4.7 times its limit, passes half of its burst within 0.45 s of reports, and all hosts know it half an interval
	// later. In the worst window of 5 s it has then sent 6.0 times its limit; 6.6 times are allowed.
	UsageInterval = 500 * time.Millisecond
	// usageFresh is how long ago the last answer may be for a host to admit without a share.
	usageFresh = 1500 * time.Millisecond
	// usageCutOff is how long a host without answers goes on at the rates that it had before.
	usageCutOff = 10 * time.Second
	// cutOffFactor is the multiple of its average rate at which a host without answers admits. Usual rates are 1/1.6 of the
	// limits, so all hosts together stay below them.
	cutOffFactor = 1.2
	// cutOffBurst is the time whose tokens such a host may save.
	cutOffBurst = 2 * time.Second
)

// Usage counts what one host admits of limits that are far from being reached. Requests for these need no share: a share
// of a small account on each of 91 hosts is less than one request a second, so each request would wait for the
// allocator. The leader adds up what all hosts have admitted, and names the limits of which hosts have to hold shares.
type Usage struct {
	mu sync.Mutex
	// spent and asked count since the start of the process: requests that were admitted, and all.
	spent, asked map[string]int
	sequence     uint64
	// tight holds the limits of which this host needs shares.
	tight map[string]bool
	// recent measures the rate of each limit's requests, for the time without answers.
	recent     map[string]*demand
	cutOff     map[string]*bucket
	answeredAt time.Duration
	answered   bool
}

// NewUsage returns the usage of a host that has no answer yet.
func NewUsage() *Usage {
	return &Usage{
		spent: make(map[string]int), asked: make(map[string]int), recent: make(map[string]*demand), cutOff: make(map[string]*bucket),
	}
}

// Admit counts a request, and reports whether it may go on without a share. If not, its share has to be asked, and Spend
// called if that allows it.
func (u *Usage) Admit(id string, now time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.asked[id]++
	d := u.recent[id]
	if d == nil {
		d = &demand{updatedAt: now}
		u.recent[id] = d
	}
	if now-u.answeredAt <= usageFresh {
		// A flood that begins while the leader is out of reach must not raise what the host admits.
		d.add(now)
	}
	if !u.answered || u.tight[id] || now-u.answeredAt > usageCutOff {
		return false
	}
	if now-u.answeredAt > usageFresh && !u.withinAverage(id, d, now) {
		return false
	}
	u.spent[id]++
	return true
}

// withinAverage reports whether a request stays within what the host may admit without answers. The caller holds the lock.
func (u *Usage) withinAverage(id string, d *demand, now time.Duration) bool {
	b := u.cutOff[id]
	if b == nil {
		b = &bucket{}
		u.cutOff[id] = b
	}
	rate := cutOffFactor * d.steady / steadyConstant.Seconds()
	b.refill(Limit{Rate: rate, Burst: cutOffBurst.Seconds() * rate}, now)
	return b.take()
}

// Spend counts a request that a share has admitted, or further runs of one that was admitted. A negative number takes back
// what has not run.
func (u *Usage) Spend(id string, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.spent[id] += n
}

// UsageReport is what a host has admitted and been asked for since its start, by limit. Totals can be sent again without being
// counted twice: a leader that answers late has often counted a report that its sender has given up.
type UsageReport struct {
	Host, Incarnation string
	// Sequence numbers the reports of an incarnation.
	Sequence     uint64
	Spent, Asked map[string]int
}

// Report returns what has been counted.
func (u *Usage) Report(host, incarnation string) UsageReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return UsageReport{
		Host: host, Incarnation: incarnation, Sequence: u.sequence, Spent: maps.Clone(u.spent), Asked: maps.Clone(u.asked),
	}
}

// UsageAnswer names the limits of which hosts have to hold shares.
type UsageAnswer struct {
	// Known says that the answering host is the leader.
	Known bool
	Tight []string
}

// Answered applies the answer to a report that was sent at the given time.
func (u *Usage) Answered(answer UsageAnswer, sentAt time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tight = make(map[string]bool, len(answer.Tight))
	for _, id := range answer.Tight {
		u.tight[id] = true
	}
	clear(u.cutOff)
	u.answered, u.answeredAt = true, sentAt
}
