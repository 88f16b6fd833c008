package route

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/keeper"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
	"github.com/poplarcroft/poplarcroft/internal/transport"
	"github.com/poplarcroft/poplarcroft/internal/view"
)

const (
	testSession     = record.SessionID(7)
	testSlices      = 2
	testIncarnation = "s1"
	// eventuallyTimeout is how long a test waits for a condition.
	eventuallyTimeout = 10 * time.Second
)

// fakeServer is a backend server that accepts all grants and passes requests to its
// script, a handler.
type fakeServer struct {
	*httptest.Server
	script   http.HandlerFunc
	received atomic.Int64 // requests, without grants
	started  time.Time

	mu     sync.Mutex
	holds  map[int]uint64 // epoch by granted slice
	header http.Header    // of the last request
}

func newFakeServer(t *testing.T, script http.HandlerFunc) *fakeServer {
	s := &fakeServer{script: script, started: time.Now(), holds: make(map[int]uint64)}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.Close)
	return s
}

func (s *fakeServer) addr() string { return s.Listener.Addr().String() }

func (s *fakeServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == backend.PathGrant {
		s.grant(w, r)
		return
	}
	s.mu.Lock()
	s.header = r.Header.Clone()
	s.mu.Unlock()
	s.received.Add(1)
	s.script(w, r)
}

func (s *fakeServer) lastHeader() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.header
}

// grant accepts a grant and replies with all slices granted so far.
func (s *fakeServer) grant(w http.ResponseWriter, r *http.Request) {
	var request backend.GrantRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := backend.GrantReply{
		Applied: true, Incarnation: testIncarnation, Session: request.Session,
		ClockMS: time.Since(s.started).Milliseconds(),
	}
	for _, add := range request.Add {
		s.holds[add.Slice] = add.Epoch
	}
	for slice, epoch := range s.holds {
		reply.Holds = append(reply.Holds, backend.SliceGrant{Slice: slice, Epoch: epoch})
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// downLog is a log that is unavailable.
type downLog struct{}

func (downLog) Append(context.Context, []byte) (logservice.Offset, error) {
	return 0, logservice.ErrUnavailable
}

func (downLog) Read(context.Context, logservice.Offset, int, time.Duration) (logservice.ReadReply, error) {
	return logservice.ReadReply{}, logservice.ErrUnavailable
}

// fakeDirectory is a Directory with one service, all slices of which have one owner.
type fakeDirectory struct {
	service settings.Service
	hosts   int

	mu      sync.Mutex
	owner   Owner
	others  map[record.SessionID][]record.Lessor // lessors of other sessions
	refused map[string]bool                      // zones and servers that may take no work
}

func (d *fakeDirectory) Service(name string) (settings.Service, bool) {
	return d.service, name == d.service.Name
}

func (d *fakeDirectory) Owner(ownership.SliceKey) Owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owner
}

func (d *fakeDirectory) Lessors(id record.SessionID) []record.Lessor {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.others[id]
}

func (d *fakeDirectory) MayTakeWork(zone, addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.refused[zone] && !d.refused[addr]
}

// refuse makes the directory report that a zone or server may take no work.
func (d *fakeDirectory) refuse(subject string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused[subject] = true
}

func (d *fakeDirectory) LiveHosts() []string { return make([]string, d.hosts) }

func testValues() settings.Values {
	values := settings.Defaults()
	values.Keyed = true
	values.Slices = testSlices
	values.ColdStartTime = 0
	return values
}

// keyedDirectory returns a directory with a keyed service that testSession owns.
func keyedDirectory(lessors ...record.Lessor) *fakeDirectory {
	return &fakeDirectory{
		service: settings.Service{Name: "revize", Values: testValues()},
		hosts:   1,
		owner:   Owner{Session: testSession, Version: 8, Lessors: lessors},
		others:  make(map[record.SessionID][]record.Lessor),
		refused: make(map[string]bool),
	}
}

// testHost is the request path of one host, with HTTP servers for callers and peers.
type testHost struct {
	ingress      *Ingress
	gateway      *Gateway
	guard        *poison.Guard
	directory    *fakeDirectory
	servers      *transport.Pool
	counters     *Counters
	caller       *httptest.Server
	peer         *httptest.Server
	queryPrimary func(lessor record.Lessor) (string, bool)
}

// newTestHost returns a host that is not yet the primary of a session.
func newTestHost(t *testing.T, name string, directory *fakeDirectory) *testHost {
	t.Helper()
	var dialer net.Dialer
	pool := func() *transport.Pool {
		return transport.NewPool(transport.Options{Dial: dialer.DialContext, Connections: 16})
	}
	h := &testHost{directory: directory, guard: poison.NewGuard(poison.Bounds{CrashLimit: 2, Retention: time.Hour}), servers: pool(), counters: &Counters{}}
	h.queryPrimary = func(record.Lessor) (string, bool) { return "", false }
	h.gateway = NewGateway(h.servers, h.guard)
	h.ingress = NewIngress(IngressConfig{
		Host: name, Zone: "zlin", Directory: directory, Gateway: h.gateway, Guard: h.guard,
		Peers: pool(), Servers: h.servers, Counters: h.counters,
		QueryPrimary: func(_ context.Context, lessor record.Lessor, _ record.SessionID) (string, bool) {
			return h.queryPrimary(lessor)
		},
	})
	h.caller = httptest.NewServer(h.ingress.Handler())
	t.Cleanup(h.caller.Close)
	h.peer = httptest.NewServer(h.ingress.ForwardHandler())
	t.Cleanup(h.peer.Close)
	return h
}

func (h *testHost) peerAddr() string { return h.peer.Listener.Addr().String() }

// makePrimary makes the host the primary of the test session with the server, and waits
// until it may send requests.
func (h *testHost) makePrimary(t *testing.T, name string, server *fakeServer) *keeper.Keeper {
	t.Helper()
	lessor := record.Lessor{Host: name, Incarnation: "i", PeerAddr: h.peerAddr()}
	v, session := viewOf(t, server.addr(), lessor)
	deps := keeper.Deps{
		Host: name, Incarnation: "i", View: v, Writer: view.NewWriter(v, downLog{}, name),
		Peers:   peer.NewPool((&net.Dialer{}).DialContext),
		Servers: backend.NewClient(&http.Client{Transport: &http.Transport{}}),
		Events:  timeline.NewRecorder(name, 16, time.Now),
		Hosts:   func() []string { return nil },
		Witness: func(string, string, []string) string { return "" },
		Clock:   clock.Monotonic,
	}
	values := h.directory.service.Values
	incarnation := poison.Server{Addr: server.addr(), Incarnation: testIncarnation}
	limiter := NewServerLimiter(values, incarnation, time.Now(), h.guard)
	k := keeper.New(deps, session, values, limiter)
	h.gateway.Add(k, limiter)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { k.Run(ctx) })
	t.Cleanup(running.Wait)
	t.Cleanup(cancel)
	eventually(t, func() bool { return mayServe(k, 0) && mayServe(k, 1) })
	return k
}

// mayServe reports whether the keeper admits requests for the slice now.
func mayServe(k *keeper.Keeper, slice int) bool {
	admission := k.BeginServing(slice)
	if admission.Allowed {
		k.EndServing()
	}
	return admission.Allowed
}

// viewOf returns a view with one open session that owns all slices, and that session.
func viewOf(t *testing.T, addr string, lessor record.Lessor) (*view.View, *ownership.Session) {
	t.Helper()
	table := ownership.NewTable()
	table.Skip(6)
	open := record.Open{Service: "revize", Zone: "zlin", Addr: addr, Incarnation: testIncarnation, Lessors: []record.Lessor{lessor}}
	assert.Assert(t, table.Apply(7, record.Record{Kind: record.KindOpen, Open: &open}).Accepted)
	plan := record.Plan{Service: "revize"}
	for slice := range testSlices {
		plan.Slices = append(plan.Slices, record.SlicePlan{Slice: slice, Owner: testSession})
	}
	assert.Assert(t, table.Apply(8, record.Record{Kind: record.KindPlan, Plan: &plan}).Accepted)
	data, err := json.Marshal(view.Snapshot{Table: table.Snapshot(), Settings: settings.NewState()})
	assert.NilError(t, err)
	v := view.New()
	assert.NilError(t, v.Restore(data))
	return v, table.Session(testSession)
}

// newPrimary returns a host that is the primary and the only lessor of the test session,
// and its server with the script.
func newPrimary(t *testing.T, script http.HandlerFunc) (*testHost, *fakeServer) {
	t.Helper()
	server := newFakeServer(t, script)
	host := newTestHost(t, "h1", keyedDirectory(record.Lessor{Host: "h1", Incarnation: "i"}))
	host.makePrimary(t, "h1", server)
	return host, server
}

// eventually waits until the condition holds, at most eventuallyTimeout.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the condition did not hold in time")
	}
}

// reply is an HTTP answer as the caller receives it.
type reply struct {
	status  int
	outcome outcome.Outcome
	reason  outcome.Reason
	header  http.Header
	body    string
}

// call sends a caller's request. headers alternates names and values.
func (h *testHost) call(t *testing.T, method, path, body string, headers ...string) reply {
	t.Helper()
	got, err := h.send(method, path, body, headers...)
	assert.NilError(t, err)
	return got
}

// send is call for goroutines that must not end the test: it returns the error.
func (h *testHost) send(method, path, body string, headers ...string) (reply, error) {
	req, err := http.NewRequest(method, h.caller.URL+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	resp, err := h.caller.Client().Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode, header: resp.Header, body: string(data),
		outcome: outcome.Outcome(resp.Header.Get(backend.HeaderOutcome)),
		reason:  outcome.Reason(resp.Header.Get(backend.HeaderReason)),
	}, err
}

// answerWith returns a script that answers with the text.
func answerWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, text)
	}
}

// writeRaw returns a script that writes the text to the connection and closes it.
func writeRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		conn.Close()
	}
}

// hang is a script that reads the request and sends no answer; it returns when the
// sender cancels the request.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// shed returns a script that refuses the request as not-run, with the status.
func shed(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(backend.HeaderOutcome, string(outcome.NotRun))
		w.WriteHeader(status)
	}
}
