package edge

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/poplarcroft/poplarcroft/internal/admission"
	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/content"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/front"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/leader"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/reach"
	"github.com/poplarcroft/poplarcroft/internal/relay"
	"github.com/poplarcroft/poplarcroft/internal/renew"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// Config holds the settings of a host.
type Config struct {
	Name string
	Zone string
	// These are the addresses to listen on for callers, for the load balancer's readiness checks, for
	// other hosts, and for metrics. MetricsAddr may be empty.
	CallerAddr, ReadyAddr, PeerAddr, MetricsAddr string
	// ReadyPath and MetricsPath are the HTTP paths of the readiness check and of the metrics.
	ReadyPath, MetricsPath string
	Headers                front.Headers
	// A cold server may get its service's ColdRate times ColdOverage plus ColdSlack requests
	// per second from all hosts together.
	ColdOverage, ColdSlack float64
	// RetryRatio, RetryExtra and RetryWindow are the retry budget; see front.BudgetConfig.
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
	// ConfigApply is the time within which a configuration must be in force on all hosts, from when the platform's log has it.
	ConfigApply time.Duration
	// Grace is the time from the signal to stop until the platform kills the process.
	Grace  time.Duration
	Timing grants.Timing
	// Capacity is this host's share of a processor, in cores.
	Capacity float64
	// Weight is this host's capacity for requests; see assign.Host.
	Weight float64
	// MemoryBytes is the memory of the process, and LinkBytesPerS the rate of the host's network link in bytes per
	// second. Zero means that they are not known.
	MemoryBytes   int64
	LinkBytesPerS float64
	// Descriptors is the number of descriptors that the process may open, or zero if it is not known.
	Descriptors int
	// DialServer opens the connections to backend servers, and DialHost those to other hosts.
	DialServer, DialHost transport.DialFunc
}

const (
	// maxCrashes is the number of servers that a request may crash before it is refused, and
	// crashRetention is how long a crash counts against a request.
	maxCrashes     = 3
	crashRetention = 2 * time.Minute
	// lameDuckPeriod is how long a host that shuts down still accepts connections while it
	// reports not ready, until the load balancer has noticed.
	lameDuckPeriod = 2800 * time.Millisecond
	// exitReserve is the part of Config.Grace that is left for the process to exit, and answerReserve the part before it in
	// which requests that have not ended get their final answer.
	exitReserve   = 400 * time.Millisecond
	answerReserve = 200 * time.Millisecond
	// defaultConnections is the maximum number of this host's connections to a server if no limit
	// is configured. It is also the smallest number of hosts among which a configured limit is
	// divided.
	defaultConnections = 8
	// peerConnections is the maximum number of connections to another host.
	peerConnections = 64
	// minConnections is the smallest maximum number of connections to a server.
	minConnections = 2
	// freshFor is how long ago an idle connection may have delivered its last bytes to be used for
	// a request that is not idempotent. An older one may be broken, which would leave unknown
	// whether the request was executed.
	freshFor = 100 * time.Millisecond
	// idleTimeout is how long an idle connection to a server or host is kept.
	idleTimeout = 8 * time.Second
	// bodyMemoryShare is the divisor for the part of the memory that bodies of requests and answers may take.
	bodyMemoryShare = 4
	// headerTimeout is the time within which a caller must send the header of a request, unless the configuration sets another one.
	headerTimeout = 10 * time.Second
)

// Host is one host: all its parts and the state that they share.
type Host struct {
	config   Config
	platform Platform
	log      *eventlog.Log
	self     assign.Host

	fleet           *fleet.Fleet
	current         *assign.Current
	state           *state
	servers         *servers
	operatorRecords *operatorRecords
	connections     *continuity.Connections
	renewer         *renew.Renewer
	leader          *leader.Leader
	ingress         *front.Ingress
	peers           *peers
	contents        *content.Fetcher
	relay           *relay.Relay
	guard           *poison.Guard
	evidence        *evidenceSharing
	configSharing   *configSharing
	catchUp         *catchUp
	reach           *reachSharing
	// pools are those that this host dispatches for.
	pools             *admission.Pools
	admissionCounters *admission.Counters
	shares            *shareLeasing
	guards            guards

	// leaving says that the host is shutting down.
	leaving atomic.Bool
	// seenServers says that the service discovery has been read at least once.
	seenServers atomic.Bool
}

// New returns a host. Run starts it.
func New(config Config, platform Platform, log *eventlog.Log) *Host {
	h := &Host{config: config, platform: platform, log: log}
	h.guards = h.newGuards()
	h.self = assign.Host{
		Name: config.Name, Incarnation: uuid.NewString(), Zone: config.Zone, Addr: config.PeerAddr, Capacity: config.Capacity,
		Weight: config.Weight, KnownOrder: assign.OrderByWeight,
	}
	h.current = assign.NewCurrent()
	h.connections = continuity.New()
	h.fleet = fleet.New(fleet.Options{Zone: config.Zone, Target: h.target})
	h.peers = &peers{pool: peer.NewPool(peer.DialFunc(config.DialHost))}
	// Large values have connections of their own, so that other calls do not wait behind them.
	h.contents = &content.Fetcher{Store: content.NewStore(), Ask: (&peers{pool: peer.NewPool(peer.DialFunc(config.DialHost))}).chunks}
	h.relay = relay.New(relay.Config{
		Hosts:            func() ([]relay.Host, int) { return relayOrder(h.current.Plan(), h.self) },
		MustReadDirectly: h.mustReadDirectly,
		Others:           func() []relay.Host { return otherRelays(h.current.Plan(), h.self) },
		Ask:              h.peers.read, Clock: clock.Monotonic, Log: log,
		Contents: h.contents, OnReference: h.noteReference,
	})
	wakeLeader := func() { h.leader.Wake() }
	h.state = newState(h.self, platform, h.current, clock.Monotonic, log)
	h.state.onChange = wakeLeader
	h.state.onRead = func() { h.operatorRecords.checkProgress(h.current.Plan().Orders) }
	h.guard = poison.NewGuard(poison.Bounds{CrashLimit: maxCrashes, SharedCrashLimit: maxCrashes, Retention: crashRetention})
	h.evidence = newEvidenceSharing(h.self, h.guard, h.current.Plan, h.state, h.peers, log)
	h.guard.Observe(h.logEvidence)
	h.state.onEvidence = h.evidence.read
	h.servers = newServers(platform, h.fleet, clock.Monotonic, log, func() {
		h.renewer.Wake()
		wakeLeader()
	})
	h.servers.onEnded = func(entry fleet.Entry) { h.guard.ServerCrashed(front.GuardServer(entry), poison.Discovery) }
	h.servers.onContact = func(inContact bool) { h.guard.SetBlind(!inContact) }
	h.operatorRecords = newOperatorRecords(platform, clock.Monotonic, log, func() {
		h.fleet.EvacuateZones(*h.operatorRecords.evacuated.Load(), h.coldFor, clock.Monotonic())
		wakeLeader()
	})
	h.configSharing = &configSharing{
		self: h.self, plan: h.current.Plan, records: h.operatorRecords, peers: h.peers, contents: h.contents,
		late: func() bool { return h.relay.Late(topicOperatorRecords) }, log: log,
	}
	h.catchUp = &catchUp{
		self: h.self, plan: h.current.Plan, sharing: h.configSharing, peers: h.peers, fleet: h.fleet,
		known: func() bool { return h.operatorRecords.Table() != nil && h.seenServers.Load() },
		clock: clock.Monotonic, log: log,
	}
	h.renewer = renew.New(renew.Config{
		Self: h.self, Current: h.current, Granter: platform.Granter(), Timing: config.Timing, Connections: h.connections,
		Candidates: func() []assign.Server { return grantableServers(h.fleet, h.operatorRecords.Table()) }, Clock: clock.Monotonic, Log: log,
	})
	h.reach = newReachSharing(h.self, h.current.Plan, h.peers, clock.Monotonic, log)
	h.reach.monitor = reach.New(reach.Config{
		Zone: config.Zone, Dial: config.DialServer, Servers: func() []reach.Server { return reachableServers(h.fleet, h.operatorRecords.Table()) },
		OnChange: h.reach.wake, Clock: clock.Monotonic, Log: log,
	})
	h.leader = leader.New(leader.Config{
		Self: h.self, Current: h.current, Store: h.state, Elector: platform.Elector(), Peers: h.peers,
		Granter: platform.Granter(), Timing: config.Timing, Fleet: h.fleet,
		Table: h.operatorRecords.Table, Hosts: h.state.hosts.List, OperatorOffset: h.operatorRecords.Next, ZoneEvacuated: h.operatorRecords.Evacuated,
		CutOff:       h.reach.CutOff,
		ServersKnown: h.seenServers.Load, Clock: clock.Monotonic, Log: log,
	})
	h.admissionCounters = &admission.Counters{}
	h.pools = admission.NewPools(admission.PoolsConfig{
		Incarnation: h.self.Incarnation, Fleet: h.fleet, Clock: clock.Monotonic, Log: log,
	}, h.admissionCounters)
	h.shares = newShareLeasing(h.self, h.current, h.peers, h.needsShares, clock.Monotonic, log)
	h.shares.meterQuotas(h.hasQuotas, h.quotaOf)
	h.ingress = front.New(front.Config{
		Self: config.Name,
		Admission: admission.NewClient(admission.ClientConfig{
			Self: h.self, Plan: h.current.Plan, Fleet: h.fleet, CutOff: h.reach.CutOff, Own: h.pools,
			Peers: &dispatchers{pool: peer.NewPool(peer.DialFunc(config.DialHost))}, Clock: clock.Monotonic, Log: log,
		}, h.admissionCounters),
		Hosts: transport.NewPool(transport.Options{
			Dial: config.DialHost, Connections: peerConnections, IdleTimeout: idleTimeout, RequestIDHeader: config.Headers.RequestID,
			RequireID: true,
		}),
		AskLeaving: h.peers.askLeaving,
		Headers:    config.Headers, Fleet: h.fleet, Guard: h.guard, Dial: config.DialServer, Reach: h.reach, Current: h.current, Table: h.tableForCallers, KnownTable: h.operatorRecords.Table,
		Behind:        h.mayLackRoutes,
		ColdRateLimit: h.coldRateLimit, OnFact: h.broadcastFact,
		Budget: front.BudgetConfig{
			Ratio: config.RetryRatio, Extra: config.RetryExtra, Window: config.RetryWindow, Hosts: h.hostCount,
		},
		BodyMemory: config.MemoryBytes / bodyMemoryShare, LinkBytesPerS: config.LinkBytesPerS,
		Shares: h.shares.holder, Usage: h.shares.usage, Clock: clock.Monotonic, Log: log,
	})
	return h
}

// coldRateLimit returns the maximum number of requests per second, from all hosts together, to a
// cold server of the service.
func (h *Host) coldRateLimit(service routetable.Service) float64 {
	return service.ColdRate*h.config.ColdOverage + h.config.ColdSlack
}

// coldFor returns how long a server of the service is cold after its start, or zero if that is
// not configured.
func (h *Host) coldFor(service string) time.Duration {
	table := h.operatorRecords.Table()
	if table == nil {
		return 0
	}
	return table.Services[service].ColdFor
}

// mayLackRoutes reports whether there may be a configuration with routes that this host does not know.
func (h *Host) mayLackRoutes() bool {
	return h.operatorRecords.progress.isBehind() || h.relay.Late(topicOperatorRecords)
}

// hostCount returns the number of hosts in the plan, at least 1.
func (h *Host) hostCount() int {
	return max(h.current.Plan().HostCount(), 1)
}

// target returns a new set of connections to the server at an address.
func (h *Host) target(addr string) *transport.Target {
	return transport.NewTarget(addr, transport.Options{
		Dial:            h.reach.monitor.DialContext,
		Connections:     h.connectionLimit(),
		FreshFor:        freshFor,
		IdleTimeout:     idleTimeout,
		RequestIDHeader: h.config.Headers.RequestID,
		RequireID:       true,
		Undelimited:     true,
		Numbers:         h.connections,
	})
}

// connectionLimit returns this host's share of the connections that a server accepts. It uses the lowest
// limit of all services.
func (h *Host) connectionLimit() int {
	table := h.operatorRecords.Table()
	if table == nil {
		return defaultConnections
	}
	lowest := 0
	for _, service := range table.Services {
		if service.Connections > 0 && (lowest == 0 || service.Connections < lowest) {
			lowest = service.Connections
		}
	}
	if lowest == 0 {
		return defaultConnections
	}
	return max(lowest/max(h.hostCount(), defaultConnections), minConnections)
}

// Run runs the host until the context ends, and then shuts it down gracefully. It returns an error
// if an address can't be listened on.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	h.log.Lifecycle("start", "host", h.self.Name, "zone", h.self.Zone, "incarnation", h.self.Incarnation)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var loops sync.WaitGroup
	for _, run := range []func(context.Context){
		h.followOperatorRecords, h.followState, h.followServers, h.relay.Run, h.renewer.Run,
		h.leader.RunElection, h.leader.Run, h.reportLoad, h.reportConnections, h.evidence.run, h.configSharing.run, h.catchUp.run,
		h.reach.monitor.Run, h.reach.run, h.shares.run, h.shares.reportUsage, h.pools.Run,
	} {
		loops.Go(func() { run(running) })
	}
	servers := h.serve(running, listeners)
	<-ctx.Done()
	h.leave(listeners.callers, servers)
	stop()
	loops.Wait()
	requests, unanswered := h.ingress.Counters.Callers()
	h.log.Lifecycle("stop", "host", h.self.Name, "requests", requests, "unanswered", unanswered)
	return nil
}

// leave ends the service for callers. The host reports not ready at once, accepts connections for the
// lame-duck period, and then waits for the remaining requests, also those that other hosts have forwarded, until the
// grace time is nearly over. Requests that have not ended by then get their final answer. After the lame-duck period, requests that
// might get no other are refused before they are sent.
func (h *Host) leave(listener *callerListener, callers *http.Server) {
	h.log.Event("leave", "host", h.self.Name)
	h.leaving.Store(true)
	h.ingress.Leave()
	h.announceShutdown()
	h.pools.Leave()
	started := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(h.config.Grace-exitReserve))
	defer cancel()
	untilLastAnswers := h.config.Grace - exitReserve - answerReserve
	end := clock.Monotonic() + untilLastAnswers
	lastAnswers := time.AfterFunc(untilLastAnswers, h.ingress.EndRequests)
	defer lastAnswers.Stop()
	time.Sleep(min(lameDuckPeriod, h.config.Grace/2))
	h.ingress.RefuseUnsent(end)
	listener.stop(ctx)
	listener.drain(ctx)
	h.ingress.AwaitForwarded(ctx)
	if err := callers.Shutdown(ctx); err != nil {
		h.log.Event("leave", "outcome", "stopped with unfinished requests", "err", err.Error())
	}
}
