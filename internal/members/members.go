// Package members keeps a host's list of the other hosts and decides which of them
// are live. Package host runs it and uses it to choose the hosts to call, the hosts that
// may become lessors, and the order in which hosts attempt a change (Rank).
//
// Two sources are combined: the platform's host list, which lags, and heartbeats, a
// status call to every known host. Neither decides alone: a host that is missing from
// the list is kept while it answers, and a listed host that does not answer is not
// live. While the list does not answer, the known hosts are kept, and a host
// that knows no other one queries its seeds.
package members

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/peer"
)

const (
	// refreshInterval is the time between two reads of the platform's list, each
	// followed by a status call to every host.
	refreshInterval = 500 * time.Millisecond
	// callTimeout bounds a read of the list and a status call.
	callTimeout = 400 * time.Millisecond
	// unresponsiveAfter is how long a host counts as live after its last answer to a status call.
	unresponsiveAfter = 2 * time.Second
)

// Host is one host of the system as seen from this one.
type Host struct {
	logservice.HostEntry
	// Applied is the log offset that the host reported last.
	Applied logservice.Offset
	// Rates are the loads that the host reported last, for the slices of the sessions whose primary it is.
	Rates []peer.SliceRate
	// Answered is when the host last answered a status call; zero if it never did.
	Answered time.Time
	// leaving is set once the host itself has reported that it leaves.
	leaving bool
}

// Members is this host's list of hosts, itself included. It is safe for concurrent use.
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
	listRead  bool // the platform's list or a seed has answered
	withdrawn bool
}

// New returns a list that contains only this host. Seeds are the peer addresses of
// hosts that are queried for others while the platform's list does not answer.
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
	m.updateLiveNames()
	return m
}

// Run announces this host and keeps the list up to date until the context ends.
func (m *Members) Run(ctx context.Context) {
	loop.Every(ctx, refreshInterval, m.refresh)
}

// refresh reads the platform's list, calls every host for its status, and announces
// this host if the list lacks it.
func (m *Members) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout)
	defer cancel()
	list, err := m.hosts.List(ctx)
	if err != nil {
		m.querySeeds()
		// The failed read may have used up the timeout of ctx; each status call has its own.
		m.queryStatuses(context.WithoutCancel(ctx))
		return
	}
	m.merge(list)
	m.queryStatuses(ctx)
	if m.mustAnnounce(list) {
		m.hosts.Announce(ctx, m.ownEntry())
	}
}

// mustAnnounce reports whether the list lacks this host's present entry.
func (m *Members) mustAnnounce(list logservice.HostList) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return !m.withdrawn && !slices.Contains(list.Hosts, m.self)
}

// Leave announces that this host leaves. Later announcements repeat it.
func (m *Members) Leave(ctx context.Context) {
	m.mu.Lock()
	m.self.State = logservice.HostLeaving
	self := m.self
	m.mu.Unlock()
	m.hosts.Announce(ctx, self)
}

// Withdraw removes this host from the platform's list and ends its announcements.
func (m *Members) Withdraw(ctx context.Context) {
	m.mu.Lock()
	m.withdrawn = true
	m.mu.Unlock()
	m.hosts.Withdraw(ctx, m.self.Name)
}

// ownEntry returns this host's entry as the list should show it.
func (m *Members) ownEntry() logservice.HostEntry {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.self
}

// querySeeds gets hosts from the seeds' lists. It does nothing once this host knows
// another one, because a known host is kept while the platform's list does not answer.
func (m *Members) querySeeds() {
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

// add adds the hosts that are not known yet and removes none.
func (m *Members) add(entries []logservice.HostEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listRead = true
	for _, entry := range entries {
		if _, known := m.known[entry.Name]; !known {
			m.known[entry.Name] = Host{HostEntry: entry}
		}
	}
}

// merge updates the known hosts from the platform's list. It removes a host that is
// missing there only once it is unresponsive too: the list alone does not prove that a
// host is gone. A host that has reported that it leaves stays leaving for the rest of
// its incarnation, also while the list lags.
func (m *Members) merge(list logservice.HostList) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listRead = true
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
		if !present[name] && name != m.self.Name && m.now().Sub(host.Answered) > unresponsiveAfter {
			delete(m.known, name)
		}
	}
}

// queryStatuses calls every known host for its status, all at once.
func (m *Members) queryStatuses(ctx context.Context) {
	var calls sync.WaitGroup
	for _, host := range m.All() {
		if host.Name != m.self.Name {
			calls.Go(func() { m.queryStatus(ctx, host) })
		}
	}
	calls.Wait()
	m.updateLiveNames()
}

// queryStatus calls one host for its status. An answer of another host or incarnation
// at the same address does not count.
func (m *Members) queryStatus(ctx context.Context, host Host) {
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

// Settled reports whether hosts were read from the list or a seed and every one has
// had the time to answer. Before that, Live may lack hosts that are live.
func (m *Members) Settled() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.listRead && m.now().Sub(m.started) > unresponsiveAfter
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
		return h.State == logservice.HostLeaving || now.Sub(h.Answered) > unresponsiveAfter
	})
}

// LiveNames returns the names of the live hosts as of the last status calls.
// The caller must not change the list.
func (m *Members) LiveNames() []string {
	return *m.liveNames.Load()
}

// updateLiveNames updates the names that LiveNames returns.
func (m *Members) updateLiveNames() {
	live := m.Live()
	names := make([]string, 0, len(live))
	for _, host := range live {
		names = append(names, host.Name)
	}
	m.liveNames.Store(&names)
}

// PeerAddr returns the peer address of the named host, "" if it is unknown.
func (m *Members) PeerAddr(name string) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.known[name].PeerAddr
}

// Rank orders the hosts for a subject by rendezvous hashing: each subject has its own
// order, and the removal of a host leaves the order of the others as it was.
func Rank(subject string, hosts []Host) []Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(cmp.Compare(score(subject, b), score(subject, a)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// score returns the rendezvous hash of a subject and a host.
func score(subject string, host Host) uint64 {
	return xxhash.Sum64String(subject + "\x00" + host.Name)
}

// RankOf returns the position of the named host in the order for the subject, from 0,
// or the number of hosts if it is not among them.
func RankOf(subject, name string, hosts []Host) int {
	ranked := Rank(subject, hosts)
	for i, host := range ranked {
		if host.Name == name {
			return i
		}
	}
	return len(ranked)
}
