package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/balance"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// keylessTarget is a backend server to which requests may be sent. connections is the
// largest number of connections to it from all hosts together.
type keylessTarget struct {
	balance.Target
	connections int
}

// targetSet balances the requests of one service among its backend servers. It is safe
// for concurrent use.
type targetSet struct {
	pool *transport.Pool

	mu           sync.Mutex
	policy       balance.Policy
	targets      []keylessTarget
	hosts        []string          // names of the live hosts
	incarnations map[string]string // by server address
}

// newTargetSet returns an empty set for a service with the given settings. It panics if
// the policy cannot be created.
func newTargetSet(host, zone string, values settings.Values, pool *transport.Pool) *targetSet {
	set := &targetSet{pool: pool, incarnations: make(map[string]string)}
	policy, err := balance.New(balance.Adaptive, balance.Options{
		MayWarm: func(addr string) bool {
			return balance.WarmingHost(addr, set.hosts) == host
		},
		Zone:           zone,
		Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		ColdStart:      values.ColdStartTime,
		ColdStartSlots: values.ColdStartSlots,
	})
	if err != nil {
		panic(err)
	}
	set.policy = policy
	return set
}

// update replaces the targets and sets this host's share of their connections: an equal
// share among the live hosts, at least 1.
func (s *targetSet) update(now time.Duration, targets []keylessTarget, hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.hosts, hosts) && slices.Equal(s.targets, targets) {
		return
	}
	s.targets = targets
	s.hosts = hosts
	list := make([]balance.Target, 0, len(targets))
	for _, target := range targets {
		list = append(list, target.Target)
		share := max(1, target.connections/max(1, len(hosts)))
		s.pool.Target(target.Addr).SetConnections(share)
	}
	s.policy.SetTargets(now, list)
}

// pick chooses a target that is not excluded and counts an attempt as started there. It
// returns false if the policy allows none.
func (s *targetSet) pick(now time.Duration, excluded []string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr, ok := s.policy.Pick(now, excluded...)
	if ok {
		s.policy.Started(addr, now)
	}
	return addr, ok
}

// hasOther reports whether there is a target that is not excluded.
func (s *targetSet) hasOther(excluded []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.targets, func(t keylessTarget) bool {
		return !slices.Contains(excluded, t.Addr)
	})
}

// finished ends an attempt that pick started.
func (s *targetSet) finished(addr string, now, latency time.Duration, result balance.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Finished(addr, now, latency, result)
}

// cancelled ends an attempt that pick started but that was not sent.
func (s *targetSet) cancelled(addr string, now time.Duration) {
	s.finished(addr, now, 0, balance.Cancelled)
}

// incarnation returns the incarnation of the server in its last answer, or "" if it is
// unknown.
func (s *targetSet) incarnation(addr string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnations[addr]
}

// setIncarnation records a new incarnation of the server, "" for none. If one was known
// before, the policy treats the server as restarted.
func (s *targetSet) setIncarnation(addr, incarnation string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.incarnations[addr] != ""
	s.incarnations[addr] = incarnation
	if known {
		s.policy.Restarted(addr, now)
	}
}
