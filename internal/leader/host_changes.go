package leader

import (
	"maps"
	"sync"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// IncarnationCounts counts what has become of the incarnations of hosts while this host led.
type IncarnationCounts struct {
	// Listed and Removed count incarnations that a plan listed anew, or no longer. Replaced counts those of them that were
	// removed when another incarnation of the same host was listed.
	Listed   int64 `json:"listed"`
	Removed  int64 `json:"removed"`
	Replaced int64 `json:"replaced"`
	// Ended counts incarnations that were known to have ended, since another one had taken their address.
	Ended int64 `json:"ended"`
	// Stopped counts how renewing hosts were known to have stopped, by proof, once for each released range and host.
	Stopped map[StopProof]int64 `json:"stopped"`
}

// incarnationCounters are the counters of IncarnationCounts. They are safe for concurrent use.
type incarnationCounters struct {
	mu     sync.Mutex
	counts IncarnationCounts
}

// stopped counts one proof.
func (c *incarnationCounters) stopped(proof StopProof) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts.Stopped == nil {
		c.counts.Stopped = make(map[StopProof]int64)
	}
	c.counts.Stopped[proof]++
}

// ended counts one incarnation that has ended.
func (c *incarnationCounters) ended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Ended++
}

// planned counts the changes between the hosts of two plans.
func (c *incarnationCounters) planned(changes []hostChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		switch {
		case change.after == nil && change.replaced:
			c.counts.Removed++
			c.counts.Replaced++
		case change.after == nil:
			c.counts.Removed++
		case change.before == nil:
			c.counts.Listed++
		}
	}
}

// snapshot returns a copy of the counts.
func (c *incarnationCounters) snapshot() IncarnationCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	counts.Stopped = maps.Clone(c.counts.Stopped)
	return counts
}

// hostChange is an incarnation of a host that two plans list differently. before or after is nil if that plan does not list it.
type hostChange struct {
	before, after *assign.Host
	// replaced is set if only the former plan lists the incarnation, and the later one lists another one of the same host.
	replaced bool
}

// hostChanges returns the incarnations that were listed, removed, retired or reinstated between two plans.
func hostChanges(before, after assign.Plan) []hostChange {
	former, latter := hostsByID(before), hostsByID(after)
	successors := make(map[string]bool)
	var changes []hostChange
	for i := range after.Hosts {
		host := &after.Hosts[i]
		successors[host.Name] = true
		if known := former[idOf(*host)]; known == nil || known.Retired != host.Retired {
			changes = append(changes, hostChange{before: known, after: host})
		}
	}
	for i := range before.Hosts {
		host := &before.Hosts[i]
		if latter[idOf(*host)] == nil {
			changes = append(changes, hostChange{before: host, replaced: successors[host.Name]})
		}
	}
	return changes
}

// hostsByID returns the incarnations that a plan lists.
func hostsByID(plan assign.Plan) map[hostID]*assign.Host {
	hosts := make(map[hostID]*assign.Host, len(plan.Hosts))
	for i := range plan.Hosts {
		hosts[idOf(plan.Hosts[i])] = &plan.Hosts[i]
	}
	return hosts
}

// noteHostChanges counts and logs what has become of the hosts in a written plan.
func (l *Leader) noteHostChanges(before, after assign.Plan) {
	changes := hostChanges(before, after)
	l.noteAdmission(changes)
	l.incarnationCounters.planned(changes)
	l.logHosts(changes, after.Version)
}

// logHosts logs the incarnations of hosts that a written plan lists differently from the one before.
func (l *Leader) logHosts(changes []hostChange, version assign.Fence) {
	for _, change := range changes {
		host, outcome := change.after, "listed"
		switch {
		case host == nil && change.replaced:
			host, outcome = change.before, "replaced"
		case host == nil:
			host, outcome = change.before, "removed"
		case change.before != nil && host.Retired:
			outcome = "retired"
		case change.before != nil:
			outcome = "reinstated"
		}
		l.Log.Event("incarnation", "name", host.Name, "incarnation", host.Incarnation, "addr", host.Addr, "plan", uint64(version), "outcome", outcome)
	}
}
