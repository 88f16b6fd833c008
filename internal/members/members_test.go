package members

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/peer"
)

// fakeList is an in-memory host list of the platform.
type fakeList struct {
	mu        sync.Mutex
	down      bool
	entries   []logservice.HostEntry
	announced []logservice.HostEntry
}

func (l *fakeList) List(context.Context) (logservice.HostList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return logservice.HostList{}, errors.New("list is down")
	}
	return logservice.HostList{Hosts: slices.Clone(l.entries)}, nil
}

func (l *fakeList) Announce(_ context.Context, entry logservice.HostEntry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announced = append(l.announced, entry)
	return nil
}

func (l *fakeList) Withdraw(context.Context, string) error { return nil }

func (l *fakeList) set(down bool, entries ...logservice.HostEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.entries = entries
}

// fakeHost answers status calls.
type fakeHost struct {
	mu     sync.Mutex
	status peer.StatusReply
	hosts  []logservice.HostEntry
}

// Status answers a status call.
func (h *fakeHost) Status(_ peer.Empty, reply *peer.StatusReply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	*reply = h.status
	return nil
}

// Hosts answers with the hosts that the host knows.
func (h *fakeHost) Hosts(_ peer.Empty, reply *peer.HostsReply) error {
	reply.Hosts = h.hosts
	return nil
}

func (h *fakeHost) set(status peer.StatusReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.status = status
}

// serveHost starts a host that answers status calls with the name and incarnation, until stop is called.
func serveHost(t *testing.T, name, incarnation string) (host *fakeHost, entry logservice.HostEntry, stop func()) {
	t.Helper()
	host = &fakeHost{status: peer.StatusReply{Host: name, Incarnation: incarnation, Applied: 5}}
	service := rpc.NewServer()
	assert.NilError(t, service.RegisterName("Peer", host))
	ctx, cancel := context.WithCancel(context.Background())
	// The HTTP server does not wait for the connections that ServeRPC takes over.
	var serving sync.WaitGroup
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		serving.Add(1)
		defer serving.Done()
		peer.ServeRPC(ctx, service, w)
	}))
	stop = sync.OnceFunc(func() {
		cancel()
		server.Close()
		serving.Wait()
	})
	t.Cleanup(stop)
	entry = logservice.HostEntry{
		Name: name, Zone: "zlin", PeerAddr: server.Listener.Addr().String(),
		Incarnation: incarnation, State: logservice.HostLive,
	}
	return host, entry, stop
}

var self = logservice.HostEntry{Name: "h1", Zone: "zlin", PeerAddr: "127.0.0.1:1", Incarnation: "i1", State: logservice.HostLive}

func newMembers(t *testing.T, list logservice.Hosts, seeds ...string) *Members {
	t.Helper()
	pool := peer.NewPool((&net.Dialer{}).DialContext)
	t.Cleanup(pool.Close)
	m := New(self, list, pool, seeds)
	// A slow machine must not make a call time out or a host unresponsive.
	m.callTimeout = time.Minute
	started := time.Now()
	m.now = func() time.Time { return started }
	return m
}

func names(hosts []Host) []string {
	var all []string
	for _, host := range hosts {
		all = append(all, host.Name)
	}
	return all
}

// makeUnresponsive dates a host's last answer back by more than unresponsiveAfter.
func makeUnresponsive(m *Members, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	host := m.known[name]
	host.Answered = m.now().Add(-unresponsiveAfter - time.Second)
	m.known[name] = host
}

func TestLiveHosts(t *testing.T) {
	ctx := context.Background()
	for name, test := range map[string]struct {
		// after changes the list or h2 after m has seen h2 live.
		after     func(m *Members, list *fakeList, entry logservice.HostEntry, host *fakeHost, stop func())
		all, live []string
	}{
		"nothing changes": {func(*Members, *fakeList, logservice.HostEntry, *fakeHost, func()) {},
			[]string{"h1", "h2"}, []string{"h1", "h2"}},
		"missing from the list but answering": {func(_ *Members, list *fakeList, _ logservice.HostEntry, _ *fakeHost, _ func()) {
			list.set(false, self)
		}, []string{"h1", "h2"}, []string{"h1", "h2"}},
		"the list is down": {func(m *Members, list *fakeList, _ logservice.HostEntry, _ *fakeHost, _ func()) {
			list.set(true)
		}, []string{"h1", "h2"}, []string{"h1", "h2"}},
		"listed but not answering": {func(m *Members, _ *fakeList, _ logservice.HostEntry, _ *fakeHost, stop func()) {
			stop()
			makeUnresponsive(m, "h2")
		}, []string{"h1", "h2"}, []string{"h1"}},
		"missing from the list and not answering": {func(m *Members, list *fakeList, _ logservice.HostEntry, _ *fakeHost, stop func()) {
			stop()
			makeUnresponsive(m, "h2")
			list.set(false, self)
		}, []string{"h1"}, []string{"h1"}},
		"not answering while the list is down": {func(m *Members, list *fakeList, _ logservice.HostEntry, _ *fakeHost, stop func()) {
			stop()
			makeUnresponsive(m, "h2")
			list.set(true)
		}, []string{"h1", "h2"}, []string{"h1"}},
		"listed as leaving": {func(_ *Members, list *fakeList, entry logservice.HostEntry, _ *fakeHost, _ func()) {
			entry.State = logservice.HostLeaving
			list.set(false, self, entry)
		}, []string{"h1", "h2"}, []string{"h1"}},
		"listed as leaving and back": {func(m *Members, list *fakeList, entry logservice.HostEntry, _ *fakeHost, _ func()) {
			leaving := entry
			leaving.State = logservice.HostLeaving
			list.set(false, self, leaving)
			m.refresh(ctx)
			list.set(false, self, entry)
		}, []string{"h1", "h2"}, []string{"h1", "h2"}},
		"reports itself that it leaves": {func(_ *Members, _ *fakeList, _ logservice.HostEntry, host *fakeHost, _ func()) {
			host.set(peer.StatusReply{Host: "h2", Incarnation: "i2", Leaving: true})
		}, []string{"h1", "h2"}, []string{"h1"}},
		"another host at its address": {func(m *Members, _ *fakeList, _ logservice.HostEntry, host *fakeHost, _ func()) {
			host.set(peer.StatusReply{Host: "h3", Incarnation: "i2"})
			makeUnresponsive(m, "h2")
		}, []string{"h1", "h2"}, []string{"h1"}},
		"restarted, the list lags": {func(m *Members, _ *fakeList, _ logservice.HostEntry, host *fakeHost, _ func()) {
			host.set(peer.StatusReply{Host: "h2", Incarnation: "i3"})
			makeUnresponsive(m, "h2")
		}, []string{"h1", "h2"}, []string{"h1"}},
		"restarted, its answer has the former incarnation": {func(_ *Members, list *fakeList, entry logservice.HostEntry, _ *fakeHost, _ func()) {
			entry.Incarnation = "i3"
			list.set(false, self, entry)
		}, []string{"h1", "h2"}, []string{"h1"}},
		"restarted": {func(_ *Members, list *fakeList, entry logservice.HostEntry, host *fakeHost, _ func()) {
			entry.Incarnation = "i3"
			list.set(false, self, entry)
			host.set(peer.StatusReply{Host: "h2", Incarnation: "i3"})
		}, []string{"h1", "h2"}, []string{"h1", "h2"}},
	} {
		t.Run(name, func(t *testing.T) {
			list := &fakeList{}
			host, entry, stop := serveHost(t, "h2", "i2")
			list.set(false, self, entry)
			m := newMembers(t, list)
			m.refresh(ctx)
			assert.DeepEqual(t, names(m.Live()), []string{"h1", "h2"})
			assert.Equal(t, m.All()[1].Applied, logservice.Offset(5))
			test.after(m, list, entry, host, stop)
			m.refresh(ctx)
			m.queryStatuses(ctx)
			assert.DeepEqual(t, names(m.All()), test.all)
			assert.DeepEqual(t, names(m.Live()), test.live)
		})
	}
}

// TestLaggingListDoesNotBringALeavingHostBack checks that a host which has reported
// that it leaves is not live again while the list still shows it as live.
func TestLaggingListDoesNotBringALeavingHostBack(t *testing.T) {
	list := &fakeList{}
	host, entry, stop := serveHost(t, "h2", "i2")
	list.set(false, self, entry)
	m := newMembers(t, list)
	host.set(peer.StatusReply{Host: "h2", Incarnation: "i2", Leaving: true})
	m.refresh(context.Background())
	assert.DeepEqual(t, names(m.Live()), []string{"h1"})
	stop()
	m.refresh(context.Background())
	assert.DeepEqual(t, names(m.Live()), []string{"h1"})
	entry.Incarnation = "i3"
	_, restarted, _ := serveHost(t, "h2", "i3")
	list.set(false, self, restarted)
	m.refresh(context.Background())
	assert.DeepEqual(t, names(m.Live()), []string{"h1", "h2"})
}

func TestAnnouncements(t *testing.T) {
	leaving, former, moved := self, self, self
	leaving.State = logservice.HostLeaving
	former.Incarnation = "i0"
	moved.PeerAddr = "127.0.0.1:2"
	leave := func(m *Members) { m.Leave(context.Background()) }
	withdraw := func(m *Members) {
		m.Leave(context.Background())
		m.Withdraw(context.Background())
	}
	for name, test := range map[string]struct {
		before func(*Members)
		listed []logservice.HostEntry
		want   []logservice.HostEntry
	}{
		"missing":                  {nil, nil, []logservice.HostEntry{self}},
		"listed":                   {nil, []logservice.HostEntry{self}, nil},
		"its former incarnation":   {nil, []logservice.HostEntry{former}, []logservice.HostEntry{self}},
		"another address":          {nil, []logservice.HostEntry{moved}, []logservice.HostEntry{self}},
		"leaving, listed so":       {leave, []logservice.HostEntry{leaving}, nil},
		"leaving, the list lags":   {leave, []logservice.HostEntry{self}, []logservice.HostEntry{leaving}},
		"leaving, missing":         {leave, nil, []logservice.HostEntry{leaving}},
		"withdrawn":                {withdraw, nil, nil},
		"withdrawn, the list lags": {withdraw, []logservice.HostEntry{self}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			list := &fakeList{}
			list.set(false, test.listed...)
			m := newMembers(t, list)
			if test.before != nil {
				test.before(m)
				list.announced = nil
			}
			m.refresh(context.Background())
			assert.DeepEqual(t, list.announced, test.want)
		})
	}
}

func TestSeedsAreQueriedWhileTheListIsDown(t *testing.T) {
	list := &fakeList{}
	list.set(true)
	seed, entry, _ := serveHost(t, "h2", "i2")
	seed.hosts = []logservice.HostEntry{entry, self}
	m := newMembers(t, list, "127.0.0.1:1", entry.PeerAddr)
	assert.Assert(t, !m.Settled())
	m.refresh(context.Background())
	m.queryStatuses(context.Background())
	assert.DeepEqual(t, names(m.Live()), []string{"h1", "h2"})
	assert.Equal(t, m.PeerAddr("h2"), entry.PeerAddr)
	assert.Equal(t, m.PeerAddr("h9"), "")
	m.started = m.now().Add(-unresponsiveAfter - time.Second)
	assert.Assert(t, m.Settled())
}

func TestRankKeepsTheOrderOfTheRemainingHosts(t *testing.T) {
	var hosts []Host
	for i := range 9 {
		hosts = append(hosts, Host{HostEntry: logservice.HostEntry{Name: "h" + strconv.Itoa(i)}})
	}
	for i := range 100 {
		subject := strconv.Itoa(i)
		before := Rank(subject, hosts)
		left := slices.DeleteFunc(slices.Clone(before), func(h Host) bool { return h.Name == "h4" })
		rest := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Name == "h4" })
		assert.DeepEqual(t, names(Rank(subject, rest)), names(left))
		assert.Equal(t, RankOf(subject, before[3].Name, hosts), 3)
	}
	assert.Equal(t, RankOf("s", "h10", hosts), len(hosts))
}
