// Package leader runs the control loop that changes the plan: it assigns free key ranges to
// backend servers, releases the ranges of servers that drain or fail, and moves ranges to
// balance the load. It also decides which hosts may renew grants.
//
// Every host has a Leader (package edge creates it), but only the elected one acts. The
// platform's group membership elects it. Two hosts may both believe that they are leader for a
// while; the conditional write of the plan lets only one of them succeed, and the other one
// gets ErrConflict. A leader has no state that must survive it: a new leader starts from the
// plan, repeats the releases that are pending, and learns loads and failures from the hosts'
// reports. After a restore of the log, the plan in the log may be older than the one that the hosts
// act by; see recovery.
//
// A failed write of the plan is logged as event "plan" and retried in the next step. A release
// that gets no answer is logged as event "release" and retried; if it keeps failing, the range
// becomes free after every grant on it must have expired.
package leader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/renew"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// ErrConflict reports that another record has been written since this host last read the plan's topic.
var ErrConflict = errors.New("leader: another write came before this write of the plan")

// Store stores the plan.
type Store interface {
	// Write stores the plan as version next and returns it with that version. The error is
	// ErrConflict if another record already has this version.
	Write(ctx context.Context, plan assign.Plan, next assign.Fence) (assign.Plan, error)
	// NextVersion returns the version that the next write gets, as far as this host has read the log.
	NextVersion() assign.Fence
}

// Elector elects the leader.
type Elector interface {
	// Join renews this host's membership in the group of candidates and reports whether it is
	// the elected leader.
	Join(ctx context.Context) (bool, error)
}

// Peers calls other hosts.
type Peers interface {
	// Adopt sends the plan to an incarnation of a host. It returns without an error once that sends no more renewals that are
	// based on an older plan, with the incarnation that has answered at its address. If that is another one, the called one has ended.
	// It is empty if the host's build does not send it.
	Adopt(ctx context.Context, host assign.Host, plan assign.Plan) (incarnation string, err error)
	// NewerPlan asks a host for its plan if that is newer than the version.
	NewerPlan(ctx context.Context, host assign.Host, known assign.Fence) (PeerPlan, error)
}

// PeerPlan is the answer of a host that was asked for its plan.
type PeerPlan struct {
	// Incarnation is the incarnation of the host that answered.
	Incarnation string
	// Newer is the host's plan, or nil if it is not newer than the known one.
	Newer *assign.Plan
}

// Config holds the dependencies of a Leader.
type Config struct {
	Self    assign.Host
	Current *assign.Current
	Store   Store
	Elector Elector
	Peers   Peers
	Granter grants.Granter
	Timing  grants.Timing
	Fleet   *fleet.Fleet
	// Table returns the routing table in force, or nil if none is known yet.
	Table func() *routetable.Table
	// Hosts returns the registered hosts.
	Hosts func() []assign.Host
	// OperatorOffset returns the offset up to which this host has read the operator records.
	OperatorOffset func() uint64
	// ZoneEvacuated reports whether the operators have evacuated the zone, so that its servers
	// get no keys.
	ZoneEvacuated func(zone string) bool
	// CutOff reports whether a host, given by name, is known to reach no server.
	CutOff func(host string) bool
	// ServersKnown reports whether the list of servers is complete enough to act on.
	ServersKnown func() bool
	// Clock returns a monotonic reading that includes the time in which the machine is suspended.
	Clock func() time.Duration
	Log   *eventlog.Log
}

const (
	// stepInterval is the longest time between two steps of the control loop.
	stepInterval = 200 * time.Millisecond
	// joinInterval is the time between two calls of Elector.Join, and the timeout of one.
	joinInterval = time.Second
	// rebalanceInterval is the least time between two rounds of moves that balance the load.
	rebalanceInterval = 600 * time.Millisecond
	// coalesceDelay is how long a wake-up is delayed, so that one step handles several changes.
	coalesceDelay = 20 * time.Millisecond
	// initialAssignmentDelay is how long a new leader waits for servers to register before it assigns
	// the keys of a service for the first time.
	initialAssignmentDelay = 1500 * time.Millisecond
	// regrantInterval is the least time between two rounds of regrants for hosts that can't renew their grants any more.
	regrantInterval = 500 * time.Millisecond
	// writeTimeout bounds one write of the plan.
	writeTimeout = 700 * time.Millisecond
)

// Leader takes part in the election and, while elected, changes the plan. It is safe for
// concurrent use.
type Leader struct {
	Config
	wake     chan struct{}
	isLeader atomic.Bool
	// confirmedAt is when the last call of Elector.Join began that confirmed this host as the leader.
	confirmedAt atomic.Int64
	// named is the leader that the plan names, and namedSince when this host first saw that, or zero for the first one
	// that it has read. Only the control loop uses them.
	named      assign.Host
	namedSince time.Duration

	// mu guards all fields below.
	mu sync.Mutex
	// proofs holds the proofs for releasing ranges, by service and first key.
	proofs map[string]map[keyrange.Key]assign.Proof
	// releases holds the releases in progress, each with the function that cancels it.
	releases map[releaseID]context.CancelFunc
	// reports holds the last report of each host.
	reports map[string]timedReport
	// loads holds the load of each service as last summed up from the reports.
	loads map[string]serviceLoad
	// rebalancedAt is when the assignments of a service last changed in a step that was allowed to
	// move ranges to balance the load.
	rebalancedAt time.Duration
	// admittedAt is when the last plan that lists new hosts was written, or zero.
	admittedAt time.Duration
	// regrantedAt is when a range was last regranted because a host could not renew its grant any more.
	regrantedAt time.Duration
	// lost holds the grants that a host can't renew any more.
	lost map[renew.Lost]bool
	// speeds holds the speeds of servers. It outlasts a term: a speed belongs to the incarnation of the server.
	speeds speeds
	// incarnations is what this leader knows of the incarnations of hosts.
	incarnations incarnations
	// leaderSince is when this host became leader.
	leaderSince time.Duration

	// acks holds what hosts have acknowledged, duties how long steps take, and incarnationCounters what has become of the hosts.
	// They have locks of their own.
	acks                acknowledgements
	duties              *duties
	incarnationCounters incarnationCounters

	// recovery is the recovery of the plan after a restore of the log, or nil if there is none. Only
	// the control loop uses it.
	recovery *recovery
}

// New returns a Leader that is not elected yet.
func New(config Config) *Leader {
	return &Leader{
		Config:       config,
		wake:         make(chan struct{}, 1),
		duties:       newDuties(),
		proofs:       make(map[string]map[keyrange.Key]assign.Proof),
		lost:         make(map[renew.Lost]bool),
		releases:     make(map[releaseID]context.CancelFunc),
		reports:      make(map[string]timedReport),
		loads:        make(map[string]serviceLoad),
		incarnations: newIncarnations(),
	}
}

// IsLeader reports whether this host is the elected leader.
func (l *Leader) IsLeader() bool {
	return l.isLeader.Load()
}

// Wake requests a step of the control loop soon. It does not block.
func (l *Leader) Wake() {
	if l.IsLeader() {
		l.duties.requested(l.Clock())
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// RunElection takes part in the election until the context ends.
func (l *Leader) RunElection(ctx context.Context) {
	for ctx.Err() == nil {
		l.joinElection(ctx)
		loop.Sleep(ctx, joinInterval)
	}
}

// joinElection calls Elector.Join once and records the result. If the call fails, the host keeps
// its present role; the conditional write of the plan protects against two leaders.
func (l *Leader) joinElection(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	began := l.Clock()
	leads, err := l.Elector.Join(ctx)
	if err != nil {
		l.Log.Routine("election", "outcome", "failed", "err", err.Error())
		return
	}
	if leads {
		l.confirmedAt.Store(int64(began))
	}
	if leads == l.isLeader.Load() {
		return
	}
	l.Log.Event("election", "leads", leads)
	if leads {
		l.resetState()
	}
	l.isLeader.Store(leads)
	l.Wake()
}

// resetState discards the state of an earlier term as leader.
func (l *Leader) resetState() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaderSince = l.Clock()
	l.incarnations = newIncarnations()
	clear(l.reports)
	clear(l.loads)
	l.acks.reset()
	clear(l.proofs)
	clear(l.lost)
}

// Run runs the control loop while this host is the elected leader, until the context ends.
func (l *Leader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.mayAct() {
			l.reconcile(ctx)
		} else {
			l.stopReleases()
		}
		select {
		case <-ctx.Done():
		case <-l.wake:
			time.Sleep(coalesceDelay)
		case <-time.After(stepInterval):
		}
	}
	l.stopReleases()
}

// mayAct reports whether this host may change the plan. A host that has been replaced may not learn it from the election,
// because its calls of Join fail; without this check, it and its successor would replace each other's plans. So a
// host takes the lead from the one that the plan names only if it has been elected since that one took it.
func (l *Leader) mayAct() bool {
	named := l.Current.Plan().Leader
	if !named.SameIncarnation(l.named) {
		if l.named.Name != "" {
			l.namedSince = l.Clock()
		}
		l.named = named
	}
	if !l.isLeader.Load() {
		return false
	}
	return named.SameIncarnation(l.Self) || l.namedSince <= time.Duration(l.confirmedAt.Load())
}

// reconcile runs the control loop once: it writes a new plan if one is due, and starts the releases
// that the plan asks for.
func (l *Leader) reconcile(ctx context.Context) {
	table := l.Table()
	if table == nil || !l.ServersKnown() {
		return
	}
	version := l.Store.NextVersion()
	if !l.recoverPlan(ctx, version) {
		return
	}
	plan := l.Current.Plan()
	began := l.Clock()
	requested := l.duties.begin(began)
	next, changed := l.nextPlan(plan, table, version)
	l.duties.computed(l.Clock() - began)
	if changed {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		written, err := l.Store.Write(ctx, next, version)
		if err != nil {
			l.Log.Event("plan", "version", uint64(version), "outcome", "not written", "err", err.Error())
			return
		}
		l.duties.written(l.Clock() - requested)
		l.logChanges(plan, written)
		l.Current.Adopt(written)
		plan = written
	}
	l.startReleases(plan)
}

// nextPlan computes the next plan from the present one and from what this host knows. It returns
// false if nothing changes.
func (l *Leader) nextPlan(plan assign.Plan, table *routetable.Table, version assign.Fence) (assign.Plan, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	newTerm := !plan.Leader.SameIncarnation(l.Self) || plan.Version.Era() < version.Era()
	next := plan.Clone()
	l.planHosts(&next, version, newTerm || l.mayAdmit(now), now)
	hostsChanged := !assign.SameHosts(next.Hosts, plan.Hosts) || next.Order != plan.Order
	next.Orders = max(plan.Orders, l.OperatorOffset())
	rule := regrantRule{all: newTerm, lost: now-l.regrantedAt >= regrantInterval}
	if hostsChanged {
		ranked := next.WithRankings(plan)
		rule.next = &ranked
	}
	servicesChanged := l.planServices(&next, plan, table, rule, version, now)
	return next, newTerm || hostsChanged || servicesChanged || next.Orders != plan.Orders
}

// planHosts sets the leader and the hosts of the next plan. The caller holds the lock.
func (l *Leader) planHosts(next *assign.Plan, version assign.Fence, admit bool, now time.Duration) {
	next.Leader = l.Self
	next.Leader.Led = true
	next.Leader.FillsConnections = true
	next.Hosts = l.nextHosts(next.Hosts, version, admit, now)
	l.fillConnections(next.Hosts)
	next.Order = assign.OrderFor(next.Hosts)
}

// planServices sets the assignments of the next plan, and reports whether any changes. The caller holds the lock.
func (l *Leader) planServices(next *assign.Plan, plan assign.Plan, table *routetable.Table, rule regrantRule, version assign.Fence, now time.Duration) (changed bool) {
	l.forgetLost(plan)
	rebalance := now-l.rebalancedAt >= rebalanceInterval
	for name, service := range table.Services {
		if !service.Keyed {
			continue
		}
		if len(plan.Services[name]) == 0 && now-l.leaderSince < initialAssignmentDelay {
			continue
		}
		snapshot := l.snapshot(name, table, now)
		snapshot.Regrant = l.rangesToRegrant(name, plan, rule)
		snapshot.Rebalance = rebalance
		assignments, updated := assign.Reconcile(plan.Services[name], snapshot, version)
		if !updated {
			continue
		}
		changed = true
		next.Services[name] = assignments
		if rebalance {
			l.rebalancedAt = now
		}
	}
	return changed
}

// logChanges logs each assignment that changed with the new plan, and a change of the hosts.
func (l *Leader) logChanges(before, after assign.Plan) {
	for service, assignments := range after.Services {
		for _, a := range assignments {
			if a.Fence != after.Version {
				continue
			}
			l.Log.Event("assign", "service", service, "keys", a.Range.String(), "phase", string(a.Phase),
				"server", a.Server.ID, "zone", a.Server.Zone, "fence", uint64(a.Fence), "next", a.Next, "handover", a.Handover != "")
		}
	}
	if !assign.SameHosts(before.Hosts, after.Hosts) || before.Order != after.Order {
		l.noteHostChanges(before, after)
		l.Log.Event("hosts", "plan", uint64(after.Version), "hosts", len(after.Hosts), "order", string(after.Order))
	}
}
