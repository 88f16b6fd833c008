package assign

import (
	"sync"
	"time"
)

// Current holds the newest plan that this host knows, the time at which that plan was last
// verified to be the newest, and the earliest time at which it can have been written. All times
// are readings of the host's monotonic clock. It is safe for concurrent use.
type Current struct {
	mu   sync.Mutex
	plan Plan
	// verifiedAt is when the plan was last known to be the newest.
	verifiedAt time.Duration
	// readFailed is set if a read of the plan has failed since it was verified.
	readFailed bool
	// writtenAfter is the earliest time at which the plan can have been written. If no read has
	// failed since the last verification, it is the time at which the plan was read, as a read
	// returns a plan shortly after it is written; otherwise it is the time of that verification.
	writtenAfter time.Duration
	// changed is closed and replaced when a newer plan is adopted.
	changed chan struct{}
}

// NewCurrent returns a Current that holds the empty plan.
func NewCurrent() *Current {
	return &Current{changed: make(chan struct{})}
}

// Plan returns the newest plan. The caller must not change it.
func (c *Current) Plan() Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan
}

// Watch returns the newest plan and a channel that is closed when a newer one is known.
func (c *Current) Watch() (Plan, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan, c.changed
}

// WrittenAfter returns the earliest reading of the host's clock at which the plan can have been
// written, not counting the short delay between its write and a read that returned it.
func (c *Current) WrittenAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writtenAfter
}

// NoteReadFailure records that a read of the plan failed. Until the next verification, a plan
// that is adopted may have been written at any time since the last one.
func (c *Current) NoteReadFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readFailed = true
}

// AdoptOfUnknownAge adopts the plan if its version is higher than the known one. The plan may
// have been written at any time since the last verification. It reports whether it was adopted.
func (c *Current) AdoptOfUnknownAge(plan Plan) bool {
	c.NoteReadFailure()
	return c.Adopt(plan, 0)
}

// Adopt adopts a plan that was read at the given time if its version is higher than the known
// one, and reports whether it did. The caller must not change the plan afterwards.
func (c *Current) Adopt(plan Plan, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if plan.Version <= c.plan.Version {
		return false
	}
	c.plan = plan
	c.writtenAfter = now
	if c.readFailed {
		c.writtenAfter = c.verifiedAt
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Verify records that no newer plan existed at the given reading of the host's clock.
func (c *Current) Verify(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verifiedAt = max(c.verifiedAt, at)
	c.readFailed = false
}

// VerifiedAt returns the reading of the host's clock at which the plan was last known to be the newest.
func (c *Current) VerifiedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.verifiedAt
}
