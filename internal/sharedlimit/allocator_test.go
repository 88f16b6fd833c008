package sharedlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testHosts are the hosts of the plans in these tests. The incarnation of host h is "h.1".
var testHosts = []Member{{"a", "a.1"}, {"b", "b.1"}, {"c", "c.1"}}

// office is the view of a plan whose leader is the given incarnation, verified at the given time.
func office(leader string, term uint64, verified time.Duration) View {
	return View{Leader: leader, Term: term, First: term == 1, Verified: verified, Hosts: testHosts}
}

// asking returns an ask of a host to the leader "a.1" by plan 1.
func asking(host string, sequence uint64, need Need) Ask {
	need.Refill = 1
	return Ask{Host: host, Incarnation: host + ".1", Leader: "a.1", Plan: 1, Sequence: sequence, Needs: map[string]Need{"x": need}}
}

// newTestAllocator returns the allocator of the first leader of a log.
func newTestAllocator(now time.Duration) *Allocator {
	a := NewAllocator("a.1", DefaultTiming)
	a.Observe(office("a.1", 1, now), now)
	return a
}

// fraction answers an ask and returns the fraction granted.
func fraction(t *testing.T, a *Allocator, ask Ask, now time.Duration) float64 {
	t.Helper()
	answer, err := a.Answer(ask, now)
	assert.NilError(t, err)
	return answer.Grants["x"].Fraction
}

// TestAsksThatMayNotBeAnswered guards against a part of a limit that is given out twice, by a former leader, to a host that a new
// leader does not know of, or because of a message that arrives late.
func TestAsksThatMayNotBeAnswered(t *testing.T) {
	const now = time.Minute
	need := Need{Demand: 0.1}
	for name, test := range map[string]struct {
		change func(*Ask)
		view   View
	}{
		"another leader in the plan":             {func(*Ask) {}, office("b.1", 5, now)},
		"a plan that was not verified":           {func(*Ask) {}, office("a.1", 1, now-DefaultTiming.MaxPlanAge-1)},
		"an ask of a term before":                {func(ask *Ask) { ask.Plan = 4 }, office("a.1", 5, now)},
		"an ask to a former incarnation":         {func(ask *Ask) { ask.Leader = "a.0" }, office("a.1", 1, now)},
		"a host that is not in the plan":         {func(ask *Ask) { ask.Host, ask.Incarnation = "d", "d.1" }, office("a.1", 1, now)},
		"an incarnation that is not in the plan": {func(ask *Ask) { ask.Incarnation = "b.2" }, office("a.1", 1, now)},
		"an ask that was overtaken":              {func(ask *Ask) { ask.Sequence = 1 }, office("a.1", 1, now)},
	} {
		t.Run(name, func(t *testing.T) {
			a := newTestAllocator(now)
			fraction(t, a, asking("b", 1, need), now)
			a.Observe(test.view, now)
			ask := asking("b", 2, need)
			test.change(&ask)
			_, err := a.Answer(ask, now)
			assert.ErrorIs(t, err, ErrNotAllocator)
		})
	}
}

// TestEachListedIncarnationIsAnswered guards against a host without shares while the plan lists another incarnation of it first, which has
// ended: the one that asks is the one that runs.
func TestEachListedIncarnationIsAnswered(t *testing.T) {
	const now = time.Minute
	a := newTestAllocator(now)
	view := office("a.1", 5, now)
	view.Hosts = append([]Member{{Name: "b", Incarnation: "b.0"}}, view.Hosts...)
	a.Observe(view, now)
	ask := asking("b", 1, Need{Demand: 0.1})
	ask.Plan = 5
	_, err := a.Answer(ask, now)
	assert.NilError(t, err)
}

// TestLoweredShareCountsUntilConfirmed guards against a part that one host still uses while another one has it already.
func TestLoweredShareCountsUntilConfirmed(t *testing.T) {
	const now = time.Minute
	a := newTestAllocator(now)
	held := fraction(t, a, asking("b", 1, Need{Demand: 5}), now)
	first := fraction(t, a, asking("c", 1, Need{Demand: 5}), now)
	assert.Assert(t, held > 0.8 && first > 0 && held+first <= SettledTotal, "%v %v", held, first)
	lowered := fraction(t, a, asking("b", 2, Need{Demand: 5, Held: held}), now)
	assert.Assert(t, lowered < 0.5, "%v", lowered)
	before := fraction(t, a, asking("c", 2, Need{Demand: 5, Held: first}), now)
	assert.Assert(t, before+held <= SettledTotal+1e-9, "%v", before)
	fraction(t, a, asking("b", 3, Need{Demand: 5, Held: lowered}), now)
	after := fraction(t, a, asking("c", 3, Need{Demand: 5, Held: before}), now)
	assert.Assert(t, after > 0.4 && after+lowered <= SettledTotal+1e-9, "%v", after)
}

// TestShareOfALostHost guards against a share that is free while its host may use it, or that is never free.
func TestShareOfALostHost(t *testing.T) {
	const now = time.Minute
	for name, test := range map[string]struct {
		after     time.Duration
		restarted bool
		free      bool
	}{
		"within the lease":    {DefaultTiming.Lease, false, false},
		"after the lease":     {DefaultTiming.reserved(), false, true},
		"another incarnation": {time.Second, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			a := newTestAllocator(now)
			held := fraction(t, a, asking("b", 1, Need{Demand: 5}), now)
			later := now + test.after
			view := office("a.1", 1, later)
			if test.restarted {
				view.Hosts = []Member{{"a", "a.1"}, {"b", "b.2"}, {"c", "c.1"}}
			}
			a.Observe(view, later)
			if test.restarted {
				_, err := a.Answer(Ask{Host: "b", Incarnation: "b.2", Leader: "a.1", Plan: 1, Sequence: 1}, later)
				assert.NilError(t, err)
			}
			got := fraction(t, a, asking("c", 1, Need{Demand: 5}), later)
			assert.Equal(t, got+held > SettledTotal, test.free, "%v of %v", got, held)
		})
	}
}

// TestNewLeaderWaitsForReports guards against a new leader that gives out what hosts hold that have not reported to it, and
// against one that waits for a lost host before it gives anything to the callers of that host.
func TestNewLeaderWaitsForReports(t *testing.T) {
	for name, test := range map[string]struct {
		knownFor time.Duration
		free     float64
	}{
		"a former leader known for long":       {DefaultTiming.handover(), 1 - SettledTotal},
		"a former leader that was new as well": {DefaultTiming.handover() - 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			a := NewAllocator("a.1", DefaultTiming)
			a.Observe(office("c.1", 3, now), now)
			now += test.knownFor
			a.Observe(office("a.1", 9, now), now)
			ask := func(host string, sequence uint64, need Need) float64 {
				ask := asking(host, sequence, need)
				ask.Plan = 9
				return fraction(t, a, ask, now)
			}
			assert.Assert(t, ask("a", 1, Need{Demand: 5}) <= test.free)
			sum := ask("a", 2, Need{Demand: 5}) + ask("b", 1, Need{Demand: 5, Held: 0.3})
			assert.Assert(t, sum <= 0.3+test.free+1e-9, "%v", sum)
			assert.Assert(t, !a.Counters(now).Settled)
			ask("c", 1, Need{})
			assert.Assert(t, a.Counters(now).Settled)
			a.Observe(office("a.1", 9, now), now)
			assert.Assert(t, ask("b", 2, Need{Demand: 5, Held: 0.3}) > 0.4)
		})
	}
}
