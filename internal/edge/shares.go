package edge

import (
	"context"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/front"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/sharedlimit"
)

const (
	// sharesInterval is the time between two checks whether a lease request for shares is due. One that is due at once does not
	// wait for it.
	sharesInterval = 250 * time.Millisecond
	// sharesMethod is the RPC method for asks. Builds up to b5ff72c lack it.
	sharesMethod = rpcName + ".Shares"
	// maxLoggedShares is the largest number of shares in one answer whose changes are logged one by one.
	maxLoggedShares = 3
)

// shareLeasing asks the leader for this host's shares of the limits that all hosts keep together, and answers such asks
// while this host is the leader.
type shareLeasing struct {
	self      assign.Host
	office    func() assign.Office
	changed   func() <-chan struct{}
	holder    *sharedlimit.Holder
	allocator *sharedlimit.Allocator
	// usage counts what this host admits without shares, and meter adds up at the leader what all hosts have admitted.
	usage *sharedlimit.Usage
	meter *sharedlimit.Meter
	// needed reports whether the deployment has limits of which hosts hold shares, and quotas whether accounts have
	// quotas.
	needed, quotas func() bool
	peers          *peers
	clock          func() time.Duration
	log            *eventlog.Log

	mu sync.Mutex
	// members are the hosts of the plan with the version membersOf.
	members   []sharedlimit.Member
	membersOf assign.Fence
	// equalOf is the incarnation of the leader that does not know the method.
	equalOf string
	// tight holds the limits that were tight at the last report, at the leader.
	tight map[string]bool
}

// newShareLeasing returns the share leasing of a host.
func newShareLeasing(self assign.Host, current *assign.Current, p *peers, needed func() bool, clock func() time.Duration, log *eventlog.Log) *shareLeasing {
	s := &shareLeasing{
		self: self, office: current.Office,
		changed: func() <-chan struct{} {
			_, changed := current.Watch()
			return changed
		},
		holder: sharedlimit.NewHolder(self.Name, self.Incarnation), needed: needed,
		allocator: sharedlimit.NewAllocator(self.Incarnation, sharedlimit.DefaultTiming),
		usage:     sharedlimit.NewUsage(), quotas: func() bool { return false },
		peers: p, clock: clock, log: log,
	}
	return s
}

// meterQuotas makes hosts admit requests of accounts without shares while their quotas, which quotaOf returns by name, are
// far from being reached.
func (s *shareLeasing) meterQuotas(quotas func() bool, quotaOf func(id string) (sharedlimit.Limit, bool)) {
	s.quotas = quotas
	s.meter = sharedlimit.NewMeter(quotaOf)
	s.allocator.SetMeter(s.meter)
}

// run is the loop that asks for shares. It also notices each change of the leader.
func (s *shareLeasing) run(ctx context.Context) {
	ticker := time.NewTicker(sharesInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := s.changed()
		office := s.observe()
		s.ask(ctx, office)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-changed:
		case <-s.holder.Wake():
			loop.Sleep(ctx, s.holder.UrgentIn(s.clock()))
		}
	}
}

// observe tells the allocator of the plan, and returns that.
func (s *shareLeasing) observe() assign.Office {
	s.mu.Lock()
	defer s.mu.Unlock()
	office := s.office()
	if office.Plan.Version != s.membersOf {
		s.membersOf = office.Plan.Version
		s.members = nil
		for _, host := range office.Plan.Hosts {
			s.members = append(s.members, sharedlimit.Member{Name: host.Name, Incarnation: host.Incarnation})
		}
	}
	view := sharedlimit.View{
		Leader: office.Plan.Leader.Incarnation, Term: uint64(office.Term.Since), First: office.Term.First,
		Verified: office.VerifiedAt, Hosts: s.members,
	}
	if s.allocator.Observe(view, s.clock()) && s.needed() {
		s.log.Event("shares", "allocator", office.Plan.Leader.Name, "plan", uint64(office.Plan.Version), "first", office.Term.First)
	}
	return office
}

// leaderOf returns the leader of a plan as the holder knows it.
func leaderOf(plan assign.Plan) sharedlimit.Leader {
	return sharedlimit.Leader{Incarnation: plan.Leader.Incarnation, Plan: uint64(plan.Version)}
}

// ask asks the leader for shares if a lease request is due.
func (s *shareLeasing) ask(ctx context.Context, office assign.Office) {
	leader := office.Plan.Leader
	ask, due := s.holder.Ask(leaderOf(office.Plan), s.needed(), s.clock())
	if !due {
		return
	}
	answer, err := s.call(ctx, leader, ask)
	now := s.clock()
	newest := s.office().Plan
	switch {
	case err == nil:
		s.logChanges(leader, answer, s.holder.Answered(ask.Sequence, ask.Leader, answer, leaderOf(newest), now))
	case lacksMethod(err, sharesMethod):
		s.holder.Equal(ask.Sequence, ask.Leader, newest.HostCount(), sharedlimit.DefaultTiming.Lease, leaderOf(newest), now)
		if s.equalOf != leader.Incarnation {
			s.equalOf = leader.Incarnation
			s.log.Event("shares", "leader", leader.Name, "outcome", "equal shares", "hosts", newest.HostCount(), "err", err.Error())
		}
	default:
		s.holder.Failed(ask.Sequence)
		s.log.Routine("shares", "leader", leader.Name, "outcome", "failed", "err", err.Error())
	}
}

// call sends a lease request to the leader, or answers it directly if this host is the leader.
func (s *shareLeasing) call(ctx context.Context, leader assign.Host, ask sharedlimit.Ask) (sharedlimit.Answer, error) {
	if leader.SameIncarnation(s.self) {
		return s.answer(ask)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return s.peers.shares(ctx, leader, ask)
}

// answer answers a lease request by the newest plan.
func (s *shareLeasing) answer(ask sharedlimit.Ask) (sharedlimit.Answer, error) {
	s.observe()
	return s.allocator.Answer(ask, s.clock())
}

// logChanges logs the shares that have begun or ended.
func (s *shareLeasing) logChanges(leader assign.Host, answer sharedlimit.Answer, changed []string) {
	if len(changed) > maxLoggedShares {
		s.log.Routine("shares", "leader", leader.Name, "outcome", "changed", "limits", len(changed), "settled", answer.Settled)
		return
	}
	for _, id := range changed {
		s.log.Routine("shares", "leader", leader.Name, "outcome", "changed", "limit", id, "fraction", answer.Grants[id].Fraction,
			"settled", answer.Settled)
	}
}

// snapshot returns the counters for the metrics endpoint.
func (s *shareLeasing) snapshot() any {
	now := s.clock()
	return map[string]any{"holder": s.holder.Counters(now), "allocator": s.allocator.Counters(now)}
}

// lacksMethod reports whether a call failed because the other host's build does not have the method.
func lacksMethod(err error, method string) bool {
	var remote rpc.ServerError
	return errors.As(err, &remote) && strings.HasPrefix(string(remote), "rpc: can't find method "+method)
}

// Shares answers another host's ask for shares.
func (s *rpcService) Shares(ask sharedlimit.Ask, reply *sharedlimit.Answer) error {
	if s.shares == nil {
		return sharedlimit.ErrNotAllocator
	}
	answer, err := s.shares.answer(ask)
	*reply = answer
	return err
}

// shares sends a lease request for shares to the leader.
func (p *peers) shares(ctx context.Context, host assign.Host, ask sharedlimit.Ask) (sharedlimit.Answer, error) {
	var answer sharedlimit.Answer
	err := p.pool.Call(ctx, host.Addr, sharesMethod, ask, &answer)
	return answer, err
}

// needsShares reports whether the configuration has a limit of which hosts hold shares: the quota of an account, or the
// allowance of a cold server of which an equal share is less than one request a second.
func (h *Host) needsShares() bool {
	table := h.operatorRecords.Table()
	if table == nil {
		return false
	}
	return anyQuota(table) || h.anyColdShares(table)
}

func anyQuota(table *routetable.Table) bool {
	for _, account := range table.Accounts {
		if _, limited := front.QuotaLimit(account); limited {
			return true
		}
	}
	return false
}

func (h *Host) anyColdShares(table *routetable.Table) bool {
	for _, service := range table.Services {
		if service.ColdFor > 0 && front.NeedsColdShares(h.coldRateLimit(service), h.hostCount()) {
			return true
		}
	}
	return false
}
