package assign

import (
	"sync"
	"time"
)

// Current is the newest plan that this host knows, and how sure it is of it. It is
// safe for concurrent use.
type Current struct {
	mu       sync.Mutex
	plan     Plan
	verified time.Duration
	// interrupted says that reading has failed since the plan was verified.
	interrupted bool
	// learned is a reading of the clock at which the plan did not exist yet, or only just.
	learned time.Duration
	changed chan struct{}
}

// NewCurrent returns the empty plan.
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

// Learned returns a reading of the host's clock at which the plan did not exist yet, or
// only just.
func (c *Current) Learned() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.learned
}

// Interrupt notes that the plan could not be read for a while, so that the next one may be
// as old as the last verification.
func (c *Current) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
}

// AdoptOld takes a plan of unknown age if it is newer than the one known.
func (c *Current) AdoptOld(plan Plan) bool {
	c.Interrupt()
	return c.Adopt(plan, 0)
}

// Adopt takes a plan that has been read now if it is newer than the one known. The plan must
// not be changed afterwards.
func (c *Current) Adopt(plan Plan, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if plan.Version <= c.plan.Version {
		return false
	}
	c.plan = plan
	c.learned = now
	if c.interrupted {
		c.learned = c.verified
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Verify notes that no newer plan existed at the given reading of the host's clock.
func (c *Current) Verify(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verified = max(c.verified, at)
	c.interrupted = false
}

// Verified returns the reading of the host's clock at which the plan was known to be the newest.
func (c *Current) Verified() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.verified
}
