package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

func newTestPolicy(t assert.TestingT, name Name, seed uint64) Policy {
	policy, err := New(name, Options{Zone: "brno-sever", Rand: rand.New(rand.NewPCG(seed, 1))})
	assert.NilError(t, err)
	return policy
}

var testTargets = []Target{
	{Addr: "127.0.0.1:1", Zone: "brno-sever", Slots: 4},
	{Addr: "127.0.0.1:2", Zone: "brno-sever", Slots: 4},
	{Addr: "127.0.0.1:3", Zone: "zlin", Slots: 4},
}

// picksPerTarget makes the given number of picks without starting attempts and returns
// how often each target was picked.
func picksPerTarget(policy Policy, now time.Duration, picks int) map[string]int {
	counts := map[string]int{}
	for range picks {
		addr, _ := policy.Pick(now)
		counts[addr]++
	}
	return counts
}

func TestPickNeverReturnsExcludedOrUnknown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom(Names()).Draw(t, "policy")
		policy := newTestPolicy(t, name, rapid.Uint64().Draw(t, "seed"))
		addrs := []string{"a", "b", "c", "d", "e"}
		var set []string
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			addr := rapid.SampledFrom(addrs).Draw(t, "addr")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				set = rapid.SliceOfDistinct(rapid.SampledFrom(addrs), rapid.ID).Draw(t, "set")
				targets := make([]Target, len(set))
				for i, each := range set {
					targets[i] = Target{Addr: each, Zone: each, Slots: i}
				}
				policy.SetTargets(now, targets)
			case 1:
				policy.Started(addr, now)
			case 2:
				result := Result(rapid.IntRange(0, int(Cancelled)).Draw(t, "result"))
				policy.Finished(addr, now, time.Millisecond, result)
			case 3:
				policy.Report(addr, now, backend.LoadReport{Slots: 1, Draining: rapid.Bool().Draw(t, "draining")})
			case 4:
				policy.Restarted(addr, now)
			}
			exclude := rapid.SliceOfDistinct(rapid.SampledFrom(addrs), rapid.ID).Draw(t, "exclude")
			picked, ok := policy.Pick(now, exclude...)
			available := slices.ContainsFunc(set, func(each string) bool { return !slices.Contains(exclude, each) })
			assert.Equal(t, ok, available)
			if ok {
				assert.Assert(t, slices.Contains(set, picked) && !slices.Contains(exclude, picked))
			}
		}
	})
}

func TestUnknownPolicy(t *testing.T) {
	_, err := New("fastest", Options{})
	assert.ErrorIs(t, err, ErrUnknownPolicy)
}

func TestDrainingTargetIsAvoided(t *testing.T) {
	for _, name := range Names() {
		policy := newTestPolicy(t, name, 1)
		policy.SetTargets(0, testTargets)
		policy.Report(testTargets[0].Addr, 0, backend.LoadReport{Slots: 4, Draining: true})
		assert.Equal(t, picksPerTarget(policy, 0, 100)[testTargets[0].Addr], 0, string(name))
	}
}

func TestAdaptivePrefersOwnZone(t *testing.T) {
	policy := newTestPolicy(t, Adaptive, 1)
	policy.SetTargets(0, testTargets)
	for _, target := range testTargets {
		policy.Finished(target.Addr, 0, 10*time.Millisecond, Success)
	}
	assert.Equal(t, picksPerTarget(policy, 0, 100)[testTargets[2].Addr], 0)
}

func TestAdaptiveSpillsFromSlowZone(t *testing.T) {
	policy := newTestPolicy(t, Adaptive, 1)
	policy.SetTargets(0, testTargets)
	policy.Finished(testTargets[0].Addr, 0, 100*time.Millisecond, Success)
	policy.Finished(testTargets[1].Addr, 0, 100*time.Millisecond, Success)
	policy.Finished(testTargets[2].Addr, 0, 10*time.Millisecond, Success)
	assert.Equal(t, picksPerTarget(policy, 0, 100)[testTargets[2].Addr], 100)
}

func TestColdTargetIsWarmedByOneHostWithinItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []string{"host-1", "host-2", "host-3"}
		cold := testTargets[0].Addr
		policies := map[string]Policy{}
		for i, host := range hosts {
			policy, err := New(Adaptive, Options{
				Zone:    "brno-sever",
				Rand:    rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), uint64(i))),
				MayWarm: func(addr string) bool { return WarmingHost(addr, hosts) == host },
			})
			assert.NilError(t, err)
			policy.SetTargets(0, testTargets)
			policy.Restarted(cold, 0)
			policies[host] = policy
		}
		inFlight := 0
		for now := time.Duration(0); now < DefaultColdStart; now += 100 * time.Millisecond {
			host := rapid.SampledFrom(hosts).Draw(t, "host")
			addr, ok := policies[host].Pick(now, testTargets[1].Addr, testTargets[2].Addr)
			if !ok {
				continue
			}
			assert.Equal(t, addr, cold)
			assert.Equal(t, host, WarmingHost(cold, hosts))
			policies[host].Started(addr, now)
			inFlight++
			allowed := 1 + 3*now.Seconds()/DefaultColdStart.Seconds()
			assert.Assert(t, float64(inFlight) <= allowed)
		}
	})
}

func TestFailureRestartsColdStart(t *testing.T) {
	policy, err := New(Adaptive, Options{Rand: rand.New(rand.NewPCG(1, 1)), MayWarm: func(string) bool { return false }})
	assert.NilError(t, err)
	policy.SetTargets(0, testTargets[:1])
	policy.Restarted(testTargets[0].Addr, 0)
	policy.Finished(testTargets[0].Addr, 3*time.Second, 0, Failure)
	_, ok := policy.Pick(DefaultColdStart)
	assert.Assert(t, !ok)
	_, ok = policy.Pick(DefaultColdStart + 3*time.Second)
	assert.Assert(t, ok)
}

func TestWarmingHostChangesWithFewHosts(t *testing.T) {
	hosts := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		addr := rapid.String().Draw(t, "addr")
		chosen := WarmingHost(addr, hosts)
		assert.Assert(t, slices.Contains(hosts, chosen))
		lost := rapid.SampledFrom(hosts).Draw(t, "lost")
		left := slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return host == lost })
		if lost != chosen {
			assert.Equal(t, WarmingHost(addr, left), chosen)
		}
	})
	assert.Equal(t, WarmingHost("addr", nil), "")
}
