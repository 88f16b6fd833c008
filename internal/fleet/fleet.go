package fleet

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/transport"
)

const (
	// sampleSize is the number of servers that are drawn at random to choose the cheapest of
	// ("power of d choices"), so that hosts don't all send to the same server at once.
	sampleSize = 8
	// otherZoneCost is added to the cost of a server in another zone. A cost of 1 is the route's
	// baseline latency.
	otherZoneCost = 1.5
)

// Options configures a Fleet.
type Options struct {
	// Zone is the zone of this host.
	Zone string
	// Target returns the connections to the server at an address.
	Target func(addr string) *transport.Target
	// RandIntN returns a random number in [0, n); nil stands for rand.IntN.
	RandIntN func(n int) int
}

// Fleet holds all known servers. It is safe for concurrent use; readers get an immutable snapshot.
type Fleet struct {
	options  Options
	snapshot atomic.Pointer[snapshot]

	mu sync.Mutex
	// evacuated holds the zones whose servers get no requests.
	evacuated map[string]bool
	// former holds the servers whose entries are gone. An entry can come back while its incarnation keeps
	// serving. The facts learned from its answers are still valid then.
	former map[ID]formerServer
}

// formerServer is a server whose entry has been gone since the given time.
type formerServer struct {
	*Server
	since time.Duration
}

// formerRetention is how long a server is kept after its entry has gone.
const formerRetention = 10 * time.Minute

// snapshot is an immutable list of the servers and evacuated zones.
type snapshot struct {
	byID      map[ID]*Server
	byService map[string][]*Server
	evacuated map[string]bool
}

// New returns an empty fleet.
func New(options Options) *Fleet {
	if options.RandIntN == nil {
		options.RandIntN = rand.IntN
	}
	f := &Fleet{options: options, former: make(map[ID]formerServer)}
	f.snapshot.Store(&snapshot{})
	return f
}

// Set replaces the entries of all servers. It keeps the estimates and facts of incarnations that are still present or
// come back within formerRetention.
func (f *Fleet) Set(entries []Entry, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.snapshot.Load()
	next := &snapshot{
		byID:      make(map[ID]*Server, len(entries)),
		byService: make(map[string][]*Server),
		evacuated: f.evacuated,
	}
	for _, entry := range entries {
		server := f.known(previous, entry)
		switch {
		case server == nil:
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
	f.updateFormer(previous, next, now)
	f.snapshot.Store(next)
}

// known returns the server of the entry's incarnation, or nil if it is new. The caller holds the lock.
func (f *Fleet) known(previous *snapshot, entry Entry) *Server {
	server := previous.byID[entry.ID]
	if server == nil {
		server = f.former[entry.ID].Server
	}
	if server == nil || !server.Entry().SameIncarnation(entry) {
		return nil
	}
	return server
}

// updateFormer adds the servers whose entries have gone and removes those that are back or have expired. The caller
// holds the lock.
func (f *Fleet) updateFormer(previous, next *snapshot, now time.Duration) {
	for id, server := range previous.byID {
		if _, present := next.byID[id]; !present {
			f.former[id] = formerServer{server, now}
		}
	}
	maps.DeleteFunc(f.former, func(id ID, former formerServer) bool {
		_, present := next.byID[id]
		return present || now-former.since >= formerRetention
	})
}

// EvacuateZones sets the zones whose servers get no requests. Servers of a zone that is no longer
// evacuated count as cold for the time that coldFor returns for their service, unless a newer entry
// says otherwise.
func (f *Fleet) EvacuateZones(zones map[string]bool, coldFor func(service string) time.Duration, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	markReturned := func(server *Server) {
		entry := server.Entry()
		if f.evacuated[entry.Zone] && !zones[entry.Zone] {
			server.MarkCold(coldFor(entry.Service), now)
		}
	}
	for _, server := range f.snapshot.Load().byID {
		markReturned(server)
	}
	for _, former := range f.former {
		markReturned(former.Server)
	}
	f.evacuated = zones
	next := *f.snapshot.Load()
	next.evacuated = zones
	f.snapshot.Store(&next)
}

// Server returns the server with the given ID.
func (f *Fleet) Server(id ID) (*Server, bool) {
	server, ok := f.snapshot.Load().byID[id]
	return server, ok
}

// Neighbours returns up to n other servers of any service, drawn at random: of the server's zone if it has
// others, and those first that this host has not found unreachable or full lately.
func (f *Fleet) Neighbours(s *Server, n int, now time.Duration) []*Server {
	var inZone, elsewhere []*Server
	for _, other := range f.snapshot.Load().byID {
		switch {
		case other == s:
		case other.Entry().Zone == s.Entry().Zone:
			inZone = append(inZone, other)
		default:
			elsewhere = append(elsewhere, other)
		}
	}
	others := inZone
	if len(others) == 0 {
		others = elsewhere
	}
	for i := range others {
		j := i + f.options.RandIntN(len(others)-i)
		others[i], others[j] = others[j], others[i]
	}
	skipped := func(s *Server) int {
		if s.Skipped(now) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(others, func(a, b *Server) int { return cmp.Compare(skipped(a), skipped(b)) })
	return others[:min(n, len(others))]
}

// Usable reports whether the server may get requests: it isn't leaving and its zone isn't evacuated.
func (f *Fleet) Usable(s *Server) bool {
	return !s.Leaving() && !f.snapshot.Load().evacuated[s.Entry().Zone]
}

// Servers returns all servers of a service. The caller must not change the list.
func (f *Fleet) Servers(service string) []*Server {
	return f.snapshot.Load().byService[service]
}

// Services returns the names of all services that have servers.
func (f *Fleet) Services() []string {
	var names []string
	for name := range f.snapshot.Load().byService {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Slowness returns, by ID, the slowness in hundredths of the servers for which this host has
// recent samples.
func (f *Fleet) Slowness(now time.Duration) map[string]int {
	slowness := make(map[string]int)
	for id, server := range f.snapshot.Load().byID {
		if value, fresh := server.freshSlowness(now); fresh {
			slowness[string(id)] = int(value * 100)
		}
	}
	return slowness
}

// Limits returns the limits that servers have named lately, by ID, in requests per second. A server that
// has lost all its keys gets no requests and cannot report that its limit has ended.
func (f *Fleet) Limits(now time.Duration) map[string]float64 {
	limits := make(map[string]float64)
	for id, server := range f.snapshot.Load().byID {
		if limit, fresh := server.freshLimit(now); fresh {
			limits[string(id)] = limit
		}
	}
	return limits
}

// Limited returns a server of the service that takes no request of this host now, and false if there is none.
func (f *Fleet) Limited(service string, shareOf func(*Server) Share, now time.Duration) (*Server, bool) {
	for _, server := range f.Servers(service) {
		if f.Usable(server) && server.Restricted(now) && !server.Open(shareOf(server), now) {
			return server, true
		}
	}
	return nil, false
}

// Choose returns a server of the service that is not excluded, and false if there is none. Servers that
// take no request of this host now are left out. Cold servers are chosen only if there are no warm
// ones, and skipped or missing ones last.
func (f *Fleet) Choose(service string, excluded []ID, shareOf func(*Server) Share, now time.Duration) (*Server, bool) {
	var warm, cold, skipped []*Server
	for _, server := range f.Servers(service) {
		if !f.Usable(server) || slices.Contains(excluded, server.Entry().ID) || server.Restricted(now) && !server.Open(shareOf(server), now) {
			continue
		}
		switch {
		case server.Skipped(now), server.Entry().Missing:
			skipped = append(skipped, server)
		case server.Cold(now):
			cold = append(cold, server)
		default:
			warm = append(warm, server)
		}
	}
	for _, candidates := range [][]*Server{warm, cold, skipped} {
		if len(candidates) > 0 {
			return f.best(candidates, now), true
		}
	}
	return nil, false
}

// ChooseCold returns a cold server of the service that is not excluded and that ready accepts, and false if there is none.
func (f *Fleet) ChooseCold(service string, excluded []ID, ready func(*Server) bool, now time.Duration) (*Server, bool) {
	var cold []*Server
	for _, server := range f.Servers(service) {
		entry := server.Entry()
		if !server.Cold(now) || server.Skipped(now) || entry.Missing || slices.Contains(excluded, entry.ID) || !f.Usable(server) {
			continue
		}
		if ready(server) {
			cold = append(cold, server)
		}
	}
	if len(cold) == 0 {
		return nil, false
	}
	return f.best(cold, now), true
}

// best returns the cheapest of up to sampleSize candidates drawn at random. It reorders candidates.
func (f *Fleet) best(candidates []*Server, now time.Duration) *Server {
	for i := range min(sampleSize, len(candidates)) {
		j := i + f.options.RandIntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	drawn := candidates[:min(sampleSize, len(candidates))]
	return slices.MinFunc(drawn, func(a, b *Server) int {
		return cmp.Compare(f.costOf(a, now), f.costOf(b, now))
	})
}

// costOf returns the server's cost as seen from this host's zone.
func (f *Fleet) costOf(s *Server, now time.Duration) float64 {
	cost := s.cost(now)
	if s.Entry().Zone != f.options.Zone {
		cost += otherZoneCost
	}
	return cost
}
