package admission

import (
	"sync"
	"time"
)

// Names of the counters.
const (
	countAdmitted  = "admitted"
	countRefused   = "refused"
	countNoServer  = "no_server"
	countBusy      = "refused_busy"
	countLost      = "dispatcher_lost"
	countOld       = "dispatcher_of_older_build"
	countReferred  = "dispatcher_leaving"
	countAlone     = "chosen_without_dispatcher"
	countWithdrawn = "withdrawn"
	countOtherZone = "asked_other_zone"
)

// Counters counts decisions, for the metrics endpoint. It is safe for concurrent use.
type Counters struct {
	mu     sync.Mutex
	counts map[string]int64
	// waited is the sum of the times that admitted requests have waited for their decision at this host.
	waited time.Duration
}

func (c *Counters) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int64)
	}
	c.counts[name]++
}

// decided counts a decision of a pool of this host.
func (c *Counters) decided(verdict Verdict, waited time.Duration) {
	switch verdict {
	case Admitted:
		c.add(countAdmitted)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.waited += waited
	case NoServer:
		c.add(countNoServer)
	default:
		c.add(countRefused)
	}
}

// Snapshot returns the counts and the time that admitted requests have waited, in milliseconds.
func (c *Counters) Snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := map[string]int64{"waited_ms": c.waited.Milliseconds()}
	for name, count := range c.counts {
		snapshot[name] = count
	}
	return snapshot
}
