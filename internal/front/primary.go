package front

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/poison"
)

// unreachableFor is how long a host that could not be reached gets no forwarded requests.
const unreachableFor = time.Second

// primaries finds the primary of each server that owns keys: the host through which all requests
// for the server go, so that one host knows how many the server has. Log lines call it "lead". The
// primary is in the server's zone, so that a forwarded request crosses zones at most once, unless no host
// of that zone reaches a server.
// primaries is safe for concurrent use.
type primaries struct {
	self  string
	reach Reach
	clock func() time.Duration

	mu sync.Mutex
	// unreachableUntil holds, by name, the hosts that could not be reached and the time until
	// which they get no forwarded requests.
	unreachableUntil map[string]time.Duration
}

func newPrimaries(self string, reach Reach, clock func() time.Duration) *primaries {
	return &primaries{self: self, reach: reach, clock: clock, unreachableUntil: make(map[string]time.Duration)}
}

// standIns is the number of hosts that may replace a primary that some hosts cannot reach.
const standIns = 1

// get returns the primary of a server: the first host in its zone that can be reached and reaches servers.
// If the hosts of the zone reach no server, it is the first such host of all zones. It returns false if
// there is none, and if the zone has none that can be reached.
func (p *primaries) get(plan assign.Plan, server assign.Server) (assign.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	candidates := p.ranked(plan, server, 1, func(host assign.Host) bool { return now >= p.unreachableUntil[host.Name] })
	if len(candidates) == 0 {
		return assign.Host{}, false
	}
	return candidates[0], true
}

// ranked returns the first n usable hosts of a server's zone that reach servers, in the server's order of preference. If there
// is none since hosts of the zone reach no server, it returns those of all zones.
func (p *primaries) ranked(plan assign.Plan, server assign.Server, n int, usable func(assign.Host) bool) []assign.Host {
	zoneIsCutOff := false
	eligible := func(host assign.Host) bool {
		cutOff := p.reach.CutOff(host.Name)
		zoneIsCutOff = zoneIsCutOff || cutOff
		return !cutOff && usable(host)
	}
	candidates := plan.FirstHosts(server, n, eligible)
	if len(candidates) == 0 && zoneIsCutOff {
		candidates = plan.RankedInAllZones(server, eligible)
	}
	return candidates[:min(n, len(candidates))]
}

// isPrimary reports whether this host is the primary of a server, or none can be reached.
func (p *primaries) isPrimary(plan assign.Plan, server assign.Server) bool {
	primary, ok := p.get(plan, server)
	return !ok || primary.Name == p.self
}

// mayStandIn reports whether this host is the primary of a server or its stand-in, to which hosts forward that cannot
// reach the primary. It is true if the plan lists no hosts.
func (p *primaries) mayStandIn(plan assign.Plan, server assign.Server) bool {
	candidates := p.ranked(plan, server, 1+standIns, func(assign.Host) bool { return true })
	return len(plan.Hosts) == 0 || slices.ContainsFunc(candidates, func(host assign.Host) bool { return host.Name == p.self })
}

// trialHosts returns the hosts that may send a suspect without a key, in order: those that reach servers, by the
// request's fingerprint. They do not depend on the hosts' weights: a trial is rare, and a change of the order
// would let two hosts try the same suspect.
func (p *primaries) trialHosts(plan assign.Plan, f poison.Fingerprint) []assign.Host {
	ranked := plan.RankedByHash(f.String(), func(host assign.Host) bool { return !p.reach.CutOff(host.Name) })
	return ranked[:min(1+standIns, len(ranked))]
}

// trialHost returns the first of the trial hosts that can be reached, and false if there is none.
func (p *primaries) trialHost(plan assign.Plan, f poison.Fingerprint) (assign.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for _, host := range p.trialHosts(plan, f) {
		if host.Name == p.self || now >= p.unreachableUntil[host.Name] {
			return host, true
		}
	}
	return assign.Host{}, false
}

// mayTry reports whether this host may send a suspect without a key: it is the trial host or, for one that another host
// forwards, a stand-in. Without a plan no other host is known.
func (p *primaries) mayTry(plan assign.Plan, f poison.Fingerprint, forwarded bool) bool {
	if len(plan.Hosts) == 0 {
		return true
	}
	if forwarded {
		return slices.ContainsFunc(p.trialHosts(plan, f), func(host assign.Host) bool { return host.Name == p.self })
	}
	host, ok := p.trialHost(plan, f)
	return ok && host.Name == p.self
}

// helper returns another host through which this one may send requests while it reaches no server itself:
// one of its own zone, drawn at random, or else of another zone. It returns false if there is none.
func (p *primaries) helper(plan assign.Plan) (assign.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	zone := ""
	for _, host := range plan.Hosts {
		if host.Name == p.self {
			zone = host.Zone
		}
	}
	var near, far []assign.Host
	for _, host := range plan.Hosts {
		switch {
		case host.Name == p.self, host.Retired, now < p.unreachableUntil[host.Name], p.reach.CutOff(host.Name):
		case host.Zone == zone:
			near = append(near, host)
		default:
			far = append(far, host)
		}
	}
	for _, hosts := range [][]assign.Host{near, far} {
		if len(hosts) > 0 {
			return hosts[rand.IntN(len(hosts))], true
		}
	}
	return assign.Host{}, false
}

// markUnreachable records that a host could not be reached.
func (p *primaries) markUnreachable(host assign.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachableUntil[host.Name] = p.clock() + unreachableFor
}
