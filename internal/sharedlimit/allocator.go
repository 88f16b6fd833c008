package sharedlimit

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotAllocator is the error of a lease request that this host may not answer, since it is not known to be the leader of the
// newest plan, or since the lease request is outdated.
var ErrNotAllocator = errors.New("sharedlimit: this host does not allocate shares to the asking host now")

// Member is one incarnation of a host in the plan.
type Member struct {
	Name, Incarnation string
}

// View is what a host knows of the plan.
type View struct {
	// Leader is the incarnation of the plan's leader.
	Leader string
	// Term is the version of the first plan of this leader's term. First says that there was no plan before.
	Term  uint64
	First bool
	// Verified is the reading of the host's clock at which the plan was last known to be the newest.
	Verified time.Duration
	// Hosts lists all hosts of the plan, also retired ones.
	Hosts []Member
}

// Allocator allocates the shares while its host is the leader. It keeps its state in memory only; a new leader learns the
// shares from the holders' lease requests.
type Allocator struct {
	self   string
	timing Timing
	// reserved and settling are those of the timing.
	reserved, settling time.Duration

	mu   sync.Mutex
	view View
	// seenAt holds when each host name was last seen in a plan, and leaderSince when the current leader was first seen.
	seenAt      map[string]time.Duration
	leaderSince time.Duration
	// settledAt is the latest end of the settling of the current term, unreported holds the hosts that have to report
	// for an earlier end, and mayUseReserve says that the part above SettledTotal is known to be free.
	settledAt     time.Duration
	unreported    map[string]bool
	mayUseReserve bool
	members       map[string]*member
	pools         map[string]*pool
	counters      AllocatorCounters
	// meter knows what hosts have admitted without shares, or is nil.
	meter *Meter
}

// member is a host that has asked in this term.
type member struct {
	incarnation string
	sequence    uint64
}

// AllocatorCounters counts what an Allocator has done. Limits is the number of limits with shares.
type AllocatorCounters struct {
	Answered, Refused, Raised, Lowered int64
	Limits                             int
	Settled                            bool
}

// NewAllocator returns the allocator of the host with the given incarnation.
func NewAllocator(self string, timing Timing) *Allocator {
	return &Allocator{
		self: self, timing: timing, reserved: timing.reserved(), settling: timing.settling(), seenAt: make(map[string]time.Duration),
	}
}

// unusedFor is how long after the settling a limit without shares counts as unused. It is longer than the window of a
// quota (5 s).
const unusedFor = 6 * time.Second

// SetMeter sets the meter of limits that hosts use without shares while these are far from being reached.
// Such a limit allocates no shares while hosts have admitted more than its bucket held. It is called before the first lease request.
func (a *Allocator) SetMeter(meter *Meter) {
	a.meter = meter
}

// Observe updates the allocator with what its host knows of the plan. It is called before each Answer and at intervals, so
// that no change of leader is missed. It reports whether the host became or ceased to be the leader.
func (a *Allocator) Observe(view View, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, host := range view.Hosts {
		a.seenAt[host.Name] = now
	}
	for name, at := range a.seenAt {
		if now-at > a.reserved {
			delete(a.seenAt, name)
		}
	}
	changed := view.Leader != a.view.Leader || view.Term != a.view.Term
	previous := a.view
	a.view = view
	if !changed {
		return false
	}
	knownFor := now - a.leaderSince
	a.leaderSince = now
	if view.Leader == a.self {
		a.begin(previous, knownFor, now)
	}
	return view.Leader == a.self || previous.Leader == a.self
}

// begin starts a term of this host as leader. The previous leader was known for the given time.
func (a *Allocator) begin(previous View, knownFor, now time.Duration) {
	a.members = make(map[string]*member)
	a.pools = make(map[string]*pool)
	a.unreported = make(map[string]bool)
	a.settledAt = now + a.settling
	a.mayUseReserve = previous.Leader != "" && knownFor >= a.timing.handover()
	if a.view.First {
		a.settledAt = now
		return
	}
	for name := range a.seenAt {
		a.unreported[name] = true
	}
}

// settled reports whether all shares that former leaders allocated are known or have ended. The caller holds the lock.
func (a *Allocator) settled(now time.Duration) bool {
	return len(a.unreported) == 0 || now >= a.settledAt
}

// Answer answers a lease request that arrives now. The error is ErrNotAllocator.
func (a *Allocator) Answer(ask Ask, now time.Duration) (Answer, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.accept(ask, now) {
		a.counters.Refused++
		return Answer{}, ErrNotAllocator
	}
	a.counters.Answered++
	a.recordReport(ask, now)
	settled := a.settled(now)
	answer := Answer{Lease: a.timing.Lease, Settled: settled, Grants: make(map[string]Grant, len(ask.Needs))}
	for id, p := range a.pools {
		p.expire(now)
		if _, asked := ask.Needs[id]; !asked {
			// A lease request lists all shares that the host holds.
			p.remove(ask.Host)
		}
		if settled && p.full(now) {
			delete(a.pools, id)
		}
	}
	for id, need := range ask.Needs {
		need = need.clean()
		total := a.total(id, settled, now)
		if a.meter != nil && a.meter.Overdrawn(id, now) {
			total = 0
		}
		grant := a.pool(id, now).grant(ask.Host, need, total, now, a.reserved)
		// While not settled, the next report may free more.
		grant.Exhausted = grant.Exhausted && settled
		if grant.Fraction > need.Held {
			a.counters.Raised++
		} else if grant.Fraction < need.Held {
			a.counters.Lowered++
		}
		answer.Grants[id] = grant
	}
	return answer, nil
}

// accept reports whether the lease request may be answered, and records its sender. The caller holds the lock.
func (a *Allocator) accept(ask Ask, now time.Duration) bool {
	if a.view.Leader != a.self || ask.Leader != a.self || ask.Plan < a.view.Term || now-a.view.Verified > a.timing.MaxPlanAge {
		return false
	}
	if !a.listed(ask) {
		return false
	}
	m := a.members[ask.Host]
	if m != nil && m.incarnation != ask.Incarnation {
		// Two incarnations of a host never run at the same time, and only one that runs asks: the former one's shares have ended.
		a.free(ask.Host)
		m = nil
	}
	if m == nil {
		m = &member{incarnation: ask.Incarnation}
		a.members[ask.Host] = m
	}
	if ask.Sequence <= m.sequence {
		return false
	}
	m.sequence = ask.Sequence
	return true
}

// listed reports whether the plan lists the sender, which may be one of several incarnations of its host. A new leader waits for the
// reports of the hosts in the plan only.
func (a *Allocator) listed(ask Ask) bool {
	return slices.Contains(a.view.Hosts, Member{Name: ask.Host, Incarnation: ask.Incarnation})
}

// recordReport adds what a host holds from a former leader, at its first lease request in this term. The caller holds the lock.
func (a *Allocator) recordReport(ask Ask, now time.Duration) {
	if !a.unreported[ask.Host] {
		return
	}
	delete(a.unreported, ask.Host)
	for id, need := range ask.Needs {
		a.pool(id, now).reported += need.clean().Held
	}
}

// free removes all shares of a host. The caller holds the lock.
func (a *Allocator) free(host string) {
	for _, p := range a.pools {
		p.remove(host)
	}
}

// pool returns the pool of a limit, which it creates if necessary. A new one is full if no host can have used the limit
// recently. The caller holds the lock.
func (a *Allocator) pool(id string, now time.Duration) *pool {
	p := a.pools[id]
	if p == nil {
		p = &pool{refilledAt: now}
		// What is left of the bucket of a metered limit is not known here, so its shares begin without tokens.
		if !a.metered(id) && (a.view.First || now >= a.settledAt+unusedFor) {
			p.tokens = SettledTotal
		}
		a.pools[id] = p
	}
	return p
}

// metered reports whether hosts use the limit without shares while it is far from being reached.
func (a *Allocator) metered(id string) bool {
	if a.meter == nil {
		return false
	}
	_, ok := a.meter.limitOf(id)
	return ok
}

// total returns the part of a limit that may be allocated now. While not settled it is what hosts have reported, as all
// else may be in use, and the part that the former leader did not allocate. The caller holds the lock.
func (a *Allocator) total(id string, settled bool, now time.Duration) float64 {
	if settled {
		return SettledTotal
	}
	total := a.pool(id, now).reported
	if a.mayUseReserve {
		total += 1 - SettledTotal
	}
	return min(total, 1)
}

// Counters returns the counters for the metrics endpoint.
func (a *Allocator) Counters(now time.Duration) AllocatorCounters {
	a.mu.Lock()
	defer a.mu.Unlock()
	counters := a.counters
	if a.view.Leader == a.self {
		counters.Limits = len(a.pools)
		counters.Settled = a.settled(now)
	}
	return counters
}
