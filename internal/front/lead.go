package front

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// downFor is how long a host that could not be reached is not asked.
const downFor = time.Second

// leads finds the lead of each server that owns keys: the host through which all
// requests for the server go, so that one host knows how much it has to do. It is a host
// of the server's zone, which costs no way between zones beyond the one to the
// server. It is safe for concurrent use.
type leads struct {
	self  string
	clock func() time.Duration

	mu sync.Mutex
	// down holds the hosts that could not be reached, with the time until which they are not asked.
	down map[string]time.Duration
}

func newLeads(self string, clock func() time.Duration) *leads {
	return &leads{self: self, clock: clock, down: make(map[string]time.Duration)}
}

// of returns the lead of a server, and false where its zone has no host that can be asked.
func (l *leads) of(plan assign.Plan, server assign.Server) (assign.Host, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	var able []assign.Host
	for _, host := range plan.Hosts {
		if host.Zone == server.Zone && !host.Retired && now >= l.down[host.Name] {
			able = append(able, host)
		}
	}
	if len(able) == 0 {
		return assign.Host{}, false
	}
	return slices.MaxFunc(able, func(a, b assign.Host) int {
		return cmp.Compare(rank(a, server), rank(b, server))
	}), true
}

// rank orders hosts by rendezvous hashing, so that the loss of a host moves only what it led.
func rank(host assign.Host, server assign.Server) uint64 {
	return xxhash.Sum64String(host.Name + "\x00" + server.ID)
}

// failed notes that a host could not be reached.
func (l *leads) failed(host assign.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down[host.Name] = l.clock() + downFor
}
