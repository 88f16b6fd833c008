// Package reach finds out whether this host reaches backend servers at all.
//
// A host can lose all servers while callers, the log and the other hosts still reach it. What it then
// sees of a server says nothing about the server, and its requests have to go through another host.
// Package edge runs a Monitor, opens all connections to servers through it, and sends to the other hosts
// whether the host is cut off; package front asks it before it sends a request.
//
// A failed, slow or broken connection makes the Monitor suspicious. Then it tries to connect to some
// servers of several zones, twice, and believes that the host is cut off if none accepts. It goes on
// trying until one does.
package reach

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

const (
	// slowConnect is the time after which a connection that is still being opened is suspicious.
	slowConnect = 250 * time.Millisecond
	// tryTimeout bounds the opening of the connections of one round.
	tryTimeout = 250 * time.Millisecond
	// rounds is the number of rounds without any connection after which the host counts as cut off.
	rounds = 2
	// recentConnect is how long ago a connection may have been opened to show that the host is not cut off.
	recentConnect = 100 * time.Millisecond
	// checkInterval is the least time between two checks. A host that is cut off checks all the time.
	checkInterval = 200 * time.Millisecond
	// maxDelay is how much longer than its timeouts a round may take. A host whose rounds take longer was frozen
	// or starved, and they prove nothing.
	maxDelay = 100 * time.Millisecond
	// maxServers is the number of servers to which connections are tried in one round: serversPerZone of each
	// zone if there are so many, and then any.
	maxServers     = 8
	serversPerZone = 2
)

// Server is a backend server to which a connection can be tried.
type Server struct {
	Addr, Zone string
}

// Config holds the dependencies of a Monitor.
type Config struct {
	// Zone is the zone of this host.
	Zone string
	// Dial opens connections to servers.
	Dial transport.DialFunc
	// Servers returns the known servers.
	Servers func() []Server
	// OnChange is called when the host is found to be cut off, and when it no longer is. It must not block.
	OnChange func()
	// Clock is a monotonic clock.
	Clock func() time.Duration
	Log   *eventlog.Log
}

// Monitor is what this host knows of its own connections to servers. It is safe for concurrent use.
type Monitor struct {
	config Config
	// cutOff says that the host reaches no server.
	cutOff atomic.Bool
	// connectedAt is the clock's reading when a connection was last opened.
	connectedAt atomic.Int64
	// suspected gets a value when a connection has failed.
	suspected chan struct{}
}

// New returns a Monitor that believes that servers are reached.
func New(config Config) *Monitor {
	m := &Monitor{config: config, suspected: make(chan struct{}, 1)}
	m.connectedAt.Store(int64(config.Clock() - recentConnect))
	return m
}

// CutOff reports whether the host is believed to reach no server.
func (m *Monitor) CutOff() bool {
	return m.cutOff.Load()
}

// Suspect asks for a check, as after a connection that broke. It does not block.
func (m *Monitor) Suspect() {
	select {
	case m.suspected <- struct{}{}:
	default:
	}
}

// DialContext opens a connection to a server. It has the signature of transport.DialFunc.
func (m *Monitor) DialContext(ctx context.Context, network, addr string) (conn net.Conn, err error) {
	slow := time.AfterFunc(slowConnect, m.Suspect)
	defer slow.Stop()
	conn, err = m.config.Dial(ctx, network, addr)
	if err != nil {
		m.Suspect()
		return nil, err
	}
	m.connectedAt.Store(int64(m.config.Clock()))
	return conn, nil
}

// Run checks whether servers are reached, whenever that is in doubt, until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		if !m.CutOff() {
			select {
			case <-ctx.Done():
			case <-m.suspected:
			}
		}
		if ctx.Err() != nil {
			return
		}
		m.check(ctx)
		loop.Sleep(ctx, checkInterval)
	}
}

// check finds out whether any server is reached.
func (m *Monitor) check(ctx context.Context) {
	started := m.config.Clock()
	tried := 0
	for range rounds {
		servers := m.draw()
		if len(servers) == 0 || m.connectedRecently() || m.anyAccepts(ctx, servers) {
			m.set(false, tried, started)
			return
		}
		tried += len(servers)
	}
	if m.config.Clock()-started > rounds*(2*tryTimeout+maxDelay) {
		return
	}
	if ctx.Err() == nil {
		m.set(true, tried, started)
	}
}

// set records the result of a check that began at started and tried a number of servers in vain.
func (m *Monitor) set(cutOff bool, tried int, started time.Duration) {
	if m.cutOff.Swap(cutOff) == cutOff {
		return
	}
	m.config.Log.Event("reach", "cut_off", cutOff, "servers_tried", tried, "ms", (m.config.Clock() - started).Milliseconds(),
		"last_connected_ms", (m.config.Clock() - time.Duration(m.connectedAt.Load())).Milliseconds())
	m.config.OnChange()
}

// connectedRecently reports whether a connection was opened within recentConnect.
func (m *Monitor) connectedRecently() bool {
	return m.config.Clock()-time.Duration(m.connectedAt.Load()) < recentConnect
}

// draw returns servers at random, some of each zone, those of the host's own zone first.
func (m *Monitor) draw() []Server {
	servers := m.config.Servers()
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	var own, others, more []Server
	taken := make(map[string]int)
	for _, server := range servers {
		taken[server.Zone]++
		switch {
		case taken[server.Zone] > serversPerZone:
			more = append(more, server)
		case server.Zone == m.config.Zone:
			own = append(own, server)
		default:
			others = append(others, server)
		}
	}
	drawn := slices.Concat(own, others, more)
	return drawn[:min(maxServers, len(drawn))]
}

// anyAccepts reports whether one of the servers accepts a connection. It tries the first serversPerZone
// first, since these are enough unless the host or its zone is cut off.
func (m *Monitor) anyAccepts(ctx context.Context, servers []Server) bool {
	first := min(serversPerZone, len(servers))
	return m.connects(ctx, servers[:first]) || m.connects(ctx, servers[first:])
}

// connects reports whether one of the servers accepts a connection within tryTimeout.
func (m *Monitor) connects(ctx context.Context, servers []Server) bool {
	addrs := make([]string, len(servers))
	for i, server := range servers {
		addrs[i] = server.Addr
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if !transport.AnyAccepts(ctx, m.config.Dial, addrs) {
		return false
	}
	m.connectedAt.Store(int64(m.config.Clock()))
	return true
}
