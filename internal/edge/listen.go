package edge

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/rpc"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/answer"
	"github.com/poplarcroft/poplarcroft/internal/front"
	"github.com/poplarcroft/poplarcroft/internal/inbound"
	"github.com/poplarcroft/poplarcroft/internal/peer"
)

// listeners holds the open listeners of a host. Metrics is nil if no address is configured for it.
type listeners struct {
	callers                           *callerListener
	callersTCP, ready, peers, metrics net.Listener
}

// listen opens all listeners whose addresses are configured.
func (h *Host) listen() (listeners, error) {
	var l listeners
	for _, entry := range []struct {
		listener *net.Listener
		name     string
		addr     string
	}{
		{&l.callersTCP, "callers", h.config.CallerAddr},
		{&l.ready, "readiness", h.config.ReadyAddr},
		{&l.peers, "hosts", h.config.PeerAddr},
		{&l.metrics, "metrics", h.config.MetricsAddr},
	} {
		if entry.addr == "" {
			continue
		}
		listener, err := net.Listen("tcp", entry.addr)
		if err != nil {
			return listeners{}, errors.Wrapf(err, "listen for %s", entry.name)
		}
		*entry.listener = listener
	}
	if tcp, ok := l.callersTCP.(*net.TCPListener); ok {
		l.callers = newCallerListener(tcp, h.guards.callers)
	}
	return l, nil
}

// serve starts the HTTP servers on the listeners and returns the one for callers. The one for
// other hosts serves both RPC and forwarded requests.
func (h *Host) serve(ctx context.Context, l listeners) *http.Server {
	for _, guard := range []*inbound.Guard{h.guards.callers, h.guards.hosts, h.guards.ready, h.guards.metrics} {
		go guard.Run(ctx)
	}
	callers := h.guards.callers.Server(h.ingress)
	callers.ConnContext = withFront(callers.ConnContext)
	callers.ConnState = l.callers.track
	go h.serveOn("callers", callers, l.callers)
	ready := http.NewServeMux()
	ready.HandleFunc(h.config.ReadyPath, h.answerReady)
	go h.serveOn("readiness", h.guards.ready.Server(ready), h.guards.ready.Listener(l.ready))
	rpcServer := rpc.NewServer()
	err := rpcServer.RegisterName(rpcName, &rpcService{
		self: h.self, current: h.current, renewer: h.renewer, leader: h.leader, guard: h.guard, fleet: h.fleet, relay: h.relay,
		contents: h.contents,
		records:  h.operatorRecords, reach: h.reach, shares: h.shares, pools: h.pools, hostLeaves: h.ingress.HostLeaves,
		isLeaving: h.leaving.Load, log: h.log,
	})
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "register RPC methods"))
	}
	peers := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(front.HeaderForward) != "" {
			h.ingress.ServeForwarded(w, r)
			return
		}
		peer.ServeRPC(ctx, rpcServer, w)
	})
	hosts := h.guards.hosts.Server(peers)
	hosts.ConnContext = withFront(hosts.ConnContext)
	go h.serveOn("hosts", hosts, h.guards.hosts.Listener(l.peers))
	if l.metrics != nil {
		metrics := http.NewServeMux()
		metrics.HandleFunc(h.config.MetricsPath, h.answerMetrics)
		go h.serveOn("metrics", h.guards.metrics.Server(metrics), h.guards.metrics.Listener(l.metrics))
	}
	return callers
}

// withFront returns a ConnContext function that stores the connection for package front too.
func withFront(inner func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, conn net.Conn) context.Context {
		return front.ConnContext(inner(ctx, conn), conn)
	}
}

// serveOn serves until the server is shut down, and logs any other end.
func (h *Host) serveOn(name string, server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.IsAny(err, http.ErrServerClosed, errAcceptEnded) {
		h.log.Event("listener", "name", name, "outcome", "ended", "err", err.Error())
	}
}

// answerReady tells the load balancer whether to send new connections: not while the host is
// shutting down, and not before it has a configuration and has read the service discovery.
func (h *Host) answerReady(w http.ResponseWriter, _ *http.Request) {
	if h.leaving.Load() || h.tableForCallers() == nil || !h.seenServers.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// answerMetrics writes the host's metrics as JSON. The counters of the Ingress are under "door".
func (h *Host) answerMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(map[string]any{
		"door": h.ingress.Counters.Snapshot(), "leads": h.leader.IsLeader(), "leader": h.leader.Metrics(), "plan": uint64(h.current.Plan().Version),
		"admission":   map[string]any{"counts": h.admissionCounters.Snapshot(), "pools": h.pools.Snapshot()},
		"body_memory": h.ingress.BodyMemory(), "relay": h.relay.Counters.Snapshot(), "grants": h.renewer.Counts(), "topics": h.relay.Topics(), "log_lines_dropped": h.log.Dropped(),
		"servers": h.ingress.Learner.Snapshot(), "shares": h.shares.snapshot(),
		"configuration": h.operatorRecords.progress.metrics(), "contents": h.contents.Store.Counters.Snapshot(),
		"answer_faults": answer.Counts(), "registrations_replaced": h.state.registrationsReplaced.Load(),
		"inbound": map[string]inbound.Metrics{"callers": h.guards.callers.Metrics(), "hosts": h.guards.hosts.Metrics()},
	})
	if err != nil {
		h.log.Routine("metrics", "outcome", "failed", "err", err.Error())
	}
}
