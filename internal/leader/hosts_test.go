package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// TestRegistrationFromBeforeARestoreReplacesNoHost checks that a registration that a restored log brings
// back does not replace a later incarnation of the host, which lives and may renew grants: releases
// do not wait for an incarnation that the plan no longer lists.
func TestRegistrationFromBeforeARestoreReplacesNoHost(t *testing.T) {
	older, later := assign.Host{Name: "b", Incarnation: "1"}, assign.Host{Name: "b", Incarnation: "2"}
	registered := []assign.Host{older}
	l := New(Config{Self: assign.Host{Name: "a", Incarnation: "1"}, Hosts: func() []assign.Host { return registered }, CutOff: func(string) bool { return false }})
	listed := func() string {
		for _, host := range l.nextHosts([]assign.Host{later}, assign.FenceAt(1, 3), true, time.Second) {
			if host.Name == "b" {
				return host.Incarnation
			}
		}
		return ""
	}
	assert.Equal(t, listed(), "2")
	registered[0].Incarnation, registered[0].Era = "3", 1
	assert.Equal(t, listed(), "3")
}

// TestSomeHostRenewsWhileOthersAreCutOff checks that hosts that reach no server renew nothing, that another one may renew in
// their zone, also if the leader is among them, and that all hosts go on if all are cut off.
func TestSomeHostRenewsWhileOthersAreCutOff(t *testing.T) {
	host := func(name, zone string) assign.Host { return assign.Host{Name: name, Zone: zone, Incarnation: "1"} }
	self := host("a", "brno")
	a := assign.Assignment{Phase: assign.Held, Fence: 10, Server: assign.Server{ID: "s", Zone: "zlin"}}
	for name, c := range map[string]struct{ cutOff, want []string }{
		"none":                         {nil, []string{"c", "d"}},
		"one of the zone":              {[]string{"c"}, []string{"d"}},
		"the zone":                     {[]string{"c", "d"}, []string{"a"}},
		"the zone and the leader":      {[]string{"a", "c", "d"}, []string{"b"}},
		"all":                          {[]string{"a", "b", "c", "d"}, []string{"c", "d"}},
		"the leader, not of this zone": {[]string{"a"}, []string{"c", "d"}},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(Config{
				Self: self, Hosts: func() []assign.Host { return []assign.Host{host("b", "brno"), host("c", "zlin"), host("d", "zlin")} },
				CutOff: func(name string) bool { return slices.Contains(c.cutOff, name) },
			})
			plan := assign.Plan{Leader: self, Hosts: l.nextHosts(nil, 10, true, time.Second)}
			var renewers []string
			for _, host := range plan.Hosts {
				if plan.ShouldRenew(host, a) {
					renewers = append(renewers, host.Name)
					assert.Assert(t, slices.Contains(plan.PossibleRenewers("zlin"), host), "a release waits for it")
				}
			}
			assert.DeepEqual(t, renewers, c.want)
		})
	}
}

// TestRenewerThatIsNewerThanTheGrants guards against keys that lapse while the hosts of their zone reach no server: the host that renews in
// their place had been listed after the grants were issued, so it could renew none of them, and they were not issued anew.
func TestRenewerThatIsNewerThanTheGrants(t *testing.T) {
	host := func(name, zone string, since assign.Fence) assign.Host {
		return assign.Host{Name: name, Incarnation: "1", Zone: zone, Since: since}
	}
	plan := assign.Plan{Version: 9, Leader: host("a", "brno", 3), Hosts: []assign.Host{host("a", "brno", 3), host("b", "zlin", 9)}, Services: map[string][]assign.Assignment{
		"revize": {{Range: keyrange.All, Phase: assign.Held, Fence: 5, Server: assign.Server{ID: "s", Zone: "brno"}}},
	}}
	next := plan.Clone()
	next.Hosts[0].CutOff, next.Hosts[1].Led = true, true
	assert.Assert(t, New(Config{}).rangesToRegrant("revize", plan, regrantRule{next: &next})[0])
	next.Services["revize"][0].Fence = 10
	assert.Equal(t, len(New(Config{}).rangesToRegrant("revize", next, regrantRule{next: &next})), 0)
	assert.Assert(t, next.ShouldRenew(next.Hosts[1], next.Services["revize"][0]))
}

// TestOrderHoldsWhileAllHostsKnowIt checks that the plan has the weighted order only while every listed host has announced
// it, also after a leader of an older build has written the hosts without what they announced.
func TestOrderHoldsWhileAllHostsKnowIt(t *testing.T) {
	host := func(name, incarnation string, order assign.HostOrder) assign.Host {
		h := assign.Host{Name: name, Incarnation: incarnation, Addr: name, Zone: "zlin", KnownOrder: order}
		if order != "" {
			h.Weight = 2
		}
		return h
	}
	self := host("a", "1", assign.OrderByWeight)
	registered := []assign.Host{self, host("b", "1", ""), host("c", "1", assign.OrderByWeight)}
	l := New(Config{
		Self: self, Hosts: func() []assign.Host { return registered }, CutOff: func(string) bool { return false },
		Fleet: fleet.New(fleet.Options{}), OperatorOffset: func() uint64 { return 0 }, Clock: func() time.Duration { return time.Second },
		Current: assign.NewCurrent(), Log: eventlog.Discard(),
	})
	table := routetable.New(routetable.Config{})
	plan := assign.Plan{}
	next := func(wantChange bool) {
		t.Helper()
		version := plan.Version + 1
		changed := false
		plan, changed = l.nextPlan(plan, table, version)
		plan.Version = version
		assert.Equal(t, changed, wantChange)
	}
	reports := func(name, incarnation string) {
		l.Report(Reporter{Name: name, Incarnation: incarnation, Plan: plan.Version}, Report{}, nil)
	}
	next(true)
	assert.Equal(t, plan.Order, assign.OrderByHash)
	registered[1] = host("b", "2", assign.OrderByWeight)
	next(true)
	assert.Equal(t, plan.Order, assign.OrderByHash, "the former incarnation may still act by the plan")
	reports("b", "2")
	next(true)
	assert.Equal(t, plan.Order, assign.OrderByWeight)
	next(false)
	registered[2] = host("c", "2", "")
	reports("c", "2")
	next(true)
	assert.Equal(t, plan.Order, assign.OrderByHash)
	registered[2] = host("c", "3", assign.OrderByWeight)
	reports("c", "3")
	next(true)
	assert.Equal(t, plan.Order, assign.OrderByWeight)

	// A leader of an older build takes over and writes the plan without the fields.
	plan.Leader, plan.Order = host("d", "1", ""), ""
	for i := range plan.Hosts {
		plan.Hosts[i].Weight, plan.Hosts[i].KnownOrder = 0, ""
	}
	next(true)
	assert.Equal(t, plan.Order, assign.OrderByWeight)
	for _, h := range plan.Hosts {
		assert.Equal(t, h.Weight, 2.0)
	}
}

// TestNewOrderRegrantsForNewRenewers guards against a grant that lapses since the hosts that have to renew it by the new
// order may not: a host renews no grant whose server it has not heard from since the grant was issued.
func TestNewOrderRegrantsForNewRenewers(t *testing.T) {
	var hosts []assign.Host
	for i := range 12 {
		hosts = append(hosts, assign.Host{
			Name: fmt.Sprintf("h%02d", i), Incarnation: "1", Zone: "zlin", Weight: float64(1 + 7*(i%3)), KnownOrder: assign.OrderByWeight,
		})
	}
	plan := assign.Plan{Version: 5, Hosts: hosts, Services: make(map[string][]assign.Assignment)}
	const servers, width = 16, keyrange.Count / 16
	for i := range servers {
		first := keyrange.Key(i * width)
		plan.Services["revize"] = append(plan.Services["revize"], assign.Assignment{
			Range: keyrange.Range{First: first, Last: first + keyrange.Key(width-1)}, Phase: assign.Held, Fence: 5,
			Server: assign.Server{ID: fmt.Sprint("s", i), Zone: "zlin", Born: 1},
		})
	}
	next := plan.Clone()
	next.Order = assign.OrderByWeight
	l := New(Config{})
	regrant := l.rangesToRegrant("revize", plan, regrantRule{next: &next})
	regranted := 0
	for _, a := range plan.Services["revize"] {
		news := false
		for _, host := range hosts {
			news = news || next.ShouldRenew(host, a) && !plan.ShouldRenew(host, a)
		}
		assert.Equal(t, regrant[a.First], news, "%v", a.Range)
		if news {
			regranted++
		}
	}
	assert.Assert(t, regranted > 0 && regranted <= servers)
	assert.Equal(t, len(l.rangesToRegrant("revize", next, regrantRule{next: &next})), 0)
}
