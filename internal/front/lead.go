package front

import (
	"sync"
	"time"

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
	able := plan.Able(server, func(host assign.Host) bool { return now >= l.down[host.Name] })
	if len(able) == 0 {
		return assign.Host{}, false
	}
	return able[0], true
}

// failed notes that a host could not be reached.
func (l *leads) failed(host assign.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down[host.Name] = l.clock() + downFor
}
