package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// newZones returns a network with twenty hosts in zone "z" and twenty more in zone "y", and one server of one slot in each
// of the given zones.
func newZones(serverZones ...string) *network {
	n := newNetwork(20, 0)
	for i := range 20 {
		host := assign.Host{Name: fmt.Sprintf("y%02d", i), Incarnation: fmt.Sprintf("j%02d", i), Zone: "y"}
		n.plan.Hosts = append(n.plan.Hosts, host)
		n.pools[host.Name] = NewPools(PoolsConfig{Incarnation: host.Incarnation, Fleet: n.fleet, Clock: n.clock, Log: eventlog.Discard()}, &Counters{})
	}
	var entries []fleet.Entry
	for _, zone := range serverZones {
		entries = append(entries, fleet.Entry{ID: fleet.ID("s" + zone), Service: "archiv", Zone: zone, Slots: 1, Born: 1})
	}
	n.fleet.Set(entries, n.clock())
	return n
}

// teach makes a pool learn that requests take a second.
func teach(t *testing.T, c *Client, n *network) {
	t.Helper()
	answer := c.Admit(t.Context(), n.ask())
	assert.Equal(t, answer.Outcome, Granted)
	c.Finish(answer.Ticket, dispatch.PoolAnswered, time.Second)
	time.Sleep(100 * ms)
}

// TestFullZoneLeadsToOneOther guards against refusals while another zone has room, and against a detour that makes an answer
// miss its goal.
func TestFullZoneLeadsToOneOther(t *testing.T) {
	for _, test := range []struct {
		goal time.Duration
		want Outcome
	}{{time.Second, Granted}, {50 * ms, Denied}} {
		simulate(t, func(t *testing.T) {
			n := newZones("z", "y")
			c := n.client(0)
			teach(t, c, n)
			first := c.Admit(t.Context(), n.ask())
			assert.Equal(t, first.Server.Entry().Zone, "z")
			ask := n.ask()
			ask.Goal, ask.Deadline = n.clock()+test.goal, n.clock()+500*ms
			answer := c.Admit(t.Context(), ask)
			assert.Equal(t, answer.Outcome, test.want)
			if test.want == Granted {
				assert.Equal(t, answer.Server.Entry().Zone, "y")
				return
			}
			assert.Assert(t, answer.RetryAfter > 0 && answer.RetryAfter <= 500*ms/3, "%v", answer.RetryAfter)
		})
	}
}

// TestZoneWithoutServersUsesAnother guards against a host that chooses by itself because its zone has no server.
func TestZoneWithoutServersUsesAnother(t *testing.T) {
	simulate(t, func(t *testing.T) {
		n := newZones("y")
		c := n.client(0)
		answer := c.Admit(t.Context(), n.ask())
		assert.Equal(t, answer.Outcome, Granted)
		assert.Equal(t, answer.Server.Entry().Zone, "y")
		assert.Equal(t, answer.Ticket.pool.Zone, "y")
	})
}
