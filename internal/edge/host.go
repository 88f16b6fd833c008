package edge

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/front"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/leader"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/relay"
	"github.com/poplarcroft/poplarcroft/internal/renew"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// Config of a host.
type Config struct {
	Name string
	Zone string
	// CallerAddr, ReadyAddr and PeerAddr are listened on for callers, the question whether
	// this host is ready, and other hosts. MetricsAddr may be empty.
	CallerAddr, ReadyAddr, PeerAddr, MetricsAddr string
	// ReadyPath and MetricsPath are the paths of these questions.
	ReadyPath, MetricsPath string
	Headers                front.Headers
	// ColdOverage and ColdSlack bound what a cold server takes in a second, beyond its rate.
	ColdOverage, ColdSlack float64
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
	// Grace is the time from the call to stop until the process is killed.
	Grace  time.Duration
	Timing grants.Timing
	// Capacity is this host's share of a processor.
	Capacity float64
}

const (
	// crashesToRefuse is the number of servers that a request may crash before it is refused, and
	// crashRetention is how long a crash is remembered.
	crashesToRefuse = 3
	crashRetention  = 2 * time.Minute
	// leaveAfter is how long a host that stops still accepts connections, until the balancer has noticed.
	leaveAfter = 2800 * time.Millisecond
	// leaveReserve is kept of the grace for the end of the process.
	leaveReserve = 400 * time.Millisecond
	// defaultConnections is the share of a server's connections before a configuration is known.
	defaultConnections = 8
	// hostConnections bounds the connections to another host.
	hostConnections = 64
	// minConnections is the least share of a server's connections.
	minConnections = 2
	// silentAfter bounds the silence on an idle connection before a request that must not run twice.
	silentAfter = 100 * time.Millisecond
	// idleTimeout is how long an idle connection to a server is kept.
	idleTimeout = 8 * time.Second
	// headerTimeout bounds the reading of a request's header where no limit is known.
	headerTimeout = 10 * time.Second
)

// Host is one host.
type Host struct {
	config   Config
	platform Platform
	log      *eventlog.Log
	self     assign.Host

	fleet   *fleet.Fleet
	current *assign.Current
	state   *state
	servers *servers
	orders  *orders
	renewer *renew.Renewer
	leader  *leader.Leader
	door    *front.Door
	peers   *peers
	relay   *relay.Relay
	guard   *poison.Guard
	dial    transport.DialFunc

	leaving atomic.Bool
	// seenServers says that the service discovery has been read once.
	seenServers atomic.Bool
}

// New returns a host that does not run yet.
func New(config Config, platform Platform, log *eventlog.Log) *Host {
	h := &Host{config: config, platform: platform, log: log, dial: transport.Dialer("")}
	h.self = assign.Host{
		Name: config.Name, Incarnation: uuid.NewString(), Zone: config.Zone, Addr: config.PeerAddr, Capacity: config.Capacity,
	}
	h.current = assign.NewCurrent()
	h.fleet = fleet.New(fleet.Options{Zone: config.Zone, Target: h.target})
	h.peers = &peers{pool: peer.NewPool(peer.DialFunc(h.dial))}
	h.relay = relay.New(relay.Config{
		Hosts: func() ([]relay.Host, int) { return relayOrder(h.current.Plan(), h.self) },
		Alone: func() bool { return h.leader.Leads() },
		Ask:   h.peers.read, Clock: clock.Monotonic, Log: log,
	})
	wake := func() { h.leader.Wake() }
	h.state = &state{
		platform: platform, current: h.current, clock: clock.Monotonic, log: log,
		changed:   wake,
		confirmed: func() { h.orders.checkProgress(h.current.Plan().Orders) },
		hosts:     make(map[string]assign.Host),
	}
	h.guard = poison.NewGuard(poison.Bounds{Deaths: crashesToRefuse, Retention: crashRetention})
	h.servers = newServers(platform, h.fleet, clock.Monotonic, log, wake)
	h.servers.ended = func(entry fleet.Entry) { h.guard.ServerDied(front.GuardLife(entry)) }
	h.orders = newOrders(platform, log, func() {
		h.fleet.CloseZones(*h.orders.closed.Load(), h.coldFor, clock.Monotonic())
		wake()
	})
	h.renewer = renew.New(h.self, h.current, platform.Granter(), config.Timing, clock.Monotonic, log)
	h.leader = leader.New(leader.Config{
		Self: h.self, Current: h.current, Store: h.state, Elector: platform.Elector(), Peers: h.peers,
		Granter: platform.Granter(), Timing: config.Timing, Fleet: h.fleet,
		Table: h.orders.Table, Hosts: h.state.list, Orders: h.orders.Next, Closed: h.orders.Closed,
		Settled: h.seenServers.Load, Clock: clock.Monotonic, Log: log,
	})
	h.door = front.New(front.Config{
		Self: config.Name,
		Hosts: transport.NewPool(transport.Options{
			Dial: h.dial, Connections: hostConnections, IdleTimeout: idleTimeout, RequestIDHeader: config.Headers.RequestID,
		}),
		Headers: config.Headers, Fleet: h.fleet, Guard: h.guard, Current: h.current, Table: h.orders.Table,
		ColdTotal: h.coldTotal,
		Budget: front.BudgetConfig{
			Ratio: config.RetryRatio, Extra: config.RetryExtra, Window: config.RetryWindow, Hosts: h.hostCount,
		},
		Clock: clock.Monotonic, Log: log,
	})
	return h
}

// coldTotal is what a cold server of the service takes in a second from all hosts.
func (h *Host) coldTotal(service routetable.Service) float64 {
	return service.ColdRate*h.config.ColdOverage + h.config.ColdSlack
}

// coldFor is how long a server of the service is cold after its start.
func (h *Host) coldFor(service string) time.Duration {
	table := h.orders.Table()
	if table == nil {
		return 0
	}
	return table.Services[service].ColdFor
}

func (h *Host) hostCount() int {
	return max(len(h.current.Plan().Hosts), 1)
}

// target returns the connections to a server.
func (h *Host) target(addr string) *transport.Target {
	return transport.NewTarget(addr, transport.Options{
		Dial:            h.dial,
		Connections:     h.connections(),
		FreshFor:        silentAfter,
		IdleTimeout:     idleTimeout,
		RequestIDHeader: h.config.Headers.RequestID,
		Undelimited:     true,
	})
}

// connections is this host's share of the connections that a server takes.
func (h *Host) connections() int {
	table := h.orders.Table()
	if table == nil {
		return defaultConnections
	}
	least := 0
	for _, service := range table.Services {
		if service.Connections > 0 && (least == 0 || service.Connections < least) {
			least = service.Connections
		}
	}
	if least == 0 {
		return defaultConnections
	}
	return max(least/max(h.hostCount(), defaultConnections), minConnections)
}

// Run runs the host until the context ends, then lets it leave gracefully.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	h.log.Event("start", "host", h.self.Name, "zone", h.self.Zone, "incarnation", h.self.Incarnation)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var duties sync.WaitGroup
	for _, run := range []func(context.Context){
		h.followOrders, h.followState, h.followServers, h.renewer.Run,
		h.leader.RunElection, h.leader.Run, h.reportLoad, h.shareSuspects,
	} {
		duties.Go(func() { run(running) })
	}
	servers := h.serve(running, listeners)
	<-ctx.Done()
	h.leave(servers)
	stop()
	duties.Wait()
	h.log.Event("stop", "host", h.self.Name)
	return nil
}

// leave ends the work for callers: it is not ready at once, goes on accepting until the
// balancer has noticed, and finishes what it has.
func (h *Host) leave(callers *http.Server) {
	h.log.Event("leave", "host", h.self.Name)
	h.leaving.Store(true)
	h.door.Leave()
	started := time.Now()
	time.Sleep(min(leaveAfter, h.config.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(h.config.Grace-leaveReserve))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		h.log.Event("leave", "outcome", "requests unfinished", "err", err.Error())
	}
}
