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
	// PathRules is the control path by which an egress proxy's rules are read
	// (GET) and replaced (PUT).
	PathRules = "/_control/rules"
	// PathSilence is the control path by which the open connections to some
	// addresses are silenced for good (POST).
	PathSilence = "/_control/silence"
	// dialTimeout bounds the time to connect to a destination.
	dialTimeout = 5 * time.Second
	// maxOpened bounds the connections that a proxy remembers.
	maxOpened = 1024
)

// EgressRules say what happens to connections to the addresses that they name.
// Connections to any other address pass.
type EgressRules struct {
	// Cut lists addresses that cannot be reached: open connections are closed,
	// new ones are refused.
	Cut []string `json:"cut"`
	// Stall lists addresses to which connections stay open without passing a
	// byte, and new ones get no answer, until they are listed no more.
	Stall []string `json:"stall"`
}

// SilenceRequest names the addresses whose open connections pass no byte ever
// after. New connections work.
type SilenceRequest struct {
	Addrs []string `json:"addrs"`
}

// EgressConfig configures an egress proxy.
type EgressConfig struct {
	// Listen is the address to listen on.
	Listen string
}

// Egress is an HTTP CONNECT proxy through which one process makes all its
// outgoing connections, so that a test can cut them.
type Egress struct {
	cfg      EgressConfig
	endpoint endpoint

	mu      sync.Mutex
	rules   EgressRules
	changed chan struct{}
	tunnels map[*tunnel]struct{}
	// opened holds the local addresses of the last connections.
	opened []string
	// traffic holds the bytes passed both ways by destination.
	traffic map[string]uint64
}

// fate is what happens to a connection.
type fate int

const (
	fatePass fate = iota
	fateStall
	fateCut
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

// SetRules replaces the rules in force.
func (e *Egress) SetRules(rules EgressRules) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rules = rules
	for t := range e.tunnels {
		if e.fateOf(t.addr) == fateCut {
			t.close()
		}
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// Silence keeps the open connections to the addresses from passing any byte.
func (e *Egress) Silence(addrs []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for t := range e.tunnels {
		if slices.Contains(addrs, t.addr) {
			t.silent = true
		}
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// Opened reports whether one of the proxy's last connections was opened from
// the local address.
func (e *Egress) Opened(local string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.opened, local)
}

// Traffic returns the number of bytes passed so far, both ways together, by destination.
func (e *Egress) Traffic() map[string]uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.traffic)
}

// count notes bytes passed between a client and addr.
func (e *Egress) count(addr string, bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.traffic[addr] += uint64(bytes)
}

// fateOf returns what the rules say of connections to addr. The lock is held.
func (e *Egress) fateOf(addr string) fate {
	switch {
	case slices.Contains(e.rules.Cut, addr):
		return fateCut
	case slices.Contains(e.rules.Stall, addr):
		return fateStall
	}
	return fatePass
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

// decodeRequest decodes the request's body, and answers where it cannot.
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

// serveConnect opens a tunnel to the address that the request names and relays
// until one side ends.
func (e *Egress) serveConnect(w http.ResponseWriter, r *http.Request) {
	if !e.admit(r) {
		http.Error(w, "destination is cut off", http.StatusBadGateway)
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
	if !t.pass() {
		return
	}
	if _, err := downstream.Write([]byte("HTTP/1.1 200 Connection established\r\n\r\n")); err != nil {
		return
	}
	t.relay()
}

// admit waits while the destination is stalled. It reports false where it is
// cut off, or the client has gone.
func (e *Egress) admit(r *http.Request) bool {
	for {
		e.mu.Lock()
		f, changed := e.fateOf(r.Host), e.changed
		e.mu.Unlock()
		if f != fateStall {
			return f == fatePass
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
	if len(e.opened) == maxOpened {
		e.opened = e.opened[1:]
	}
	e.opened = append(e.opened, t.upstream.LocalAddr().String())
}

func (e *Egress) remove(t *tunnel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.tunnels, t)
	t.close()
}
