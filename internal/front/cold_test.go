package front

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/sharedlimit"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// coldTotal is the number of requests per second that a cold server of the tests may get from all hosts.
const coldTotal = 14

// newColdSystem returns a system with a cold server that both services run, in a plan of the given number of hosts.
func newColdSystem(t *testing.T, hosts int) (*system, *backendServer, *sharedlimit.Holder) {
	t.Helper()
	server := startServer(t, answerOK)
	s := newSystem(t, server)
	holder := sharedlimit.NewHolder("h1", "1")
	s.ingress.config.Shares = holder
	s.ingress.config.ColdRateLimit = func(routetable.Service) float64 { return coldTotal }
	members := []assign.Host{{Name: "h1", Zone: "zlin"}}
	for i := 1; i < hosts; i++ {
		members = append(members, assign.Host{Name: fmt.Sprint("other", i), Zone: "brno"})
	}
	s.assignAllKeys("revize-0", server.addr, 2, members...)
	for _, id := range []fleet.ID{"revize-0", "archiv-0"} {
		cold, _ := s.fleet.Server(id)
		cold.MarkCold(time.Minute, clock.Monotonic())
	}
	return s, server, holder
}

// askForCold makes the holder ask once, and returns what it needs of the cold server's limit.
func askForCold(t *testing.T, holder *sharedlimit.Holder, id string, fraction float64) sharedlimit.Need {
	t.Helper()
	leader := sharedlimit.Leader{Incarnation: "L", Plan: 1}
	ask, due := holder.Ask(leader, false, clock.Monotonic())
	assert.Assert(t, due)
	holder.Answered(ask.Sequence, "L", sharedlimit.Answer{
		Lease: 10 * time.Second, Settled: true, Grants: map[string]sharedlimit.Grant{id: {Fraction: fraction}},
	}, leader, clock.Monotonic())
	return ask.Needs[id]
}

// TestColdServerIsLeasedOverManyHosts guards against a cold server that gets nothing because an equal share of its allowance
// is less than one request a second. The primary asks for most of the allowance, other hosts for one request.
func TestColdServerIsLeasedOverManyHosts(t *testing.T) {
	for path, id := range map[string]string{"/keyed/x": "cold/revize-0/1", "/any/x": "cold/archiv-0/1"} {
		s, server, holder := newColdSystem(t, 91)
		response, _, err := s.call(t, "GET", path, "")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 503, path)
		need := askForCold(t, holder, id, 0.5)
		assert.Assert(t, need.Sticky && need.Useful*coldTotal >= 1 && need.Useful*coldTotal < 1.01, "%+v", need)
		assert.Equal(t, need.Demand > 0.5, path == "/keyed/x", "%s: %+v", path, need)
		admitted := 0
		for range 20 {
			response, _, err := s.call(t, "GET", path, "")
			assert.NilError(t, err)
			if response.StatusCode == 200 {
				admitted++
			}
		}
		assert.Assert(t, admitted >= 1 && admitted <= coldTotal/2, "%s: %d", path, admitted)
		assert.Equal(t, len(server.seen()), admitted)
	}
}

// TestFewHostsShareAColdServerEqually guards against a change where an equal share is one request a second or more.
func TestFewHostsShareAColdServerEqually(t *testing.T) {
	s, _, holder := newColdSystem(t, 14)
	response, _, err := s.call(t, "GET", "/any/x", "")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	_, due := holder.Ask(sharedlimit.Leader{Incarnation: "L", Plan: 1}, false, clock.Monotonic())
	assert.Assert(t, !due)
	assert.Assert(t, !NeedsColdShares(coldTotal, 14) && NeedsColdShares(coldTotal, 15))
}

// TestColdServerRelievesBusyServers guards against a cold server that gets no requests without keys although the warm
// servers have no free slot and this host holds a share.
func TestColdServerRelievesBusyServers(t *testing.T) {
	s, _, holder := newColdSystem(t, 91)
	now := clock.Monotonic()
	cold, _ := s.fleet.Server("archiv-0")
	entry := cold.Entry()
	warmEntry := entry
	warmEntry.ID = "archiv-warm"
	s.fleet.Set([]fleet.Entry{entry, warmEntry}, now)
	warm, _ := s.fleet.Server("archiv-warm")
	r := &Request{Service: routetable.Service{Name: "archiv"}}
	chosen := func() fleet.ID {
		return s.ingress.preferLeasedCold(r, warm, nil, clock.Monotonic()).Entry().ID
	}
	assert.Equal(t, chosen(), warmEntry.ID)
	for range warmEntry.Slots {
		warm.Begin(fleet.Allowance{}, fleet.SoleShare, now)
	}
	assert.Equal(t, chosen(), warmEntry.ID)
	askForCold(t, holder, "cold/archiv-0/1", 0.5)
	assert.Equal(t, chosen(), entry.ID)
	s.ingress.config.Shares = nil
	assert.Equal(t, chosen(), warmEntry.ID)
}

// TestColdServerInEverySecondOverManyHosts guards against a cold server that gets more than its allowance in a second from 91
// hosts together, or nearly nothing.
func TestColdServerInEverySecondOverManyHosts(t *testing.T) {
	const hosts, step, coldFor = 91, 10 * time.Millisecond, 3 * time.Second
	const id = "cold/archiv-0/1"
	leader := sharedlimit.Leader{Incarnation: "i0", Plan: 1}
	allocator := sharedlimit.NewAllocator("i0", sharedlimit.DefaultTiming)
	view := sharedlimit.View{Leader: "i0", Term: 1, First: true, Verified: time.Minute}
	var holders []*sharedlimit.Holder
	var servers []*fleet.Server
	for i := range hosts {
		member := sharedlimit.Member{Name: fmt.Sprint("h", i), Incarnation: fmt.Sprint("i", i)}
		view.Hosts = append(view.Hosts, member)
		holders = append(holders, sharedlimit.NewHolder(member.Name, member.Incarnation))
		f := fleet.New(fleet.Options{Target: func(string) *transport.Target { return nil }})
		f.Set([]fleet.Entry{{ID: "archiv-0", Service: "archiv", Slots: 4, Born: 1, ColdFor: coldFor}}, time.Minute)
		server, _ := f.Server("archiv-0")
		servers = append(servers, server)
	}
	allocator.Observe(view, time.Minute)
	var sent []time.Duration
	useful := oneRequest / float64(coldTotal)
	for now := time.Minute; now < time.Minute+coldFor; now += step {
		for i, holder := range holders {
			allowance := fleet.Allowance{PerSecond: coldTotal * holder.Fraction(id, useful, useful, now), Spaced: true}
			if servers[i].Begin(allowance, fleet.SoleShare, now) == fleet.NotRefused {
				sent = append(sent, now)
			}
			if ask, due := holder.Ask(leader, false, now); due {
				answer, err := allocator.Answer(ask, now)
				assert.NilError(t, err)
				holder.Answered(ask.Sequence, "i0", answer, leader, now)
			}
		}
	}
	highest, first := 0, 0
	for i, at := range sent {
		for at-sent[first] >= time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	t.Logf("%d in %v, at most %d in a second", len(sent), coldFor, highest)
	assert.Assert(t, highest <= coldTotal)
	assert.Assert(t, len(sent) >= 3*(coldTotal-3))
}
