package renew

import (
	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
)

// olderConnections knows of a host's connections to servers which ones are older than the plans that issued the grants of the
// present plan. The zero value knows none. It must not be used concurrently.
type olderConnections struct {
	// version is the version of the newest plan, and newest the newest connection known to be older than it.
	version assign.Fence
	newest  continuity.Number
	// byFence holds the newest connection known to be older than the plan with a version, for each plan that issued a grant of the
	// newest one.
	byFence map[assign.Fence]continuity.Number
}

// than returns the newest connection that is known to be older than the plan that issued a grant.
func (o *olderConnections) than(fence assign.Fence) continuity.Number {
	return o.byFence[fence]
}

// add adds the next plan. opened is the number of the newest connection of the host. A plan of a leader that tells no numbers counts as
// written when this host learns of it, if it learns promptly.
func (o *olderConnections) add(plan assign.Plan, self assign.Host, opened continuity.Number, prompt bool) {
	newest, told := plan.ConnectionsOf(self)
	if !told && prompt {
		newest = opened
	}
	byFence := make(map[assign.Fence]continuity.Number)
	for _, assignments := range plan.Services {
		for _, a := range assignments {
			byFence[a.Fence] = o.olderThan(a.Fence, plan.Version, newest)
		}
	}
	o.version, o.newest, o.byFence = plan.Version, newest, byFence
}

// olderThan returns the newest connection known to be older than the plan that issued a grant of the next plan.
func (o *olderConnections) olderThan(fence, next assign.Fence, newest continuity.Number) continuity.Number {
	if known, ok := o.byFence[fence]; ok {
		return known
	}
	switch {
	case fence >= next:
		return newest
	case fence >= o.version:
		// The host has missed the plan that issued the grant. It was written after the newest one that the host had seen.
		return o.newest
	}
	return 0
}
