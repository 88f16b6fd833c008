package assign

import (
	"sync"
	"time"
)

// Current holds the newest plan that this host knows, and the time, by the host's monotonic clock, at which that plan was last
// verified to be the newest. It is safe for concurrent use.
type Current struct {
	mu   sync.Mutex
	plan Plan
	// copied is set if the plan was read from a log that had been restored since it was written.
	// Then it may be older than the plan that other hosts act by, and it may even be one that
	// nobody acts by, which a leader wrote before it learned of the restore.
	copied bool
	// verifiedAt is when the plan was last known to be the newest.
	verifiedAt time.Duration
	// era is the number of the era in which the log was last read.
	era uint64
	// readFailed is set if a read of the plan has failed since the plan was last verified.
	readFailed bool
	// prompt says that no read had failed when the plan was adopted, so that it was read shortly after it had been written.
	prompt bool
	// term is the term of the plan's leader.
	term Term
	// changed is closed and replaced when a newer plan is adopted.
	changed chan struct{}
}

// Term is the time in office of one incarnation of a leader, as this host has seen it.
type Term struct {
	// Since is the version of the first plan that this host knows of the term. First says that the host knew no plan
	// before. If the host itself is the leader, there was none.
	Since Fence
	First bool
}

// Office is a plan with what is known of its leader's time in office.
type Office struct {
	Plan Plan
	Term Term
	// VerifiedAt is as in Current.VerifiedAt.
	VerifiedAt time.Duration
}

// Office returns the plan that hosts act by with the term of its leader. The plan is empty as that of ActedBy is.
func (c *Current) Office() Office {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copied {
		return Office{}
	}
	return Office{Plan: c.plan, Term: c.term, VerifiedAt: c.verifiedAt}
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

// Prompt reports whether this host has learned of the plan shortly after it was written.
func (c *Current) Prompt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.prompt
}

// NoteReadFailure records that a read of the plan failed. Until the next call of Verify, a plan
// that is adopted may have been written at any time since the last one.
func (c *Current) NoteReadFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readFailed = true
}

// AdoptOfUnknownAge adopts the plan if its version is higher than the known one. The plan may
// have been written at any time since the last call of Verify. It reports whether it was adopted.
func (c *Current) AdoptOfUnknownAge(plan Plan) bool {
	c.NoteReadFailure()
	return c.Adopt(plan)
}

// AdoptFromLog adopts a plan that was read in the era of the log with the given number, and reports whether it did. A plan of
// an older era is adopted only by a host that knows no other, which routes requests by it and renews nothing.
func (c *Current) AdoptFromLog(plan Plan, era uint64) bool {
	if plan.Version.Era() >= era {
		return c.Adopt(plan)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.plan.Version != 0 && (!c.copied || plan.Version <= c.plan.Version) {
		return false
	}
	c.copied = true
	c.replace(plan)
	return true
}

// Adopt adopts a plan, and reports whether it did: if its version is higher than the known one, or the known one is copied. The
// caller must not change the plan afterwards.
func (c *Current) Adopt(plan Plan) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if plan.Version <= c.plan.Version && !c.copied {
		return false
	}
	if c.copied {
		// The leader of a copied plan need not have been in office since.
		c.plan.Leader = Host{}
	}
	c.copied = false
	c.replace(plan)
	return true
}

// replace replaces the plan. The caller holds the lock.
func (c *Current) replace(plan Plan) {
	if first := c.plan.Version == 0; first || !plan.Leader.SameIncarnation(c.plan.Leader) {
		c.term = Term{Since: plan.Version, First: first}
	}
	c.plan = plan.WithRankings(c.plan)
	c.prompt = !c.readFailed && plan.Version.Era() >= c.era
	close(c.changed)
	c.changed = make(chan struct{})
}

// ActedBy returns the plan if hosts act by it, and otherwise, also if it is copied, the empty plan.
func (c *Current) ActedBy() Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copied {
		return Plan{}
	}
	return c.plan
}

// Verify records that the log, in the era with the given number, held no newer plan at the given
// reading of the host's clock. A log that has been restored since the plan was written proves
// nothing: it may have lost a newer one.
func (c *Current) Verify(at time.Duration, era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era = max(c.era, era)
	c.readFailed = false
	if c.plan.Version.Era() >= era {
		c.verifiedAt = max(c.verifiedAt, at)
	}
}

// VerifiedAt returns the reading of the host's clock at which the plan was last known to be the newest.
func (c *Current) VerifiedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.verifiedAt
}
