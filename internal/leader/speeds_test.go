package leader

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/concurrency"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// speedLeader returns a leader that knows the given number of servers, and the reading of its clock.
func speedLeader(servers int) (*Leader, *time.Duration) {
	now := new(time.Duration)
	*now = time.Hour
	f := fleet.New(fleet.Options{Target: func(string) *transport.Target { return nil }})
	var entries []fleet.Entry
	for i := range servers {
		entries = append(entries, fleet.Entry{ID: fleet.ID(fmt.Sprint("s", i)), Service: "revize", Zone: "zlin", Slots: 4, Born: 1, Addr: fmt.Sprint("10.0.0.", i)})
	}
	f.Set(entries, 0)
	l := New(Config{
		Self: assign.Host{Name: "a"}, Fleet: f, Clock: func() time.Duration { return *now }, CutOff: func(string) bool { return false },
		ZoneEvacuated: func(string) bool { return false },
	})
	return l, now
}

// capacities returns the capacities by which keys are divided.
func capacities(l *Leader, now time.Duration) []float64 {
	var all []float64
	for _, c := range l.snapshot("revize", routetable.New(routetable.Config{}), now).Candidates {
		all = append(all, c.Capacity)
	}
	return all
}

func speedOf(id string, lasting, passing float64) concurrency.Speed {
	return concurrency.Speed{Server: concurrency.Server{ID: id, Born: 1}, Lasting: lasting, Passing: passing}
}

// TestKeysAreDividedByLastingSpeed checks that a server of 0.7 gets 2.4 times the keys of one of 1.7, also when no host
// reports the speeds any more, and that the passing slowness is forgotten with its report.
func TestKeysAreDividedByLastingSpeed(t *testing.T) {
	l, now := speedLeader(3)
	l.Report(Reporter{Name: "h1", Incarnation: "1"}, Report{Speeds: []concurrency.Speed{speedOf("s0", 0.07, 1), speedOf("s1", 0.07, 2)}}, nil)
	l.Report(Reporter{Name: "h2", Incarnation: "1"}, Report{Speeds: []concurrency.Speed{speedOf("s2", 0.17, 1)}}, nil)
	near := func(got, want float64) {
		t.Helper()
		assert.Assert(t, math.Abs(got/want-1) < 0.01, "%v, not %v", got, want)
	}
	c := capacities(l, *now)
	near(c[0]/c[2], 1.7/0.7)
	near(c[0]/c[1], 2)
	*now += reportTTL + time.Second
	c = capacities(l, *now)
	near(c[0]/c[2], 1.7/0.7)
	near(c[0]/c[1], 1)
	*now += speedRetention
	assert.DeepEqual(t, capacities(l, *now), []float64{4, 4, 4})
}

// TestReportsOfOlderBuildsCount checks that servers whose primaries are of a build that reports no speeds are weighted by
// their slowness, as before, and that another incarnation of a server does not inherit a speed.
func TestReportsOfOlderBuildsCount(t *testing.T) {
	l, now := speedLeader(2)
	l.Report(Reporter{Name: "h1", Incarnation: "1"}, Report{Slowness: map[string]int{"s0": 200, "s1": 100}}, nil)
	assert.DeepEqual(t, capacities(l, *now), []float64{2, 4})
	other := speedOf("s0", 0.1, 1)
	other.Server.Born = 7
	l.Report(Reporter{Name: "h2", Incarnation: "1"}, Report{Speeds: []concurrency.Speed{other}}, nil)
	assert.DeepEqual(t, capacities(l, *now), []float64{2, 4})
}

// TestReportedSpeedsAreBounded guards against a capacity of zero, or of no number, and against one server that gets all keys.
func TestReportedSpeedsAreBounded(t *testing.T) {
	l, now := speedLeader(3)
	l.Report(Reporter{Name: "h1", Incarnation: "1"}, Report{Speeds: []concurrency.Speed{
		speedOf("s0", 0, 1), speedOf("s0", math.NaN(), 1), speedOf("s0", math.Inf(1), 1), speedOf("s0", -1, 1), speedOf("s0", 1, math.NaN()),
		speedOf("s1", 1e-6, 1), speedOf("s2", 1e6, 100),
	}}, nil)
	assert.DeepEqual(t, capacities(l, *now), []float64{4, 4 / minSlowness, 4 / maxSlowness})
}

// TestNoiseOfASpeedMovesNoKeys guards against keys that move with each report of a speed that is estimated a little anew.
func TestNoiseOfASpeedMovesNoKeys(t *testing.T) {
	l, now := speedLeader(2)
	l.Report(Reporter{Name: "h1", Incarnation: "1"}, Report{Speeds: []concurrency.Speed{speedOf("s0", 0.1, 1), speedOf("s1", 0.1, 1)}}, nil)
	before := capacities(l, *now)
	l.Report(Reporter{Name: "h1", Incarnation: "1"}, Report{Speeds: []concurrency.Speed{speedOf("s0", 0.105, 1), speedOf("s1", 0.094, 1)}}, nil)
	assert.DeepEqual(t, capacities(l, *now), before)
	l.Report(Reporter{Name: "h1", Incarnation: "1"}, Report{Speeds: []concurrency.Speed{speedOf("s0", 0.12, 1)}}, nil)
	assert.Assert(t, capacities(l, *now)[0] < before[0])
}
