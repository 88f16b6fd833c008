package host

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/keeper"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/route"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
	"github.com/poplarcroft/poplarcroft/internal/transport"
	"github.com/poplarcroft/poplarcroft/internal/view"
)

// eventBufferSize is the number of latest events that a host keeps for operators.
const eventBufferSize = 8192

// Host is one host of the router. It is created by New and run by Run.
type Host struct {
	config Config
	// entry is this host's entry in the platform's host list. Its incarnation is new for each Host.
	entry   logservice.HostEntry
	logger  *log.Logger
	leaving atomic.Bool

	view     *view.View
	writer   *view.Writer
	follower *view.Follower
	platform *logservice.Client
	peers    *peer.Pool
	members  *members.Members
	servers  *backend.Client
	events   *timeline.Recorder
	// guard stores the evidence against poison requests.
	guard *poison.Guard
	// witness stores request IDs of sessions that this host is not a lessor of.
	witness  *idempotency.Table
	gateway  *route.Gateway
	ingress  *route.Ingress
	counters *route.Counters
	stopSink func() error

	mu      sync.RWMutex
	keepers map[record.SessionID]*keeper.Keeper
	rates   sliceRates
	// seenAt holds when this host first saw each open session.
	seenAt map[record.SessionID]time.Time

	listeners listeners
	tracker   taskTracker
}

// listeners are the listening sockets of a host.
type listeners struct {
	caller net.Listener
	peer   net.Listener
	admin  net.Listener
}

// New returns a host whose sockets listen but which serves nobody until Run.
func New(config Config, logger *log.Logger) (*Host, error) {
	listeners, err := listen(config)
	if err != nil {
		return nil, err
	}
	h := &Host{
		config:    config,
		logger:    logger,
		view:      view.New(),
		events:    timeline.NewRecorder(config.Name, eventBufferSize, time.Now),
		counters:  &route.Counters{},
		keepers:   make(map[record.SessionID]*keeper.Keeper),
		listeners: listeners,
		tracker:   newTaskTracker(),
	}
	h.entry = logservice.HostEntry{
		Name:        config.Name,
		Zone:        config.Zone,
		PeerAddr:    listeners.peer.Addr().String(),
		AdminAddr:   listeners.admin.Addr().String(),
		Incarnation: uuid.NewString(),
		State:       logservice.HostLive,
	}
	h.events.SetIncarnation(h.entry.Incarnation)
	h.stopSink = h.startSink()
	h.connect()
	h.publishMetrics()
	return h, nil
}

// connect creates the clients of the log, the other hosts and the backend servers, and the parts that use them.
func (h *Host) connect() {
	dial := transport.Dialer(h.config.EgressAddr)
	h.platform = logservice.NewClient(h.config.LogURL, h.config.HostsURL, newHTTPClient(dial, platformConns))
	h.writer = view.NewWriter(h.view, h.platform, h.config.Name)
	h.follower = view.NewFollower(h.view, h.platform, h.logAvailabilityChanged)
	h.peers = peer.NewPool(peer.DialFunc(dial))
	h.members = members.New(h.entry, h.platform, h.peers, h.config.Peers)
	h.servers = backend.NewClient(newHTTPClient(dial, controlConns))
	h.guard = poison.NewGuard(poison.Bounds{})
	h.witness = idempotency.NewTable(h.entry.Name+"/"+h.entry.Incarnation, idempotency.Bounds{
		Retention: settings.Defaults().IDRetention,
	})
	servers := newPool(dial, serverConns)
	h.gateway = route.NewGateway(servers, h.guard)
	h.ingress = route.NewIngress(route.IngressConfig{
		Host:         h.config.Name,
		Zone:         h.config.Zone,
		Directory:    directory{h},
		Gateway:      h.gateway,
		Guard:        h.guard,
		Peers:        newPool(dial, peerConns),
		Servers:      servers,
		Counters:     h.counters,
		QueryPrimary: h.queryPrimary,
	})
}

// listen opens the three listeners. After an error none is left open.
func listen(config Config) (listeners, error) {
	var l listeners
	var err error
	if l.caller, err = net.Listen("tcp", config.CallerAddr); err != nil {
		return l, errors.Wrap(err, "host: caller address")
	}
	if l.peer, err = net.Listen("tcp", config.PeerAddr); err != nil {
		l.caller.Close()
		return l, errors.Wrap(err, "host: peer address")
	}
	if l.admin, err = net.Listen("tcp", config.AdminAddr); err != nil {
		l.caller.Close()
		l.peer.Close()
		return l, errors.Wrap(err, "host: administration address")
	}
	return l, nil
}

// CallerAddr returns the address that callers use.
func (h *Host) CallerAddr() string { return h.listeners.caller.Addr().String() }

// PeerAddr returns the address that other hosts use.
func (h *Host) PeerAddr() string { return h.listeners.peer.Addr().String() }

// AdminAddr returns the address that operators use.
func (h *Host) AdminAddr() string { return h.listeners.admin.Addr().String() }

// Run serves until the context ends, then stops gracefully: it announces that it
// leaves, hands over its sessions, goes on accepting for LeaveTime, finishes the
// requests in flight, and withdraws from the host list.
func (h *Host) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	h.record(timeline.KindHostStarted, "")
	var loops sync.WaitGroup
	for _, runLoop := range h.backgroundLoops() {
		loops.Go(func() { runLoop(run) })
	}
	servers := h.serve(run)
	<-ctx.Done()
	h.stop(run, servers)
	stop()
	loops.Wait()
	h.peers.Close()
	h.record(timeline.KindHostStopped, "")
	return h.stopSink()
}

// startSink starts writing the host's events to the configured writer and returns the function that stops it.
func (h *Host) startSink() func() error {
	if h.config.Events == nil {
		return func() error { return nil }
	}
	return h.events.StartSink(h.config.Events)
}

// backgroundLoops returns the host's background loops, which run until it has stopped.
func (h *Host) backgroundLoops() []func(context.Context) {
	return []func(context.Context){
		h.follower.Run,
		h.operatorEventLoop,
		h.members.Run,
		h.keeperLoop,
		h.planLoop,
		h.snapshotLoop,
		h.checkpointLoop,
		h.suspectLoop,
		h.rateLoop,
	}
}

// stop shuts the host down without interrupting a request: it stops being the
// primary of its sessions at once, so that other lessors take over, but still
// accepts what callers and hosts send until LeaveTime is over.
func (h *Host) stop(ctx context.Context, servers []*http.Server) {
	h.leaving.Store(true)
	h.logger.Info("leaving", "host", h.config.Name)
	h.record(timeline.KindHostStopping, "")
	h.announceLeaving(ctx)
	h.resignAll(ctx)
	loop.Sleep(ctx, h.config.LeaveTime)
	drain, cancel := context.WithTimeout(ctx, h.config.DrainTime)
	defer cancel()
	var stopping sync.WaitGroup
	for _, server := range servers {
		stopping.Go(func() { server.Shutdown(drain) })
	}
	stopping.Wait()
	h.members.Withdraw(drain)
}

// announceLeaving changes this host's entry in the host list to leaving.
func (h *Host) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	h.members.Leave(ctx)
}

// logAvailabilityChanged records, in the process's log and as an event, that the
// platform's log has begun or ceased to answer this host.
func (h *Host) logAvailabilityChanged(up bool) {
	if up {
		h.logger.Info("log answers", "host", h.config.Name)
		h.record(timeline.KindLogUp, "")
		return
	}
	h.logger.Warn("log does not answer", "host", h.config.Name)
	h.record(timeline.KindLogDown, "")
}

// record records an event of this host at the log offset that it has applied.
func (h *Host) record(kind timeline.Kind, detail string) {
	h.events.Record(timeline.Event{Kind: kind, Offset: h.view.Applied(), Zone: h.config.Zone, Detail: detail})
}

// clock is the host's monotonic clock.
func (h *Host) clock() time.Duration {
	return clock.Monotonic()
}
