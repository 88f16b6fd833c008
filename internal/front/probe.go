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
	// probeHold is how long an accepted connection must stay open. A process that is ending may still
	// accept one.
	probeHold = 100 * time.Millisecond
)

// probes find out whether a server has crashed when a connection to it breaks under a request. The
// service discovery tells of a crash only seconds later, and not at all while it is away; until then
// the request could crash one server after the other.
type probes struct {
	dial  transport.DialFunc
	guard *poison.Guard
	log   *eventlog.Log

	mu sync.Mutex
	// running holds the servers that are being probed.
	running map[poison.Server]bool
}

func newProbes(dial transport.DialFunc, guard *poison.Guard, log *eventlog.Log) *probes {
	return &probes{dial: dial, guard: guard, log: log, running: make(map[poison.Server]bool)}
}

// probe opens a connection to a server and tells the guard the result: a server whose host refuses
// the connection has ended, and one that accepts and keeps it lives, or has been replaced by another
// process. It does nothing while the server is being probed already.
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
			p.guard.AddressAccepts(started, server)
		}
	case errors.Is(err, syscall.ECONNREFUSED):
		p.log.Event("server", "id", string(entry.ID), "addr", entry.Addr, "born", entry.Born, "outcome", "refuses connections after one broke")
		probed.Target.Close()
		p.guard.ServerCrashed(server, poison.ConnectionRefused)
	default:
		p.log.Routine("server", "id", string(entry.ID), "addr", entry.Addr, "outcome", "probe without result", "err", err.Error())
	}
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
