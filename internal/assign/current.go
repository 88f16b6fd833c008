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
	changed  chan struct{}
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

// Adopt takes a plan if it is newer than the one known. The plan must not be changed afterwards.
func (c *Current) Adopt(plan Plan) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if plan.Version <= c.plan.Version {
		return false
	}
	c.plan = plan
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Verify notes that no newer plan existed at the given reading of the host's clock.
func (c *Current) Verify(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verified = max(c.verified, at)
}

// Verified returns the reading of the host's clock at which the plan was known to be the newest.
func (c *Current) Verified() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.verified
}
