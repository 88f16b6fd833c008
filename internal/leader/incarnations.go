package leader

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// StopProof says how it is known that an incarnation of a host renews no grants by plans older than a given one.
type StopProof string

const (
	// Acknowledged means that the host has said that it acts by the plan or a newer one.
	Acknowledged StopProof = "acknowledged"
	// NoLongerListed means that the newest plan does not list the incarnation.
	NoLongerListed StopProof = "no longer listed"
	// Expired means that the host can't rely on an older plan any more, since it can't have verified one for so long.
	Expired StopProof = "expired"
)

// IncarnationCounts counts what has become of the incarnations of hosts while this host led.
type IncarnationCounts struct {
	// Listed and Removed count incarnations that a plan listed anew, or no longer. Replaced counts those of them that were
	// removed when another incarnation of the same host was listed.
	Listed   int64 `json:"listed"`
	Removed  int64 `json:"removed"`
	Replaced int64 `json:"replaced"`
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
	var changes []hostChange
	for i := range after.Hosts {
		host := &after.Hosts[i]
		former := find(before.Hosts, host.SameIncarnation)
		if former == nil || former.Retired != host.Retired {
			changes = append(changes, hostChange{before: former, after: host})
		}
	}
	for i := range before.Hosts {
		host := &before.Hosts[i]
		if find(after.Hosts, host.SameIncarnation) != nil {
			continue
		}
		successor := find(after.Hosts, func(other assign.Host) bool { return other.Name == host.Name })
		changes = append(changes, hostChange{before: host, replaced: successor != nil})
	}
	return changes
}

// find returns the first host for which match is true, or nil.
func find(hosts []assign.Host, match func(assign.Host) bool) *assign.Host {
	i := slices.IndexFunc(hosts, match)
	if i < 0 {
		return nil
	}
	return &hosts[i]
}

// logHosts logs the incarnations of hosts that a written plan lists differently from the one before.
func (l *Leader) logHosts(before, after assign.Plan) {
	changes := hostChanges(before, after)
	l.incarnationCounters.planned(changes)
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
		l.Log.Event("incarnation", "name", host.Name, "incarnation", host.Incarnation, "addr", host.Addr, "plan", uint64(after.Version), "outcome", outcome)
	}
}

// stoppedRenewers holds by which proof each host that may have renewed a grant is known to have stopped. It is safe for
// concurrent use.
type stoppedRenewers struct {
	mu     sync.Mutex
	proofs map[string]StopProof
}

// add adds the proof for one incarnation of a host.
func (s *stoppedRenewers) add(host assign.Host, proof StopProof) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proofs == nil {
		s.proofs = make(map[string]StopProof)
	}
	s.proofs[host.Name+"/"+host.Incarnation] = proof
}

// acknowledged returns the number of hosts that have acknowledged the plan.
func (s *stoppedRenewers) acknowledged() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, proof := range s.proofs {
		if proof == Acknowledged {
			n++
		}
	}
	return n
}

// others describes the proofs other than acknowledgements.
func (s *stoppedRenewers) others() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []string
	for id, proof := range s.proofs {
		if proof != Acknowledged {
			others = append(others, id+" "+string(proof))
		}
	}
	slices.Sort(others)
	return strings.Join(others, ", ")
}
