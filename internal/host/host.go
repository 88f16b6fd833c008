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
	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/keeper"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
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

// eventRing is the number of events that a host keeps for operators.
const eventRing = 8192

// Host is one host of the router.
type Host struct {
	config  Config
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
	guard    *poison.Guard
	// witness remembers request IDs of sessions that this host is no lessor of.
	witness  *idempotency.Table
	gateway  *route.Gateway
	route    *route.Entry
	counters *route.Counters
	stopSink func() error

	mu      sync.RWMutex
	keepers map[record.SessionID]*keeper.Keeper
	rates   sliceRates
	// seen holds when this host first saw each open session.
	seen map[record.SessionID]time.Time

	listeners listeners
	attempts  attempts
}

// listeners are the sockets that a host serves.
type listeners struct {
	caller net.Listener
	peer   net.Listener
	admin  net.Listener
}

// New returns a host that listens on its addresses but serves nobody yet.
func New(config Config, logger *log.Logger) (*Host, error) {
	listeners, err := listen(config)
	if err != nil {
		return nil, err
	}
	h := &Host{
		config:    config,
		logger:    logger,
		view:      view.New(),
		events:    timeline.NewRecorder(config.Name, eventRing, time.Now),
		counters:  &route.Counters{},
		keepers:   make(map[record.SessionID]*keeper.Keeper),
		listeners: listeners,
		attempts:  newAttempts(),
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

// connect builds the clients and what depends on them.
func (h *Host) connect() {
	dial := transport.Dialer(h.config.EgressAddr)
	h.platform = logservice.NewClient(h.config.LogURL, h.config.HostsURL, newHTTPClient(dial, platformConns))
	h.writer = view.NewWriter(h.view, h.platform, h.config.Name)
	h.follower = view.NewFollower(h.view, h.platform, h.logChanged)
	h.peers = peer.NewPool(peer.DialFunc(dial))
	h.members = members.New(h.entry, h.platform, h.peers, h.config.Peers)
	h.servers = backend.NewClient(newHTTPClient(dial, controlConns))
	h.guard = poison.NewGuard(poison.Bounds{})
	h.witness = idempotency.NewTable(h.entry.Name+"/"+h.entry.Incarnation, idempotency.Bounds{
		Retention: settings.Defaults().IDRetention,
	})
	servers := newPool(dial, serverConns)
	h.gateway = route.NewGateway(servers, h.guard)
	h.route = route.NewEntry(route.EntryConfig{
		Host:      h.config.Name,
		Zone:      h.config.Zone,
		Directory: directory{h},
		Gateway:   h.gateway,
		Guard:     h.guard,
		Peers:     newPool(dial, peerConns),
		Servers:   servers,
		Counters:  h.counters,
		LeadOf:    h.askLead,
	})
}

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

// Run serves until the context ends, then stops gracefully: it withdraws from
// the host list, goes on accepting for LeaveTime, and finishes what it has.
func (h *Host) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	h.record(timeline.KindHostStarted, "")
	var duties sync.WaitGroup
	for _, duty := range h.duties() {
		duties.Go(func() { duty(run) })
	}
	servers := h.serve(run)
	<-ctx.Done()
	h.stop(run, servers)
	stop()
	duties.Wait()
	h.peers.Close()
	h.record(timeline.KindHostStopped, "")
	return h.stopSink()
}

// startSink passes the host's events on to the configured writer.
func (h *Host) startSink() func() error {
	if h.config.Events == nil {
		return func() error { return nil }
	}
	return h.events.StartSink(h.config.Events)
}

// duties are the host's goroutines that run until it has stopped.
func (h *Host) duties() []func(context.Context) {
	return []func(context.Context){
		h.follower.Run,
		h.operatorDuty,
		h.members.Run,
		h.keepDuty,
		h.planDuty,
		h.bootDuty,
		h.checkpointDuty,
		h.suspectDuty,
		h.rateDuty,
	}
}

// stop ends the host's work without cutting a request: its leads go to other
// lessors at once, while it still accepts what callers and hosts send it.
func (h *Host) stop(ctx context.Context, servers []*http.Server) {
	h.leaving.Store(true)
	h.logger.Info("leaving", "host", h.config.Name)
	h.record(timeline.KindHostStopping, "")
	h.announceLeaving(ctx)
	h.resignAll(ctx)
	duty.Wait(ctx, h.config.LeaveTime)
	drain, cancel := context.WithTimeout(ctx, h.config.DrainTime)
	defer cancel()
	var stopping sync.WaitGroup
	for _, server := range servers {
		stopping.Go(func() { server.Shutdown(drain) })
	}
	stopping.Wait()
	h.members.Withdraw(drain)
}

func (h *Host) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	h.members.Leave(ctx)
}

func (h *Host) logChanged(up bool) {
	if up {
		h.logger.Info("log answers", "host", h.config.Name)
		h.record(timeline.KindLogUp, "")
		return
	}
	h.logger.Warn("log does not answer", "host", h.config.Name)
	h.record(timeline.KindLogDown, "")
}

func (h *Host) record(kind timeline.Kind, detail string) {
	h.events.Record(timeline.Event{Kind: kind, Offset: h.view.Applied(), Zone: h.config.Zone, Detail: detail})
}

// clock is the host's monotonic clock.
func (h *Host) clock() time.Duration {
	return clock.Monotonic()
}
