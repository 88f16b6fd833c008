package leader

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// TestRegistrationFromBeforeARestoreReplacesNoHost checks that a registration that a restored log brings
// back does not replace a later incarnation of the host, which lives and may renew grants: releases
// do not wait for an incarnation that the plan no longer lists.
func TestRegistrationFromBeforeARestoreReplacesNoHost(t *testing.T) {
	older, later := assign.Host{Name: "b", Incarnation: "1"}, assign.Host{Name: "b", Incarnation: "2"}
	registered := []assign.Host{older}
	l := New(Config{Self: assign.Host{Name: "a", Incarnation: "1"}, Hosts: func() []assign.Host { return registered }, CutOff: func(string) bool { return false }})
	listed := func() string {
		for _, host := range l.nextHosts([]assign.Host{later}, assign.FenceAt(1, 3), time.Second) {
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
			plan := assign.Plan{Leader: self, Hosts: l.nextHosts(nil, 10, time.Second)}
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
