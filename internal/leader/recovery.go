package leader

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// peerPlanTimeout bounds one question for a host's plan.
const peerPlanTimeout = 400 * time.Millisecond

// recovery finds the newest plan that may have been acted upon, after the log has been restored
// from an older copy and may have lost it. A plan that is built on an older one could give keys
// away that a server still holds. So the leader asks all hosts, and writes the first plan of the new
// era when each host of the newest plan found so far (or, if none is found, each registered one)
//
//   - has answered, so its plan is known;
//   - has ended, since another incarnation has answered at its address, and its last grants have expired; or
//   - must have stopped renewing, and its last grants have expired. A host renews no grants of an
//     older era for longer than after its last contact with the log (assign.Current.Verify).
//
// Meanwhile the hosts go on renewing by their plans.
type recovery struct {
	// era is the number of the era that the log is in.
	era uint64
	// since is when the recovery began.
	since time.Duration
	// endedAt holds when an incarnation of a host was first found to have ended.
	endedAt map[hostID]time.Duration
}

// recoverPlan reports whether this host may write a plan that gets the given version. This is so
// unless the newest known plan is from an older era; then it makes one round of the recovery.
func (l *Leader) recoverPlan(ctx context.Context, version assign.Fence) bool {
	known := l.Current.ActedBy().Version
	if known.Era() >= version.Era() {
		l.recovery = nil
		return true
	}
	if l.recovery == nil || l.recovery.era != version.Era() {
		l.recovery = &recovery{era: version.Era(), since: l.Clock(), endedAt: make(map[hostID]time.Duration)}
		l.Log.Event("recovery", "era", version.Era(), "plan", uint64(known), "outcome", "begun")
	}
	answered := l.askForPlans(ctx, known)
	plan := l.Current.ActedBy()
	if plan.Version != known {
		l.Log.Event("recovery", "era", version.Era(), "plan", uint64(plan.Version), "before", uint64(known), "outcome", "newer plan found")
		l.Wake()
		return false
	}
	wait, host := l.recoveryWait(plan, answered)
	if wait > 0 {
		l.Log.Routine("recovery", "era", version.Era(), "plan", uint64(plan.Version), "waits_for", host, "ms", wait.Milliseconds())
		return false
	}
	l.Log.Event("recovery", "era", version.Era(), "plan", uint64(plan.Version), "outcome", "ended", "ms", (l.Clock() - l.recovery.since).Milliseconds())
	return true
}

// askForPlans asks all known hosts for plans newer than the known one, and adopts them. It returns
// the incarnations that answered, by address.
func (l *Leader) askForPlans(ctx context.Context, known assign.Fence) map[string]string {
	ctx, cancel := context.WithTimeout(ctx, peerPlanTimeout)
	defer cancel()
	var mu sync.Mutex
	answered := map[string]string{l.Self.Addr: l.Self.Incarnation}
	var calls sync.WaitGroup
	for _, host := range l.knownHosts() {
		calls.Go(func() {
			answer, err := l.Peers.NewerPlan(ctx, host, known)
			if err != nil {
				l.Log.Routine("recovery", "host", host.Name, "outcome", "no answer", "err", err.Error())
				return
			}
			if answer.Newer != nil {
				l.Current.AdoptOfUnknownAge(*answer.Newer)
			}
			mu.Lock()
			defer mu.Unlock()
			answered[host.Addr] = answer.Incarnation
		})
	}
	calls.Wait()
	return answered
}

// knownHosts returns the other hosts, registered ones and those of the plan, one for each address.
func (l *Leader) knownHosts() []assign.Host {
	seen := map[string]bool{l.Self.Addr: true}
	var hosts []assign.Host
	for _, host := range append(l.Hosts(), l.Current.Plan().Hosts...) {
		if !seen[host.Addr] {
			seen[host.Addr] = true
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// recoveryWait returns how long the first plan of the new era has to wait at least, and for which
// host of the plan.
func (l *Leader) recoveryWait(plan assign.Plan, answered map[string]string) (longest time.Duration, name string) {
	now := l.Clock()
	hosts := plan.Hosts
	if plan.Version == 0 {
		// The hosts that acted by a plan, which the log may have lost, have all restarted or do not answer.
		hosts = append(l.Hosts(), l.Current.Plan().Hosts...)
		longest, name = l.recovery.since+l.Timing.MaxGrantLifetime()-now, l.Self.Name
	}
	for _, host := range hosts {
		incarnation, ok := answered[host.Addr]
		var until time.Duration
		switch {
		case ok && incarnation == host.Incarnation:
			continue
		case ok:
			id := idOf(host)
			if _, known := l.recovery.endedAt[id]; !known {
				l.recovery.endedAt[id] = now
			}
			until = l.recovery.endedAt[id] + l.Timing.MaxGrantLifetime()
		default:
			until = l.recovery.since + l.Timing.RenewalsStopWithin() + l.Timing.MaxGrantLifetime()
		}
		if until-now > longest {
			longest, name = until-now, host.Name
		}
	}
	return longest, name
}
