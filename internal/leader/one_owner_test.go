package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/grants"
)

// checkOneOwner runs the simulation with all seeds, and checks that no key ever has two owners, that
// fencing tokens rise, and that every key has an owner again after the faults.
func checkOneOwner(t *testing.T, inject func(*simulation)) {
	runs := *simRuns
	if testing.Short() {
		runs = 5
	}
	for seed := *simFirst; seed < *simFirst+runs; seed++ {
		violation, held := simulate(t, uint64(seed), grants.DefaultTiming(), inject)
		assert.Equal(t, violation, "", "seed %d", seed)
		assert.Equal(t, held, simServers, "seed %d: number of cells with an owner after the faults", seed)
	}
}

// checkDetected runs the simulation, in which a safety rule is disabled, with seeds from zero on, and checks that a violation is found in
// one of the given number of runs.
func checkDetected(t *testing.T, runs uint64, assumed grants.Timing, inject func(*simulation)) {
	t.Helper()
	for seed := range runs {
		if violation, _ := simulate(t, seed, assumed, inject); violation != "" {
			return
		}
	}
	t.Fatalf("no violation found in %d runs although the rule is disabled", runs)
}

func TestOneOwnerUnderRandomFaults(t *testing.T) {
	checkOneOwner(t, (*simulation).injectFault)
}

// TestOneOwnerAcrossRestores has restores of the log from older copies among the faults, also while all
// hosts restart.
func TestOneOwnerAcrossRestores(t *testing.T) {
	checkOneOwner(t, func(sim *simulation) { sim.injectFaultOr(0.25, sim.restore) })
}

// TestOneOwnerAcrossOrders has hosts replaced by builds that do not know the weighted order, and back, among the faults.
func TestOneOwnerAcrossOrders(t *testing.T) {
	checkOneOwner(t, func(sim *simulation) { sim.injectFaultOr(0.33, sim.injectUpgrade) })
}

// TestOneOwnerBesideTheBuildBefore has hosts replaced by ones of the build before among the faults, and back. What these write as leaders tells
// nothing of connections.
func TestOneOwnerBesideTheBuildBefore(t *testing.T) {
	checkOneOwner(t, func(sim *simulation) {
		sim.set(func() { sim.leadersBefore = true })
		sim.injectFaultOr(0.33, sim.injectUpgrade)
	})
}

// TestOneOwnerAcrossLateRegistrations has hosts among the faults that are killed twice in a row and then cut off together with a server, so that the
// registration of the first new incarnation may be carried out while the second one renews out of reach (review, case 6).
func TestOneOwnerAcrossLateRegistrations(t *testing.T) {
	checkOneOwner(t, func(sim *simulation) { sim.injectFaultOr(0.5, sim.injectRestarts) })
}

// TestSimulationDetectsMissingWaits disables one safety rule at a time and checks that the simulation
// finds a violation; otherwise TestOneOwnerUnderRandomFaults would prove nothing about that rule.
func TestSimulationDetectsMissingWaits(t *testing.T) {
	for name, change := range map[string]func(assumed *grants.Timing){
		"leader does not wait for the last grant": func(assumed *grants.Timing) {
			assumed.TTL, assumed.CallTimeout = 0, 100*time.Millisecond
		},
		"leader does not wait for hosts that are cut off": func(assumed *grants.Timing) {
			assumed.MaxPlanAge = 100 * time.Millisecond
		},
	} {
		t.Run(name, func(t *testing.T) {
			assumed := grants.DefaultTiming()
			change(&assumed)
			checkDetected(t, 400, assumed, (*simulation).injectFault)
		})
	}
}

// TestSimulationDetectsNewerConnections checks that the simulation finds a violation if plans tell of more connections than the hosts had opened when
// the plans were written, so that renewals go on over newer ones; otherwise TestOneOwnerAcrossQuickRestarts would prove nothing about the rule.
func TestSimulationDetectsNewerConnections(t *testing.T) {
	checkDetected(t, 100, grants.DefaultTiming(), func(sim *simulation) {
		sim.set(func() { sim.overstated = 1000 })
		sim.injectFaultOr(0.5, sim.injectQuickRestarts)
	})
}

// TestSimulationDetectsFalseEnds checks that the simulation finds a violation if the leader takes incarnations for ended that are out of
// reach; otherwise TestOneOwnerAcrossLateRegistrations would prove nothing about the proof that an incarnation has ended.
func TestSimulationDetectsFalseEnds(t *testing.T) {
	checkDetected(t, 100, grants.DefaultTiming(), func(sim *simulation) {
		sim.set(func() { sim.falseEnds = true })
		sim.injectFaultOr(0.5, sim.injectRestarts)
	})
}

// TestOneOwnerAcrossLostMoves loses moves of keys with restores of the log, while hosts that know of them go on renewing.
func TestOneOwnerAcrossLostMoves(t *testing.T) {
	checkOneOwner(t, (*simulation).loseMove)
}

// TestSimulationDetectsHiddenPlans checks that the simulation finds a violation if the leader builds on
// the plan of the restored log; otherwise TestOneOwnerAcrossRestores and TestOneOwnerAcrossLostMoves would prove
// nothing about it.
func TestSimulationDetectsHiddenPlans(t *testing.T) {
	checkDetected(t, 20, grants.DefaultTiming(), func(sim *simulation) {
		sim.set(func() { sim.hidePlans = true })
		sim.loseMove()
	})
}
