package host

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"strings"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/bounded"
	"github.com/poplarcroft/poplarcroft/internal/inbound"
	"github.com/poplarcroft/poplarcroft/internal/peer"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// maxConnections is the maximum number of connections of callers, and of those of other hosts without RPC.
	maxConnections = 4096
	// maxHeadMemory bounds the memory in bytes that the large heads of requests may take at one listener.
	maxHeadMemory = 32 << 20
)

// serve starts the host's HTTP servers. The end of the context does not cancel requests in flight.
func (h *Host) serve(ctx context.Context) []*http.Server {
	return []*http.Server{
		h.startGuarded(ctx, "callers", bounded.MaxHeaderBytes, h.listeners.caller, h.callerHandler()),
		// A forwarded request has the caller's header and those between hosts.
		h.startGuarded(ctx, "hosts", 2*bounded.MaxHeaderBytes, h.listeners.peer, h.peerHandler(ctx)),
		start(h.adminListener(), h.adminHandler()),
	}
}

// startGuarded serves a listener in the background whose clients need not keep to any limit.
func (h *Host) startGuarded(ctx context.Context, name string, headBytes int, listener net.Listener, handler http.Handler) *http.Server {
	limits := inbound.Limits{HeadBytes: headBytes, HeadTimeout: headerTimeout}
	guard := inbound.New(inbound.Config{
		Name: name, Limits: func() inbound.Limits { return limits }, Connections: maxConnections, HeadMemory: maxHeadMemory, Log: h.logInbound,
	})
	go guard.Run(ctx)
	server := guard.Server(handler)
	go server.Serve(guard.Listener(listener))
	return server
}

// logInbound writes a log line about refused connections and requests.
func (h *Host) logInbound(event string, fields ...any) {
	h.logger.Warn(event, append(fields, "host", h.config.Name)...)
}

// start serves a listener in the background.
func start(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: bounded.MaxHeaderBytes}
	go server.Serve(listener)
	return server
}

// peerHandler returns the handler for other hosts: net/rpc after a CONNECT, and forwarded requests.
func (h *Host) peerHandler(ctx context.Context) http.Handler {
	control := rpc.NewServer()
	if err := control.RegisterName("Peer", &peerService{host: h}); err != nil {
		panic(err)
	}
	forwarded := h.ingress.ForwardHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodConnect:
			peer.ServeRPC(ctx, control, w)
		case strings.HasPrefix(r.URL.Path, peer.PathForward+"/"):
			forwarded.ServeHTTP(w, r)
		default:
			http.NotFound(w, r)
		}
	})
}

// PathHealth answers 200 while the host takes callers' requests, and 503 once it leaves.
const PathHealth = "/healthz"

// callerHandler returns the handler for callers and for the load balancer's health check.
func (h *Host) callerHandler() http.Handler {
	requests := h.ingress.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != PathHealth {
			requests.ServeHTTP(w, r)
			return
		}
		if h.leaving.Load() {
			http.Error(w, "leaving", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ok\n")
	})
}
