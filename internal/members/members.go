// Package members keeps a host's knowledge of the other hosts: the platform's
// list, which lags, and the hosts' own answers to status calls.
package members

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/peer"
)

const (
	// refreshEvery is the time between two reads of the platform's list, each
	// followed by a status call to every host.
	refreshEvery = 500 * time.Millisecond
	// callTimeout bounds a read of the list and a status call.
	callTimeout = 400 * time.Millisecond
	// silentAfter is how long a host may leave status calls unanswered and still count as live.
	silentAfter = 2 * time.Second
)

// Host is one host of the system as seen from this one.
type Host struct {
	logservice.HostEntry
	// Applied is the log offset that the host told last.
	Applied logservice.Offset
	// Rates are the loads of the slices whose servers the host leads.
	Rates []peer.SliceRate
	// Answered is when the host answered last; zero where it never did.
	Answered time.Time
	// leaving is the host's own word that it leaves.
	leaving bool
}

// Members is this host's list of hosts. It is safe for concurrent use.
type Members struct {
	self  logservice.HostEntry
	hosts logservice.Hosts
	peers *peer.Pool
	seeds []string

	// now and callTimeout are replaced by tests.
	now         func() time.Time
	callTimeout time.Duration
	started     time.Time

	liveNames atomic.Pointer[[]string]

	mu        sync.RWMutex
	known     map[string]Host
	listed    bool
	withdrawn bool
}

// New returns a list that knows only this host. Seeds are the peer addresses of
// hosts that are asked while the platform's list does not answer.
func New(self logservice.HostEntry, hosts logservice.Hosts, peers *peer.Pool, seeds []string) *Members {
	m := &Members{
		self:  self,
		hosts: hosts,
		peers: peers,
		seeds: seeds,

		now:         time.Now,
		callTimeout: callTimeout,
	}
	m.started = m.now()
	m.known = map[string]Host{self.Name: {HostEntry: self, Answered: m.started}}
	m.noteLive()
	return m
}

// Run announces this host and keeps the list up to date until the context ends.
func (m *Members) Run(ctx context.Context) {
	duty.Every(ctx, refreshEvery, m.refresh)
}

// refresh reads the platform's list. Hosts that are missing there are kept as
// long as they answer: absence from the list is no proof that a host is gone.
func (m *Members) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout)
	defer cancel()
	list, err := m.hosts.List(ctx)
	if err != nil {
		m.askSeeds()
		m.askAll(context.WithoutCancel(ctx))
		return
	}
	m.merge(list)
	m.askAll(ctx)
	if m.mustAnnounce(list) {
		m.hosts.Announce(ctx, m.own())
	}
}

// mustAnnounce reports whether the list lacks this host's entry as it should be.
func (m *Members) mustAnnounce(list logservice.HostList) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return !m.withdrawn && !slices.Contains(list.Hosts, m.self)
}

// Leave announces that this host leaves, and goes on saying so.
func (m *Members) Leave(ctx context.Context) {
	m.mu.Lock()
	m.self.State = logservice.HostLeaving
	self := m.self
	m.mu.Unlock()
	m.hosts.Announce(ctx, self)
}

// Withdraw takes this host off the list. It announces itself no more after that.
func (m *Members) Withdraw(ctx context.Context) {
	m.mu.Lock()
	m.withdrawn = true
	m.mu.Unlock()
	m.hosts.Withdraw(ctx, m.self.Name)
}

// own returns this host's entry as it should be listed.
func (m *Members) own() logservice.HostEntry {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.self
}

// askSeeds learns of hosts from other hosts. It is only needed until this host
// knows any, since a known host stays known as long as it answers.
func (m *Members) askSeeds() {
	if len(m.All()) > 1 {
		return
	}
	for _, addr := range m.seeds {
		var reply peer.HostsReply
		err := m.peers.CallTimeout(context.Background(), m.callTimeout, addr, "Peer.Hosts", peer.Empty{}, &reply)
		if err == nil {
			m.add(reply.Hosts)
		}
	}
}

// add takes in hosts without forgetting any.
func (m *Members) add(entries []logservice.HostEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = true
	for _, entry := range entries {
		if _, known := m.known[entry.Name]; !known {
			m.known[entry.Name] = Host{HostEntry: entry}
		}
	}
}

// merge takes over the list. A host that has told that it leaves does not come
// back under the same incarnation, whatever a lagging list shows.
func (m *Members) merge(list logservice.HostList) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = true
	present := make(map[string]bool, len(list.Hosts))
	for _, entry := range list.Hosts {
		present[entry.Name] = true
		if entry.Name == m.self.Name {
			continue
		}
		known := m.known[entry.Name]
		if known.Incarnation != entry.Incarnation {
			known = Host{}
		}
		if known.leaving {
			entry.State = logservice.HostLeaving
		}
		known.HostEntry = entry
		m.known[entry.Name] = known
	}
	for name, host := range m.known {
		if !present[name] && name != m.self.Name && m.now().Sub(host.Answered) > silentAfter {
			delete(m.known, name)
		}
	}
}

// askAll asks every known host for its status.
func (m *Members) askAll(ctx context.Context) {
	var calls sync.WaitGroup
	for _, host := range m.All() {
		if host.Name != m.self.Name {
			calls.Go(func() { m.ask(ctx, host) })
		}
	}
	calls.Wait()
	m.noteLive()
}

func (m *Members) ask(ctx context.Context, host Host) {
	var reply peer.StatusReply
	err := m.peers.CallTimeout(ctx, m.callTimeout, host.PeerAddr, "Peer.Status", peer.Empty{}, &reply)
	if err != nil || reply.Host != host.Name {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.known[host.Name]
	if !ok || known.Incarnation != reply.Incarnation {
		return
	}
	known.Answered = m.now()
	known.Applied = reply.Applied
	known.Rates = reply.Rates
	known.leaving = reply.Leaving
	if known.leaving {
		known.State = logservice.HostLeaving
	}
	m.known[host.Name] = known
}

// Settled reports whether the list has been read and every host in it has had
// the time to answer.
func (m *Members) Settled() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.listed && m.now().Sub(m.started) > silentAfter
}

// All returns every known host, this one included, ordered by name.
func (m *Members) All() []Host {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]Host, 0, len(m.known))
	for _, host := range m.known {
		all = append(all, host)
	}
	slices.SortFunc(all, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Live returns the hosts that answer and are not leaving, ordered by name.
func (m *Members) Live() []Host {
	now := m.now()
	return slices.DeleteFunc(m.All(), func(h Host) bool {
		if h.Name == m.self.Name {
			return false
		}
		return h.State == logservice.HostLeaving || now.Sub(h.Answered) > silentAfter
	})
}

// LiveNames returns the names of the live hosts as of the last status calls.
// The caller must not change the list.
func (m *Members) LiveNames() []string {
	return *m.liveNames.Load()
}

// noteLive renews what LiveNames returns.
func (m *Members) noteLive() {
	live := m.Live()
	names := make([]string, 0, len(live))
	for _, host := range live {
		names = append(names, host.Name)
	}
	m.liveNames.Store(&names)
}

// PeerAddr returns the peer address of the named host, "" where it is unknown.
func (m *Members) PeerAddr(name string) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.known[name].PeerAddr
}

// Rank orders the hosts for a subject by rendezvous hashing: each subject has its own
// order, and the loss of a host moves only what it was first for.
func Rank(subject string, hosts []Host) []Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(cmp.Compare(score(subject, b), score(subject, a)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

func score(subject string, host Host) uint64 {
	return xxhash.Sum64String(subject + "\x00" + host.Name)
}

// RankOf returns this position of the named host in the order for the subject,
// the number of hosts where it is not among them.
func RankOf(subject, name string, hosts []Host) int {
	ranked := Rank(subject, hosts)
	for i, host := range ranked {
		if host.Name == name {
			return i
		}
	}
	return len(ranked)
}
