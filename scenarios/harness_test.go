package scenarios

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/check"
	"github.com/poplarcroft/poplarcroft/internal/standin"
)

// TestNetworkRules checks the egress rules of a host of zone a for cuts between
// zones, hosts, servers and the platform, and that healing removes them.
func TestNetworkRules(t *testing.T) {
	from := node{name: "a-h1", zone: "a", host: &host{}}
	nodes := []node{
		from,
		{name: "revize-a-1", zone: "a", addrs: []string{"same zone"}},
		{name: "b-h1", zone: "b", addrs: []string{"other host"}},
		{name: "revize-b-1", zone: "b", addrs: []string{"other server"}},
		{name: logName, zone: platformName, addrs: []string{"log"}},
	}
	for name, test := range map[string]struct {
		cut  cut
		want standin.EgressRules
	}{
		"zones":         {cut{a: "a", b: "b"}, standin.EgressRules{Stall: []string{"other host", "other server"}}},
		"sides swapped": {cut{a: "b", b: "a"}, standin.EgressRules{Stall: []string{"other host", "other server"}}},
		"zone isolated": {cut{a: "a", b: everythingElse}, standin.EgressRules{Stall: []string{"other host", "other server", "log"}}},
		"host":          {cut{a: "a-h1", b: everythingElse}, standin.EgressRules{Stall: []string{"same zone", "other host", "other server", "log"}}},
		"log refused":   {cut{a: "a", b: logName, refuse: true}, standin.EgressRules{Cut: []string{"log"}}},
		"platform":      {cut{a: platformName, b: everythingElse}, standin.EgressRules{Stall: []string{"log"}}},
		"unrelated":     {cut{a: "b", b: logName}, standin.EgressRules{}},
	} {
		t.Run(name, func(t *testing.T) {
			var n network
			n.add(test.cut)
			assert.DeepEqual(t, n.rules(from, nodes), test.want)
			n.remove(test.cut.a, test.cut.b)
			assert.DeepEqual(t, n.rules(from, nodes), standin.EgressRules{})
		})
	}
}

func TestLoadLimits(t *testing.T) {
	s := summary{calls: 100, done: 90, notRun: 6, unknown: 4, outage: check.Outage{Length: time.Second}}
	for name, test := range map[string]struct {
		limits loadLimits
		want   string
	}{
		"none":    {loadLimits{maxUnknown: noLimit, maxNotRun: noLimit}, ""},
		"met":     {loadLimits{maxUnknown: 4, maxNotRun: 6, minDone: 90, maxOutage: time.Second, minCalls: 100}, ""},
		"calls":   {loadLimits{maxUnknown: 4, maxNotRun: 6, minCalls: 101}, "less than 101 calls"},
		"outage":  {loadLimits{maxUnknown: 4, maxNotRun: 6, maxOutage: time.Millisecond}, "an outage above 1ms"},
		"done":    {loadLimits{maxUnknown: 4, maxNotRun: 6, minDone: 91}, "less than 91 % done"},
		"unknown": {loadLimits{maxUnknown: 3, maxNotRun: 6}, "more than 3 unknown"},
		"not run": {loadLimits{maxUnknown: 4, maxNotRun: 5}, "more than 5 not run"},
	} {
		t.Run(name, func(t *testing.T) {
			err := test.limits.check(s)
			if test.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.want)
		})
	}
}

func TestChangeLogFaultsRejectsInvalidArguments(t *testing.T) {
	for _, args := range [][]string{{}, {"sideways"}, {"slow"}, {"slow", "much"}, {"retain", "x"}, {"lose", "1"}, {"up", "1", "2"}} {
		var faults standin.LogFaults
		assert.Assert(t, changeLogFaults(&faults, args) != nil, "%q", args)
	}
}
