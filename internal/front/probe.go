package front

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

const (
	// probeTimeout bounds the opening of the connection. A server that does not even refuse it by then
	// proves nothing.
	probeTimeout = 400 * time.Millisecond
	// comparedServers is the number of other servers to which a connection is tried when one refuses it.
	comparedServers = 4
	// probeHold is how long an accepted connection must stay open. A process that is ending may still
	// accept one.
	probeHold = 100 * time.Millisecond
)

// probes find out whether a server has crashed when a connection to it breaks under a request. The
// service discovery shows a crash only seconds later, and not at all while it is away; until then
// the request could crash one server after the other.
type probes struct {
	dial  transport.DialFunc
	guard *poison.Guard
	fleet *fleet.Fleet
	clock func() time.Duration
	log   *eventlog.Log

	mu sync.Mutex
	// running holds the servers that are being probed.
	running map[poison.Server]bool
}

func newProbes(config Config) *probes {
	return &probes{
		dial: config.Dial, guard: config.Guard, fleet: config.Fleet, clock: config.Clock, log: config.Log,
		running: make(map[poison.Server]bool),
	}
}

// probe opens a connection to a server and reports the result to the guard: a server whose address
// refuses the connection has ended, unless this host is cut off from its zone, and one that accepts and
// keeps it lives, or has been replaced by another process. It does nothing while the server is being
// probed already.
func (p *probes) probe(probed *fleet.Server) {
	entry := probed.Entry()
	server := GuardServer(entry)
	if !p.begin(server) {
		return
	}
	defer p.end(server)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	started := time.Now()
	conn, err := p.dial(ctx, "tcp", entry.Addr)
	switch {
	case err == nil:
		defer conn.Close()
		if staysOpen(conn) {
			p.guard.EndDoubt(started, server)
		}
	case errors.Is(err, syscall.ECONNREFUSED) && !p.reachesOthers(probed):
		p.log.Event("server", "id", string(entry.ID), "addr", entry.Addr, "born", entry.Born, "outcome", "refuses connections, as others do")
		p.guard.EndDoubt(time.Now(), server)
	case errors.Is(err, syscall.ECONNREFUSED):
		p.log.Event("server", "id", string(entry.ID), "addr", entry.Addr, "born", entry.Born, "outcome", "refuses connections after one broke")
		probed.Target.Close()
		p.guard.ServerCrashed(server, poison.ConnectionRefused)
	default:
		p.log.Routine("server", "id", string(entry.ID), "addr", entry.Addr, "outcome", "probe without result", "err", err.Error())
	}
}

// reachesOthers reports whether this host can connect to another server in the zone of one that has
// refused a connection. If not, the host may be cut off, and the refusal proves nothing. It returns true
// if there is no other server to compare with.
func (p *probes) reachesOthers(refused *fleet.Server) bool {
	others := p.fleet.Neighbours(refused, comparedServers, p.clock())
	if len(others) == 0 {
		return true
	}
	addrs := make([]string, len(others))
	for i, other := range others {
		addrs[i] = other.Entry().Addr
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return transport.AnyAccepts(ctx, p.dial, addrs)
}

// staysOpen reports whether the other end keeps a connection open for probeHold.
func staysOpen(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(probeHold)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// begin registers a probe. It returns false if the server is being probed.
func (p *probes) begin(server poison.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[server] {
		return false
	}
	p.running[server] = true
	return true
}

func (p *probes) end(server poison.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, server)
}
