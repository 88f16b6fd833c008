package standin

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const (
	// PathRules is the control path of an egress proxy's rules: GET reads them, PUT
	// replaces them.
	PathRules = "/_control/rules"
	// PathSilence is the control path that silences the open connections to some
	// addresses (POST of a SilenceRequest).
	PathSilence = "/_control/silence"
	// dialTimeout limits the time to connect to a destination.
	dialTimeout = 5 * time.Second
	// maxRecentAddrs limits the local addresses that a proxy keeps for OpenedFrom.
	maxRecentAddrs = 1024
)

// EgressRules partition a process from the addresses that they list. Connections
// to any other address pass.
type EgressRules struct {
	// Cut lists addresses to which open connections are closed and new ones are
	// rejected.
	Cut []string `json:"cut"`
	// Stall lists addresses to which open connections pass no data and new ones
	// get no response. Both resume when the address is no longer listed.
	Stall []string `json:"stall"`
}

// SilenceRequest lists the addresses to which the connections that are open now
// pass no more data, for good. New connections work.
type SilenceRequest struct {
	Addrs []string `json:"addrs"`
}

// EgressConfig configures an egress proxy.
type EgressConfig struct {
	// Listen is the address to listen on.
	Listen string
}

// Egress is an HTTP CONNECT proxy through which one process makes all its
// outgoing connections, so that a test can partition it from other processes.
type Egress struct {
	cfg      EgressConfig
	endpoint endpoint

	mu      sync.Mutex
	rules   EgressRules
	changed chan struct{}
	tunnels map[*tunnel]struct{}
	// recentLocalAddrs holds the proxy's local addresses of the latest connections,
	// oldest first.
	recentLocalAddrs []string
	// traffic maps each destination to the bytes passed, both directions together.
	traffic map[string]uint64
}

// connAction is what the rules do to a connection.
type connAction int

const (
	actionPass connAction = iota
	actionStall
	actionCut
)

// NewEgress returns an egress proxy that does not listen yet.
func NewEgress(cfg EgressConfig) *Egress {
	return &Egress{
		cfg:     cfg,
		changed: make(chan struct{}),
		tunnels: make(map[*tunnel]struct{}),
		traffic: make(map[string]uint64),
	}
}

// Start listens and serves until Close. It returns the address in use.
func (e *Egress) Start() (string, error) {
	control := mux.NewRouter()
	control.HandleFunc(PathRules, e.serveGetRules).Methods(http.MethodGet)
	control.HandleFunc(PathRules, e.servePutRules).Methods(http.MethodPut)
	control.HandleFunc(PathSilence, e.serveSilence).Methods(http.MethodPost)
	return e.endpoint.start(e.cfg.Listen, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			e.serveConnect(w, r)
			return
		}
		control.ServeHTTP(w, r)
	}))
}

// Close stops the proxy and closes all connections.
func (e *Egress) Close() error {
	err := e.endpoint.stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	for t := range e.tunnels {
		t.close()
	}
	return err
}

// SetRules replaces the rules and closes the open connections that they cut.
func (e *Egress) SetRules(rules EgressRules) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rules = rules
	for t := range e.tunnels {
		if e.actionFor(t.addr) == actionCut {
			t.close()
		}
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// Silence makes the connections that are open now to the addresses pass no more
// data, for good. New connections work.
func (e *Egress) Silence(addrs []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for t := range e.tunnels {
		if slices.Contains(addrs, t.addr) {
			t.silenced = true
		}
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// OpenedFrom reports whether one of the proxy's latest 1024 connections has the
// given local address, which is the remote address that the destination sees.
func (e *Egress) OpenedFrom(local string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.recentLocalAddrs, local)
}

// Traffic returns the number of bytes passed so far by destination, both
// directions together.
func (e *Egress) Traffic() map[string]uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.traffic)
}

// addTraffic adds bytes passed to or from addr.
func (e *Egress) addTraffic(addr string, bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.traffic[addr] += uint64(bytes)
}

// actionFor returns what the rules do to connections to addr. e.mu must be held.
func (e *Egress) actionFor(addr string) connAction {
	switch {
	case slices.Contains(e.rules.Cut, addr):
		return actionCut
	case slices.Contains(e.rules.Stall, addr):
		return actionStall
	}
	return actionPass
}

func (e *Egress) serveGetRules(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	rules := e.rules
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, rules)
}

func (e *Egress) servePutRules(w http.ResponseWriter, r *http.Request) {
	var rules EgressRules
	if decodeRequest(w, r, &rules) {
		e.SetRules(rules)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (e *Egress) serveSilence(w http.ResponseWriter, r *http.Request) {
	var req SilenceRequest
	if decodeRequest(w, r, &req) {
		e.Silence(req.Addrs)
		w.WriteHeader(http.StatusNoContent)
	}
}

// decodeRequest decodes the request's JSON body into out. On failure it responds
// with status 400 and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, out any) bool {
	body, err := readBody(w, r)
	if err == nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// serveConnect opens a tunnel to the request's destination and copies data until
// one side closes.
func (e *Egress) serveConnect(w http.ResponseWriter, r *http.Request) {
	if !e.admit(r) {
		http.Error(w, "destination is cut off by the egress rules", http.StatusBadGateway)
		return
	}
	upstream, err := net.DialTimeout("tcp", r.Host, dialTimeout)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	downstream, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		upstream.Close()
		return
	}
	t := &tunnel{egress: e, addr: r.Host, downstream: downstream, upstream: upstream, closed: make(chan struct{})}
	e.add(t)
	defer e.remove(t)
	if !t.waitToPass() {
		return
	}
	if _, err := downstream.Write([]byte("HTTP/1.1 200 Connection established\r\n\r\n")); err != nil {
		return
	}
	t.copyBoth()
}

// admit waits while the destination is stalled. It returns false if the
// destination is cut off or the client disconnects.
func (e *Egress) admit(r *http.Request) bool {
	for {
		e.mu.Lock()
		action, changed := e.actionFor(r.Host), e.changed
		e.mu.Unlock()
		if action != actionStall {
			return action == actionPass
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (e *Egress) add(t *tunnel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tunnels[t] = struct{}{}
	if len(e.recentLocalAddrs) == maxRecentAddrs {
		e.recentLocalAddrs = e.recentLocalAddrs[1:]
	}
	e.recentLocalAddrs = append(e.recentLocalAddrs, t.upstream.LocalAddr().String())
}

func (e *Egress) remove(t *tunnel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.tunnels, t)
	t.close()
}
