package leader

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// testElector answers Join as the test sets it.
type testElector struct {
	leads bool
	err   error
}

// Join implements Elector.
func (e *testElector) Join(context.Context) (bool, error) { return e.leads, e.err }

// testGranter counts releases.
type testGranter struct {
	grants.Granter
	releases int
}

// Release implements grants.Granter.
func (g *testGranter) Release(context.Context, assign.Server, keyrange.Range, assign.Fence) (string, error) {
	g.releases++
	return "", nil
}

func newTestLeader(self assign.Host) (*Leader, *testElector, *testGranter, *time.Duration) {
	now := time.Second
	elector, granter := &testElector{}, &testGranter{}
	l := New(Config{
		Self: self, Current: assign.NewCurrent(), Elector: elector, Granter: granter,
		Clock: func() time.Duration { return now }, Log: eventlog.Discard(),
	})
	return l, elector, granter, &now
}

// TestReplacedLeaderDoesNotTakeThePlanBack guards against two leaders that replace each other's plans: the calls of one to
// the election fail after another host has been elected, so it still believes that it leads.
func TestReplacedLeaderDoesNotTakeThePlanBack(t *testing.T) {
	self, other := assign.Host{Name: "a", Incarnation: "1"}, assign.Host{Name: "b", Incarnation: "1"}
	l, elector, _, now := newTestLeader(self)
	step := func() bool {
		*now += 100 * time.Millisecond
		l.joinElection(t.Context())
		return l.mayAct()
	}
	assert.Assert(t, !step())
	elector.leads = true
	assert.Assert(t, step(), "the first leader waits")
	l.Current.Adopt(assign.Plan{Version: 1, Leader: self})
	assert.Assert(t, step())
	elector.err = errors.New("no answer")
	assert.Assert(t, step(), "a failed call ends the lead")
	l.Current.Adopt(assign.Plan{Version: 2, Leader: other})
	for range 50 {
		assert.Assert(t, !step(), "takes the plan back from its successor")
	}
	// The successor dies, and this host is elected again.
	elector.err = nil
	assert.Assert(t, step())
}

// TestNewLeaderTakesOverAtOnce guards against a new leader that waits although its predecessor has not acted since the election.
func TestNewLeaderTakesOverAtOnce(t *testing.T) {
	l, elector, _, now := newTestLeader(assign.Host{Name: "a", Incarnation: "1"})
	l.Current.Adopt(assign.Plan{Version: 1, Leader: assign.Host{Name: "b", Incarnation: "1"}})
	assert.Assert(t, !l.mayAct())
	l.Current.Adopt(assign.Plan{Version: 2, Leader: assign.Host{Name: "c", Incarnation: "1"}})
	assert.Assert(t, !l.mayAct())
	*now += time.Second
	elector.leads = true
	l.joinElection(t.Context())
	assert.Assert(t, l.mayAct())
}

// TestReleaseOfAnOlderPlanIsNotSent guards against releases that go out twice around a change of the leader: the former one
// has read its successor's plan, and its release is still being tried.
func TestReleaseOfAnOlderPlanIsNotSent(t *testing.T) {
	l, _, granter, now := newTestLeader(assign.Host{Name: "a", Incarnation: "1"})
	planWith := func(version assign.Fence, phase assign.Phase) assign.Assignment {
		a := assign.Assignment{Range: keyrange.All, Phase: phase, Fence: version, Server: assign.Server{ID: "s"}}
		l.Current.Adopt(assign.Plan{Version: version, Services: map[string][]assign.Assignment{"revize": {a}}})
		l.Current.Verify(*now, 0)
		return a
	}
	first := planWith(1, assign.Releasing)
	id := releaseID{"revize", first.First, first.Fence}
	_, err := l.requestRelease(t.Context(), id, first)
	assert.NilError(t, err)
	assert.Equal(t, granter.releases, 1)
	planWith(2, assign.Held)
	_, err = l.requestRelease(t.Context(), id, first)
	assert.Assert(t, errors.Is(err, errReleaseNotPlanned))
	planWith(3, assign.Releasing)
	_, err = l.requestRelease(t.Context(), id, first)
	assert.Assert(t, errors.Is(err, errReleaseNotPlanned))
	assert.Equal(t, granter.releases, 1)
}
