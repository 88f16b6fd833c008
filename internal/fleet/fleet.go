package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/transport"
)

const (
	// choices is the number of servers of which the best is taken.
	choices = 8
	// otherZoneCost is added to the cost of a server in another zone.
	otherZoneCost = 1.5
)

// Options of a fleet.
type Options struct {
	// Zone is the zone of this host.
	Zone string
	// Target opens the connections to a server.
	Target func(addr string) *transport.Target
	// Chance returns a number below n.
	Chance func(n int) int
}

// Fleet holds all known servers. One goroutine changes it; all may read.
type Fleet struct {
	options Options
	view    atomic.Pointer[view]

	mu sync.Mutex
	// closed zones get nothing.
	closed map[string]bool
}

// view is an unchanging list of servers.
type view struct {
	byID      map[ID]*Server
	byService map[string][]*Server
	closed    map[string]bool
}

// New returns an empty fleet.
func New(options Options) *Fleet {
	if options.Chance == nil {
		options.Chance = rand.IntN
	}
	f := &Fleet{options: options}
	f.view.Store(&view{})
	return f
}

// Set replaces the list of servers. What is known of lives that go on is kept.
func (f *Fleet) Set(entries []Entry, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	former := f.view.Load()
	next := &view{
		byID:      make(map[ID]*Server, len(entries)),
		byService: make(map[string][]*Server),
		closed:    f.closed,
	}
	for _, entry := range entries {
		server, ok := former.byID[entry.ID]
		switch {
		case !ok || !server.Entry().SameLife(entry):
			server = newServer(entry, f.options.Target(entry.Addr), now)
		case server.Entry() != entry:
			server.update(entry, now)
		}
		next.byID[entry.ID] = server
		next.byService[entry.Service] = append(next.byService[entry.Service], server)
	}
	for _, servers := range next.byService {
		slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.Entry().ID, b.Entry().ID) })
	}
	f.view.Store(next)
}

// CloseZones sets the zones whose servers get nothing. Servers of a zone that opens again are taken for
// cold for the time that their service names, unless a newer entry says otherwise.
func (f *Fleet) CloseZones(zones map[string]bool, coldFor func(service string) time.Duration, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range f.view.Load().byID {
		entry := server.Entry()
		if f.closed[entry.Zone] && !zones[entry.Zone] {
			server.Chill(coldFor(entry.Service), now)
		}
	}
	f.closed = zones
	next := *f.view.Load()
	next.closed = zones
	f.view.Store(&next)
}

// Server returns a server by its ID.
func (f *Fleet) Server(id ID) (*Server, bool) {
	server, ok := f.view.Load().byID[id]
	return server, ok
}

// Open reports whether requests may go to the server.
func (f *Fleet) Open(s *Server) bool {
	entry := s.Entry()
	return !entry.Draining && !f.view.Load().closed[entry.Zone]
}

// Servers returns all servers of a service. The caller must not change the list.
func (f *Fleet) Servers(service string) []*Server {
	return f.view.Load().byService[service]
}

// Services returns the names of all services that have servers.
func (f *Fleet) Services() []string {
	var names []string
	for name := range f.view.Load().byService {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Slowness returns the slowness in hundredths of the servers that this host has judged of late.
func (f *Fleet) Slowness(now time.Duration) map[string]int {
	slowness := make(map[string]int)
	for id, server := range f.view.Load().byID {
		if value, judged := server.judgement(now); judged {
			slowness[string(id)] = int(value * 100)
		}
	}
	return slowness
}

// Choose returns the best of a few servers of a service, and false where none may be used.
// Cold servers are chosen only where no other is left.
func (f *Fleet) Choose(service string, excluded []ID, now time.Duration) (*Server, bool) {
	var warm, cold, paused []*Server
	for _, server := range f.Servers(service) {
		if !f.Open(server) || slices.Contains(excluded, server.Entry().ID) {
			continue
		}
		switch {
		case server.Paused(now), server.Entry().Missing:
			paused = append(paused, server)
		case server.Cold(now):
			cold = append(cold, server)
		default:
			warm = append(warm, server)
		}
	}
	for _, candidates := range [][]*Server{warm, cold, paused} {
		if len(candidates) > 0 {
			return f.best(candidates, now), true
		}
	}
	return nil, false
}

// best returns the cheapest of a few candidates that are drawn by chance.
func (f *Fleet) best(candidates []*Server, now time.Duration) *Server {
	for i := range min(choices, len(candidates)) {
		j := i + f.options.Chance(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	drawn := candidates[:min(choices, len(candidates))]
	return slices.MinFunc(drawn, func(a, b *Server) int {
		return cmp.Compare(f.costOf(a, now), f.costOf(b, now))
	})
}

func (f *Fleet) costOf(s *Server, now time.Duration) float64 {
	cost := s.cost(now)
	if s.Entry().Zone != f.options.Zone {
		cost += otherZoneCost
	}
	return cost
}
