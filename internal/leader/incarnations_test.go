package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// planner is a leader whose plans are taken over as soon as they are computed.
type planner struct {
	*Leader
	now        time.Duration
	registered []assign.Host
	table      *routetable.Table
	plan       assign.Plan
}

// incarnationOf returns an incarnation of a host with its usual address.
func incarnationOf(name, incarnation string) assign.Host {
	return assign.Host{Name: name, Incarnation: incarnation, Addr: "addr-" + name, Zone: "zlin", KnownOrder: assign.OrderByWeight}
}

// newPlanner returns a leader, a/1, of the registered hosts.
func newPlanner(registered ...assign.Host) *planner {
	p := &planner{registered: registered, now: time.Hour, table: routetable.New(routetable.Config{})}
	p.Leader = New(Config{
		Self: incarnationOf("a", "1"), Current: assign.NewCurrent(), Hosts: func() []assign.Host { return p.registered },
		CutOff: func(string) bool { return false }, Fleet: fleet.New(fleet.Options{}), Timing: grants.DefaultTiming(),
		OperatorOffset: func() uint64 { return 0 }, Clock: func() time.Duration { return p.now }, Log: eventlog.Discard(),
	})
	return p
}

// step computes the next plan after the given time, and reports whether it differs.
func (p *planner) step(after time.Duration) bool {
	p.now += after
	version := p.plan.Version + 1
	next, changed := p.nextPlan(p.plan, p.table, version)
	if !changed {
		return false
	}
	next.Version = version
	p.noteHostChanges(p.plan, next)
	p.Current.Adopt(next)
	p.plan = next
	return true
}

// report sends a report of an incarnation that acts by the present plan.
func (p *planner) report(host assign.Host) {
	p.Report(Reporter{Name: host.Name, Incarnation: host.Incarnation, Plan: p.plan.Version}, Report{}, nil)
}

// listed returns the incarnations of a host in the plan: those that may renew, and those that are retired.
func (p *planner) listed(name string) (active, retired []string) {
	for _, host := range p.plan.Hosts {
		switch {
		case host.Name != name:
		case host.Retired:
			retired = append(retired, host.Incarnation)
		default:
			active = append(active, host.Incarnation)
		}
	}
	return active, retired
}

// assertListed checks which incarnations of a host the plan lists.
func (p *planner) assertListed(t *testing.T, name string, active, retired []string) {
	t.Helper()
	gotActive, gotRetired := p.listed(name)
	assert.DeepEqual(t, gotActive, active)
	assert.DeepEqual(t, gotRetired, retired)
}

// TestLateRegistrationEndsNoIncarnation guards against two owners of a key: the registration of a host's former incarnation was carried out late
// and replaced that of the present one, and the leader took that one for ended while it went on renewing (review, case 6).
func TestLateRegistrationEndsNoIncarnation(t *testing.T) {
	former, present := incarnationOf("b", "1"), incarnationOf("b", "2")
	p := newPlanner(present)
	assert.Assert(t, p.step(0))
	p.assertListed(t, "b", []string{"2"}, nil)

	p.registered = []assign.Host{former}
	assert.Assert(t, p.step(time.Second))
	p.assertListed(t, "b", []string{"1"}, []string{"2"})
	assert.Equal(t, len(p.plan.PossibleRenewers("zlin")), 3, "a release waits for the incarnation that may still renew")
	assert.Assert(t, !p.step(time.Second))

	p.report(present)
	assert.Assert(t, p.step(time.Second))
	p.assertListed(t, "b", []string{"2"}, nil)
	assert.Assert(t, !p.step(time.Second), "the record of the former incarnation changes nothing any more")
	p.registered = []assign.Host{present}
	assert.Assert(t, !p.step(time.Second))
}

// TestRestartedHostReplacesItsFormerIncarnation checks that the first report of a restarted host proves that its former
// incarnation has ended, and that one that nothing is heard of stays listed until it must have stopped renewing.
func TestRestartedHostReplacesItsFormerIncarnation(t *testing.T) {
	former, present := incarnationOf("b", "1"), incarnationOf("b", "2")
	p := newPlanner(former)
	assert.Assert(t, p.step(0))
	p.report(present)
	p.registered = []assign.Host{present}
	assert.Assert(t, p.step(time.Second))
	p.assertListed(t, "b", []string{"2"}, nil)

	silent := incarnationOf("b", "3")
	silent.Addr = "another address"
	p.registered = []assign.Host{silent}
	assert.Assert(t, p.step(time.Second))
	p.assertListed(t, "b", []string{"3"}, []string{"2"})
	bound := p.Timing.RenewalsStopWithin() + p.Timing.MaxGrantLifetime()
	for waited := time.Duration(0); waited < bound; waited += time.Second {
		p.report(silent)
		assert.Assert(t, !p.step(time.Second), "a report from another address proves nothing")
	}
	p.report(silent)
	assert.Assert(t, p.step(time.Second))
	p.assertListed(t, "b", []string{"3"}, nil)
}

// TestRestartCostsOnePlan guards against a plan that only retires or removes an incarnation that has ended, before the one that lists the next
// incarnation: each of the two gives all keys of the zone new fencing tokens.
func TestRestartCostsOnePlan(t *testing.T) {
	former, present := incarnationOf("b", "1"), incarnationOf("b", "2")
	p := newPlanner(former)
	assert.Assert(t, p.step(0))
	p.report(present)
	for range 3 {
		assert.Assert(t, !p.step(admissionInterval), "the present incarnation has not registered yet")
	}
	p.registered = []assign.Host{present, incarnationOf("c", "1")}
	assert.Assert(t, p.step(time.Millisecond))
	p.assertListed(t, "b", []string{"2"}, nil)

	next := incarnationOf("c", "2")
	p.report(next)
	p.registered[1] = next
	assert.Assert(t, !p.step(admissionInterval/2), "the last plan has just listed hosts")
	assert.Assert(t, p.step(admissionInterval))
	p.assertListed(t, "c", []string{"2"}, nil)
	assert.Assert(t, !p.step(time.Second))
}

// TestAnnouncementKeepsTheLastReport guards against keys that move since the first message of a restarted host, which has no requests yet,
// takes the place of what its former incarnation has reported.
func TestAnnouncementKeepsTheLastReport(t *testing.T) {
	former, present := incarnationOf("b", "1"), incarnationOf("b", "2")
	p := newPlanner(former)
	assert.Assert(t, p.step(0))
	rates := map[string]map[keyrange.Key]keyrange.CentiRate{"revize": {7: 100}}
	p.Report(Reporter{Name: "b", Incarnation: "1", Plan: p.plan.Version}, Report{Rates: rates}, nil)
	p.Heard(Reporter{Name: "b", Incarnation: "2", Plan: p.plan.Version}, nil)
	assert.DeepEqual(t, p.reports["b"].Rates, rates)
	p.registered = []assign.Host{present}
	assert.Assert(t, p.step(time.Second))
	p.assertListed(t, "b", []string{"2"}, nil)
}

// TestReportOfAFormerIncarnation checks that a report that arrives after its sender has ended counts for no other incarnation.
func TestReportOfAFormerIncarnation(t *testing.T) {
	former, present := incarnationOf("b", "1"), incarnationOf("b", "2")
	p := newPlanner(former)
	assert.Assert(t, p.step(0))
	p.report(present)
	p.registered = []assign.Host{present}
	assert.Assert(t, p.step(time.Second))
	p.assertListed(t, "b", []string{"2"}, nil)
	for range 2 {
		p.report(former)
		p.step(retireTimeout/2 + time.Second)
	}
	p.assertListed(t, "b", nil, []string{"2"})
	p.report(present)
	assert.Assert(t, p.step(time.Second))
	p.assertListed(t, "b", []string{"2"}, nil)
}

// TestReportsOfBuildsWithoutIncarnations checks that a report without an incarnation counts for the one that may renew.
func TestReportsOfBuildsWithoutIncarnations(t *testing.T) {
	p := newPlanner(incarnationOf("b", "1"))
	assert.Assert(t, p.step(0))
	for range 4 {
		p.Report(Reporter{Name: "b"}, Report{}, nil)
		assert.Assert(t, !p.step(retireTimeout/2))
	}
	p.registered = []assign.Host{incarnationOf("b", "2")}
	assert.Assert(t, p.step(time.Second))
	for range 2 {
		p.Report(Reporter{Name: "b"}, Report{}, nil)
		assert.Assert(t, !p.step(retireTimeout/2))
		p.assertListed(t, "b", []string{"2"}, []string{"1"})
	}
}

// TestLeaderWithAForeignRegistrationWritesNoPlans guards against a leader that writes a plan with new fencing tokens every 21 ms, for
// good, since the registration of its former incarnation was carried out late (review, case 6).
func TestLeaderWithAForeignRegistrationWritesNoPlans(t *testing.T) {
	p := newPlanner(incarnationOf("a", "0"))
	assert.Assert(t, p.step(0))
	p.assertListed(t, "a", []string{"1"}, nil)
	for range 5 {
		assert.Assert(t, !p.step(time.Second))
	}

	// A leader before it has listed that incarnation.
	elsewhere := incarnationOf("a", "9")
	elsewhere.Since, elsewhere.Addr = 1, "another address"
	here := incarnationOf("a", "0")
	here.Since = 1
	p.plan.Hosts = append([]assign.Host{here, elsewhere}, p.plan.Hosts...)
	assert.Assert(t, p.step(time.Second))
	p.assertListed(t, "a", []string{"1"}, []string{"9"})
	assert.Assert(t, !p.step(time.Second))
}

// answeringPeers answer calls to a host as one incarnation, or not at all.
type answeringPeers struct {
	Peers
	incarnation string
}

// Adopt implements Peers.
func (p answeringPeers) Adopt(ctx context.Context, host assign.Host, _ assign.Plan) (string, error) {
	if host.Name != "b" {
		return host.Incarnation, nil
	}
	if p.incarnation == "" {
		<-ctx.Done()
		return "", errors.New("no answer")
	}
	return p.incarnation, nil
}

// TestProofThatARenewerHasStopped guards against a release that does not wait for an incarnation only because the plan lists
// another one (review, case 6).
func TestProofThatARenewerHasStopped(t *testing.T) {
	for name, c := range map[string]struct {
		answers string
		proof   StopProof
		waits   bool
	}{
		"it answers":                            {"2", Acknowledged, false},
		"another one answers at its address":    {"3", AddressTaken, false},
		"nobody answers, another one is listed": {"", Expired, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				l := New(Config{
					Self: incarnationOf("a", "1"), Current: assign.NewCurrent(), Peers: answeringPeers{incarnation: c.answers},
					Timing: grants.DefaultTiming(), Clock: func() time.Duration { return time.Since(started) + time.Hour }, Log: eventlog.Discard(),
				})
				plan := assign.Plan{Version: 7, Hosts: []assign.Host{incarnationOf("b", "2")}}
				// The newest plan lists another incarnation only.
				l.Current.Adopt(assign.Plan{Version: 8, Hosts: []assign.Host{incarnationOf("b", "1")}})
				_, stopped := l.stopRenewers(t.Context(), assign.Assignment{Range: keyrange.All, Server: assign.Server{Zone: "zlin"}}, plan)
				assert.DeepEqual(t, stopped.proofs, map[hostID]StopProof{{"b", "2"}: c.proof})
				assert.Equal(t, l.Clock()-time.Hour >= l.Timing.RenewalsStopWithin(), c.waits)
				assert.Equal(t, l.Metrics().Incarnations.Stopped[c.proof], int64(1))
			})
		})
	}
}
