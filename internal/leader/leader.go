// Package leader changes the plan: it gives free keys to backend servers, takes
// keys from servers that leave or are lost, and moves keys to spread load.
//
// Any host can lead. The platform's group membership says which one should, and
// the condition on each write of the plan makes sure that two never both succeed. The
// leader keeps nothing that would be missed: a new one begins with the plan.
package leader

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/renew"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// ErrConflict reports that somebody else has written the plan since.
var ErrConflict = errors.New("leader: the plan has changed")

// Store keeps the plan.
type Store interface {
	// Write replaces the plan that follows the given version. It returns the plan with its new
	// version. The error is ErrConflict where another write came first.
	Write(ctx context.Context, plan assign.Plan, next assign.Fence) (assign.Plan, error)
	// NextVersion is the version that the next write gets, as far as this host has read.
	NextVersion() assign.Fence
}

// Elector says which host should lead.
type Elector interface {
	// Join keeps this host among those that may lead and reports whether it should.
	Join(ctx context.Context) (bool, error)
}

// Peers calls other hosts.
type Peers interface {
	// Adopt gives a host the plan and returns when it renews by no older one any longer.
	Adopt(ctx context.Context, host assign.Host, plan assign.Plan) error
}

// Config is what a leader needs of its host.
type Config struct {
	Self    assign.Host
	Current *assign.Current
	Store   Store
	Elector Elector
	Peers   Peers
	Granter grants.Granter
	Timing  grants.Timing
	Fleet   *fleet.Fleet
	// Table returns the configuration in force, or nil.
	Table func() *routetable.Table
	// Hosts returns the hosts that have registered.
	Hosts func() []assign.Host
	// Orders returns how far this host has read the operators' records.
	Orders func() uint64
	// Closed reports whether a zone's servers get nothing.
	Closed func(zone string) bool
	// Settled reports whether the list of servers can be relied on.
	Settled func() bool
	Clock   func() time.Duration
	Log     *eventlog.Log
}

const (
	// stepEvery is the longest time between two looks at the world.
	stepEvery = 200 * time.Millisecond
	// joinEvery is the time between two calls that keep this host among those that may lead.
	joinEvery = time.Second
	// rebalanceEvery is the time between two moves that spread load.
	rebalanceEvery = 600 * time.Millisecond
	// coalesce is the time for which the leader waits for more news before it looks at the world.
	coalesce = 20 * time.Millisecond
	// firstGrantAfter is how long a new leader waits for servers to appear before it gives keys out for the first time.
	firstGrantAfter = 1500 * time.Millisecond
	// regrantEvery is the time between two new fences for servers that do not answer.
	regrantEvery = time.Second
	// writeTimeout bounds one write of the plan.
	writeTimeout = 700 * time.Millisecond
)

// Leader is the duty of one host. It is safe for concurrent use.
type Leader struct {
	Config
	wake  chan struct{}
	leads atomic.Bool

	mu sync.Mutex
	// proofs holds what is known to be released, by service and first key.
	proofs map[string]map[keyrange.Key]assign.Proof
	jobs   map[jobID]context.CancelFunc
	// reports holds the last report on loads of each host.
	reports map[string]timedReport
	// moved is when load was last spread.
	moved time.Duration
	// regranted is when a range got a new fence because its server did not answer.
	regranted time.Duration
	// lost holds the grants that some host renews no longer because their servers do not answer.
	lost map[renew.Lost]bool
	// heard is when each host last reported; retired is when this leader first saw it retired.
	heard, retired map[string]time.Duration
	since          time.Duration
}

// New returns a leader that does not lead yet.
func New(config Config) *Leader {
	return &Leader{
		Config:  config,
		wake:    make(chan struct{}, 1),
		proofs:  make(map[string]map[keyrange.Key]assign.Proof),
		lost:    make(map[renew.Lost]bool),
		jobs:    make(map[jobID]context.CancelFunc),
		reports: make(map[string]timedReport),
		heard:   make(map[string]time.Duration),
		retired: make(map[string]time.Duration),
	}
}

// Leads reports whether this host leads.
func (l *Leader) Leads() bool {
	return l.leads.Load()
}

// Wake asks for a look at the world soon.
func (l *Leader) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// RunElection keeps this host among those that may lead until the context ends.
func (l *Leader) RunElection(ctx context.Context) {
	for ctx.Err() == nil {
		l.join(ctx)
		duty.Wait(ctx, joinEvery)
	}
}

func (l *Leader) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinEvery)
	defer cancel()
	leads, err := l.Elector.Join(ctx)
	if err != nil {
		l.Log.Routine("election", "outcome", "failed", "err", err.Error())
		return
	}
	if leads == l.leads.Load() {
		return
	}
	l.Log.Event("election", "leads", leads)
	if leads {
		l.begin()
	}
	l.leads.Store(leads)
	l.Wake()
}

// begin forgets what an earlier time as leader left.
func (l *Leader) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since = l.Clock()
	clear(l.heard)
	clear(l.retired)
	clear(l.reports)
	clear(l.proofs)
	clear(l.lost)
}

// Run leads whenever this host should, until the context ends.
func (l *Leader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.leads.Load() {
			l.step(ctx)
		} else {
			l.stopJobs()
		}
		select {
		case <-ctx.Done():
		case <-l.wake:
			time.Sleep(coalesce)
		case <-time.After(stepEvery):
		}
	}
	l.stopJobs()
}

// step looks at the world once and writes a new plan where one is due.
func (l *Leader) step(ctx context.Context) {
	table := l.Table()
	if table == nil || !l.Settled() {
		return
	}
	plan := l.Current.Plan()
	version := l.Store.NextVersion()
	next, changed := l.next(plan, table, version)
	if changed {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		written, err := l.Store.Write(ctx, next, version)
		if err != nil {
			l.Log.Event("plan", "version", uint64(version), "outcome", "not written", "err", err.Error())
			return
		}
		l.logChanges(plan, written)
		l.Current.Adopt(written, l.Clock())
		plan = written
	}
	l.startJobs(plan)
}

// next returns the plan that follows from what is known.
func (l *Leader) next(plan assign.Plan, table *routetable.Table, version assign.Fence) (assign.Plan, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	next := plan.Clone()
	changed := !plan.Leader.Same(l.Self)
	next.Leader = l.Self
	next.Leader.Led = true
	next.Hosts = l.hosts(plan.Hosts, version, now)
	regrantAll := changed
	if orders := l.Orders(); orders > plan.Orders {
		next.Orders = orders
		changed = true
	}
	changed = changed || !slices.Equal(next.Hosts, plan.Hosts)
	rebalance := now-l.moved >= rebalanceEvery
	for name, service := range table.Services {
		if !service.Keyed {
			continue
		}
		if len(plan.Services[name]) == 0 && now-l.since < firstGrantAfter {
			continue
		}
		world := l.world(name, now)
		world.Regrant = l.regrants(name, plan, next, regrantAll, now)
		world.Rebalance = rebalance
		assignments, moved := assign.Step(plan.Services[name], world, version)
		if !moved {
			continue
		}
		changed = true
		next.Services[name] = assignments
		if rebalance {
			l.moved = now
		}
	}
	return next, changed
}

// regrants returns the first keys of the ranges that need a new fence: all where the
// leader is new, those of zones with hosts that are new, and those with whose server this
// host has lost contact.
func (l *Leader) regrants(service string, plan, next assign.Plan, all bool, now time.Duration) map[keyrange.Key]bool {
	renewed := make(map[string]bool)
	for _, host := range next.Hosts {
		if host.Since > plan.Version {
			renewed[host.Zone] = true
		}
	}
	retry := now-l.regranted >= regrantEvery
	if retry {
		// What is still lost is reported again.
		defer clear(l.lost)
	}
	keys := make(map[keyrange.Key]bool)
	for _, a := range plan.Services[service] {
		lost := retry && a.Phase == assign.Held && l.lost[renew.Lost{Service: service, First: a.First, Fence: a.Fence}]
		if lost {
			l.regranted = now
		}
		if all || lost || renewed[a.Server.Zone] {
			keys[a.First] = true
		}
	}
	return keys
}

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
	if !slices.Equal(before.Hosts, after.Hosts) {
		l.Log.Event("hosts", "plan", uint64(after.Version), "hosts", len(after.Hosts))
	}
}
