package assign

import (
	"cmp"
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// Candidate is a backend server to which keys may be assigned.
type Candidate struct {
	Server
	// Capacity is the weight of the server relative to the other candidates, above zero.
	Capacity float64
	// Limit is the number of requests per second that the server says it takes, or zero if it names
	// no limit.
	Limit float64
	// Cold says that the server is warming up after its start.
	Cold bool
}

// Proof shows that the former owner of a releasing range no longer holds it. It exists if
//   - the server has acknowledged a release with the present fencing token; from then on it
//     refuses all earlier grants, also those still in flight;
//   - the server has ended, since one of another service answers at its address; or
//   - every host that may have renewed the grant has stopped, and the last grant has expired.
type Proof struct {
	Fence    Fence
	Handover string
}

// Snapshot is what the leader knows about one service at one time.
type Snapshot struct {
	// Candidates lists the servers that may hold keys. Those whose addresses have been taken over get none, and cold
	// ones only if there are no others.
	Candidates []Candidate
	// NewestByID holds the newest known incarnation of each known server, by server ID.
	NewestByID map[string]Server
	// NewestByAddr holds the newest known incarnation of the service's servers at each address.
	NewestByAddr map[string]Server
	// TakenAddrs holds the addresses whose newest server belongs to another service, with the
	// start time of that server in Unix milliseconds. That the former server has ended is likely, and not proved.
	TakenAddrs map[string]int64
	// Regrant holds the first keys of ranges that stay with their server but need a new fencing token.
	Regrant map[keyrange.Key]bool
	// Proofs holds the proofs for releasing ranges, by their first key.
	Proofs map[keyrange.Key]Proof
	// Load is the load of the keys, or nil if it is unknown.
	Load *keyrange.Load
	// Rebalance allows moves whose only purpose is to balance the load.
	Rebalance bool
}

// rangesPerServer bounds the number of ranges of a service, and so the number of grants to renew.
const rangesPerServer = 5

// Reconcile computes the next assignments of a service from the current ones and from what the
// leader knows. Changed assignments get the given fencing token. It returns false if nothing changes.
func Reconcile(current []Assignment, snapshot Snapshot, fence Fence) ([]Assignment, bool) {
	rc := &reconciler{snapshot: snapshot, fence: fence, next: slices.Clone(current)}
	rc.chooseCandidates()
	rc.applyLimits()
	rc.indexCandidates()
	if len(rc.next) == 0 {
		rc.assignInitially()
	} else {
		rc.advancePhases()
		rc.assignFree()
		if snapshot.Rebalance {
			rc.rebalance()
		}
		rc.merge()
	}
	return rc.next, !slices.Equal(rc.next, current)
}

// reconciler is the state of one call of Reconcile.
type reconciler struct {
	snapshot Snapshot
	fence    Fence
	next     []Assignment
	// byID holds the index of each candidate, by server ID.
	byID map[string]int
}

// chooseCandidates keeps the candidates that get keys. One whose address has been taken over by another incarnation or
// service would lose its keys in the next step.
func (rc *reconciler) chooseCandidates() {
	warm := make([]Candidate, 0, len(rc.snapshot.Candidates))
	var cold []Candidate
	for _, c := range rc.snapshot.Candidates {
		_, replaced := rc.newerIncarnation(c.Server)
		switch {
		case replaced || rc.addrTaken(c.Server):
		case c.Cold:
			cold = append(cold, c)
		default:
			warm = append(warm, c)
		}
	}
	rc.snapshot.Candidates = warm
	if len(warm) == 0 {
		rc.snapshot.Candidates = cold
	}
}

// indexCandidates fills byID.
func (rc *reconciler) indexCandidates() {
	rc.byID = make(map[string]int, len(rc.snapshot.Candidates))
	for i, c := range rc.snapshot.Candidates {
		rc.byID[c.ID] = i
	}
}

// applyLimits lowers the capacities of servers that name a limit, so that their fair share of the load
// is the part of the limit that they should keep.
func (rc *reconciler) applyLimits() {
	unlimited := 0.0
	for _, c := range rc.snapshot.Candidates {
		if c.Limit == 0 {
			unlimited += c.Capacity
		}
	}
	if unlimited == 0 || rc.snapshot.Load == nil {
		return
	}
	fair := rc.loadOf(keyrange.All) / unlimited
	rc.snapshot.Candidates = slices.Clone(rc.snapshot.Candidates)
	for i, c := range rc.snapshot.Candidates {
		if c.Limit > 0 {
			rc.snapshot.Candidates[i].Capacity = min(c.Capacity, limitTargetRatio*c.Limit/fair)
		}
	}
}

// assignInitially assigns all keys for the first time, in ranges of equal width.
func (rc *reconciler) assignInitially() {
	candidates := slices.Clone(rc.snapshot.Candidates)
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	for i, r := range keyrange.Even(len(candidates)) {
		rc.next = append(rc.next, Assignment{Range: r, Phase: Held, Server: candidates[i].Server, Fence: rc.fence})
	}
}

// advancePhases advances the phase of each range: it starts the release of ranges whose servers should
// no longer hold them, and frees ranges that have a Proof.
func (rc *reconciler) advancePhases() {
	for i := range rc.next {
		a := &rc.next[i]
		switch a.Phase {
		case Held:
			rc.advanceHeld(a)
		case Releasing:
			rc.advanceReleasing(a)
		}
	}
}

func (rc *reconciler) advanceHeld(a *Assignment) {
	incarnation, restarted := rc.newerIncarnation(a.Server)
	switch {
	case rc.addrTaken(a.Server):
		rc.startRelease(a, "")
	case restarted && rc.isCandidate(incarnation.ID):
		a.Server = incarnation
		a.Handover = ""
		a.Fence = rc.fence
	case restarted:
		// The new incarnation may have received a grant that was meant for the former one.
		a.Server = incarnation
		rc.startRelease(a, "")
	case !rc.isCandidate(a.Server.ID), !rc.snapshot.NewestByID[a.Server.ID].SameIncarnation(a.Server):
		rc.startRelease(a, "")
	case rc.snapshot.Regrant[a.First]:
		a.Fence = rc.fence
	}
}

func (rc *reconciler) advanceReleasing(a *Assignment) {
	if proof, ok := rc.snapshot.Proofs[a.First]; ok && proof.Fence == a.Fence {
		rc.markFree(a, proof.Handover)
	}
}

// addrTaken reports whether a server of another service has registered at the server's address later.
func (rc *reconciler) addrTaken(server Server) bool {
	return rc.snapshot.TakenAddrs[server.Addr] > server.Born
}

// newerIncarnation returns the incarnation that has replaced a server at its address, under the same ID
// or another one.
func (rc *reconciler) newerIncarnation(server Server) (Server, bool) {
	for _, incarnation := range []Server{rc.snapshot.NewestByID[server.ID], rc.snapshot.NewestByAddr[server.Addr]} {
		if incarnation.Addr == server.Addr && incarnation.Born > server.Born {
			return incarnation, true
		}
	}
	return Server{}, false
}

// markFree marks a range as free.
func (rc *reconciler) markFree(a *Assignment, handover string) {
	a.Phase = Free
	a.Handover = handover
	a.Fence = rc.fence
}

// startRelease starts the release of a range from its server. next is the ID of the next owner, or empty.
func (rc *reconciler) startRelease(a *Assignment, next string) {
	a.Phase = Releasing
	a.Next = next
	a.Handover = ""
	a.Fence = rc.fence
}

// assignFree assigns free ranges to servers, those with the highest load first. A range without a
// preferred server goes to the least loaded one.
func (rc *reconciler) assignFree() {
	var free []int
	for i, a := range rc.next {
		if a.Phase == Free {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		return
	}
	loads := rc.relativeLoads()
	slices.SortFunc(free, func(i, j int) int {
		return cmp.Compare(rc.loadOf(rc.next[j].Range), rc.loadOf(rc.next[i].Range))
	})
	for _, i := range free {
		a := &rc.next[i]
		server, ok := rc.candidate(a.Next)
		if !ok {
			server, ok = leastLoaded(rc.snapshot.Candidates, loads, rc.loadOf(a.Range))
		}
		if !ok {
			return
		}
		loads[server.ID] += rc.loadOf(a.Range) / server.Capacity
		a.Phase = Held
		a.Server = server.Server
		a.Next = ""
		a.Fence = rc.fence
	}
}

// merge joins adjacent ranges that one server holds under one fencing token.
func (rc *reconciler) merge() {
	merged := rc.next[:0]
	for _, a := range rc.next {
		if n := len(merged); n > 0 && mergeable(merged[n-1], a) {
			merged[n-1].Last = a.Last
			continue
		}
		merged = append(merged, a)
	}
	rc.next = merged
}

// mergeable reports whether two adjacent ranges can become one. Ranges with different handovers
// stay separate, since the first grant of each has to carry its own.
func mergeable(a, b Assignment) bool {
	return a.Phase == Held && b.Phase == Held && a.Server == b.Server &&
		a.Fence == b.Fence && a.Handover == b.Handover
}

func (rc *reconciler) isCandidate(id string) bool {
	_, ok := rc.candidate(id)
	return ok
}

func (rc *reconciler) candidate(id string) (Candidate, bool) {
	i, ok := rc.byID[id]
	if !ok {
		return Candidate{}, false
	}
	return rc.snapshot.Candidates[i], true
}

// loadOf returns the load of a range. Its share of the key space is added so that ranges
// without requests count too; if loads are unknown, that share is the load.
func (rc *reconciler) loadOf(r keyrange.Range) float64 {
	width := float64(r.Width()) / float64(keyrange.Count)
	if rc.snapshot.Load == nil {
		return width
	}
	return rc.snapshot.Load.Of(r) + width
}

// relativeLoads returns the load of each candidate relative to its capacity, by server ID. A range that
// is moving counts for the server that will get it.
func (rc *reconciler) relativeLoads() map[string]float64 {
	loads := make(map[string]float64, len(rc.snapshot.Candidates))
	for _, c := range rc.snapshot.Candidates {
		loads[c.ID] = 0
	}
	for _, a := range rc.next {
		id := a.Server.ID
		if a.Phase == Releasing && a.Next != "" {
			id = a.Next
		}
		if c, ok := rc.candidate(id); ok && a.Phase != Free {
			loads[id] += rc.loadOf(a.Range) / c.Capacity
		}
	}
	return loads
}

// leastLoaded returns the server whose load relative to capacity is the lowest after the extra load is added to it, and
// false if there are no candidates, as while all servers drain.
func leastLoaded(candidates []Candidate, loads map[string]float64, extra float64) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(loads[a.ID]+extra/a.Capacity, loads[b.ID]+extra/b.Capacity),
			cmp.Compare(a.ID, b.ID))
	}), true
}
