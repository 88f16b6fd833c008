package front

import (
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// unreachableFor is how long a host that could not be reached gets no forwarded requests.
const unreachableFor = time.Second

// primaries finds the primary of each server that owns keys: the host through which all requests
// for the server go, so that one host knows how many the server has. Log lines call it "lead". The
// primary is in the server's zone, so that a forwarded request crosses zones at most once.
// primaries is safe for concurrent use.
type primaries struct {
	self  string
	clock func() time.Duration

	mu sync.Mutex
	// unreachableUntil holds, by name, the hosts that could not be reached and the time until
	// which they get no forwarded requests.
	unreachableUntil map[string]time.Duration
}

func newPrimaries(self string, clock func() time.Duration) *primaries {
	return &primaries{self: self, clock: clock, unreachableUntil: make(map[string]time.Duration)}
}

// get returns the primary of a server. It returns false if the server's zone has no reachable host.
func (p *primaries) get(plan assign.Plan, server assign.Server) (assign.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	candidates := plan.RankedHosts(server, func(host assign.Host) bool { return now >= p.unreachableUntil[host.Name] })
	if len(candidates) == 0 {
		return assign.Host{}, false
	}
	return candidates[0], true
}

// markUnreachable records that a host could not be reached.
func (p *primaries) markUnreachable(host assign.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachableUntil[host.Name] = p.clock() + unreachableFor
}
