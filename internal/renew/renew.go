// Package renew sends grants to backend servers and renews them before they expire.
//
// Every host runs one Renewer (package edge starts it). The plan selects a few hosts of a
// server's zone as renewers; the leader renews in zones that have no such host. A host renews a
// grant only while its plan lists the host and the grant, and only while it has verified
// recently that this plan is the newest. The leader relies on these rules when it waits for a
// grant to expire.
//
// A grant is meant for one incarnation of its server, the one that runs when the plan that issues the grant is written: a
// later one knows nothing of newer grants and releases, and would take it. So a host sends a grant only over a connection
// that leads to that incarnation or to none: one that is older than the plan, which tells how many connections the host had
// opened before it was written, or one that package continuity links to such a connection. If the present connection is newer,
// the host sends nothing and returns the grant from Lost; the leader then issues a new one. How long a server takes to
// restart, and under which ID, does not matter.
//
// If a server refuses a grant because it has seen a higher fencing token, the host does not send that grant again.
package renew

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/loop"
)

const (
	// retryInterval is the time between two attempts to send a grant that has not been answered, or to open a connection.
	retryInterval = 150 * time.Millisecond
	// linkDelay is how long a new connection may still be linked to an earlier one by answers to callers' requests before its
	// grants count as lost, and linkInterval how often that is checked.
	linkDelay    = 100 * time.Millisecond
	linkInterval = 25 * time.Millisecond
	// staleCallPollInterval is the polling interval of AwaitStaleCalls.
	staleCallPollInterval = 10 * time.Millisecond
	// maxCallsInFlight bounds the number of grant calls in flight.
	maxCallsInFlight = 32
)

// Lost identifies a grant that a host can't renew any more, since its connection to the server is newer than the plan that issued
// the grant.
type Lost struct {
	Service string
	First   keyrange.Key
	Fence   assign.Fence
}

// Config holds the dependencies of a Renewer.
type Config struct {
	Self    assign.Host
	Current *assign.Current
	Granter grants.Granter
	Timing  grants.Timing
	// Connections numbers the host's connections to servers.
	Connections *continuity.Connections
	// Candidates returns the servers that may be granted keys. The host keeps connections to those that it would renew for, so
	// that they are older than the plan that grants them keys.
	Candidates func() []assign.Server
	// Clock is the host's monotonic clock.
	Clock func() time.Duration
	Log   *eventlog.Log
}

// Renewer sends and renews the grants that the plan assigns to one host. It is safe for concurrent use.
type Renewer struct {
	Config
	// callSlots is a semaphore that limits the grant calls in flight.
	callSlots chan struct{}
	// wake holds a value if a call, a connection or an attempt to open one has ended since the last round, or the candidates have
	// changed.
	wake chan struct{}
	// news holds a value if a connection has been opened or a grant has been lost since it was last received.
	news chan struct{}

	mu sync.Mutex
	// tracked has an entry for each grant in the plan, also for those that other hosts renew, and
	// for each grant with a call in flight.
	tracked map[grantID]*grantState
	// planned is closed when the plan that mine was made from is replaced, and mine lists the grants that
	// this host renews by that plan.
	planned <-chan struct{}
	mine    []ownGrant
	// older holds what is known of the connections that are older than the plans that issued the tracked grants.
	older olderConnections
	// links holds the link to each server whose grants this host renews, or would renew, by address.
	links map[string]*link
	// linkedAt is when the links were last chosen, or zero if they have to be chosen anew.
	linkedAt time.Duration
	counts   Counts
}

// ownGrant is a grant that this host renews.
type ownGrant struct {
	id         grantID
	state      *grantState
	assignment assign.Assignment
}

// grantID identifies one grant.
type grantID struct {
	service string
	keys    keyrange.Range
	fence   assign.Fence
}

// grantState is what this host knows about one grant. Times are readings of the host's clock.
type grantState struct {
	// calling is set while a call is in flight.
	calling bool
	// sent and answered are the times of the last call and of the last successful answer, or zero.
	sent, answered time.Duration
	// confirmed is set if the last call succeeded. fenced is set if the server has seen a higher fencing token.
	confirmed, fenced bool
	// lost is set while the grant can't be renewed, since the connection to the server is newer than the plan that issued the grant.
	lost bool
	// carrier is the number of the connection that carried the last successful call.
	carrier continuity.Number
}

// New returns a Renewer.
func New(config Config) *Renewer {
	return &Renewer{
		Config:    config,
		callSlots: make(chan struct{}, maxCallsInFlight),
		wake:      make(chan struct{}, 1),
		news:      make(chan struct{}, 1),
		links:     make(map[string]*link),
		tracked:   make(map[grantID]*grantState),
	}
}

// Run sends and renews grants until the context ends.
func (r *Renewer) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer r.closeLinks()
	for {
		plan, changed := r.Current.Watch()
		next := r.renewAll(ctx, plan, changed)
		timer.Reset(next)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-r.wake:
		case <-timer.C:
		}
	}
}

// Wake makes the Renewer look for new candidates soon.
func (r *Renewer) Wake() {
	r.mu.Lock()
	r.linkedAt = 0
	r.mu.Unlock()
	r.wakeUp()
}

// News returns a channel that holds a value if a connection has been opened, or a grant has been lost, since it was last received.
// The leader has to be told soon.
func (r *Renewer) News() <-chan struct{} { return r.news }

// Lost returns the grants that this host can't renew any more.
func (r *Renewer) Lost() []Lost {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []Lost
	for _, own := range r.mine {
		if own.state.lost {
			lost = append(lost, Lost{Service: own.id.service, First: own.id.keys.First, Fence: own.id.fence})
		}
	}
	return lost
}

// renewAll starts the calls that are due and returns the time until the next one. changed is closed when the
// plan is replaced.
func (r *Renewer) renewAll(ctx context.Context, plan assign.Plan, changed <-chan struct{}) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock()
	r.trackOnce(plan, changed)
	if r.linkedAt == 0 || now-r.linkedAt >= r.Timing.RenewInterval {
		r.chooseLinks(plan, now)
	}
	next := min(r.Timing.RenewInterval, r.openLinks(ctx, now))
	for _, own := range r.mine {
		wait := r.untilDue(own, now)
		if wait > 0 {
			next = min(next, wait)
			continue
		}
		r.startCall(ctx, plan.Version, own)
	}
	return max(next, time.Millisecond)
}

// Track finds the grants that this host renews by the present plan, which Run does for each plan.
func (r *Renewer) Track() {
	plan, changed := r.Current.Watch()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trackOnce(plan, changed)
}

// trackOnce calls track unless it was called for the plan before. The caller holds the lock.
func (r *Renewer) trackOnce(plan assign.Plan, changed <-chan struct{}) {
	if r.planned == changed {
		return
	}
	r.planned = changed
	r.track(plan)
	r.linkedAt = 0
}

// track updates tracked and mine for a new plan. The caller holds the lock.
func (r *Renewer) track(plan assign.Plan) {
	r.older.add(plan, r.Self, r.Connections.Newest(), r.Current.Prompt())
	tracked := make(map[grantID]*grantState, len(r.tracked))
	r.mine = nil
	renewed := plan.RenewedBy(r.Self)
	for service, assignments := range plan.Services {
		for _, a := range assignments {
			if a.Phase != assign.Held {
				continue
			}
			id := grantID{service, a.Range, a.Fence}
			s := r.tracked[id]
			if s == nil {
				s = &grantState{}
			}
			tracked[id] = s
			if renewed(a) {
				r.mine = append(r.mine, ownGrant{id, s, a})
			}
		}
	}
	for id, s := range r.tracked {
		if s.calling {
			tracked[id] = s
		}
	}
	r.tracked = tracked
}

// untilDue returns the time until the next call for the grant is due. A grant that is due waits until its link can carry a call.
func (r *Renewer) untilDue(own ownGrant, now time.Duration) time.Duration {
	s := own.state
	wait := s.sent + retryInterval - now
	switch {
	case s.fenced, s.calling:
		return r.Timing.RenewInterval
	case s.sent == 0:
		wait = 0
	case s.answered >= s.sent:
		wait = s.sent + r.Timing.RenewInterval - now
	}
	return max(wait, r.untilLinked(own, now))
}

// untilLinked returns the time after which the grant may be sent over the present connection, or, if it may not be, the time
// until that is checked again. A grant for which that takes too long is lost. The caller holds the lock.
func (r *Renewer) untilLinked(own ownGrant, now time.Duration) time.Duration {
	s, l := own.state, r.links[own.assignment.Server.Addr]
	if l.conn == nil || r.mayCarry(l, own.id.fence) {
		s.lost = false
		return 0
	}
	if s.lost {
		return retryInterval
	}
	if now-l.openedAt >= linkDelay {
		s.lost = true
		r.counts.Lost++
		r.logGrant(own, r.older.version, l.number, "lost", "older", uint64(r.older.than(own.id.fence)))
		r.notify()
	}
	return linkInterval
}

// mayCarry reports whether the link's connection leads to the incarnation for which grants with the fencing token are meant, or to
// none. The caller holds the lock.
func (r *Renewer) mayCarry(l *link, fence assign.Fence) bool {
	return r.Connections.Reaches(l.server.Addr, l.number, r.older.than(fence))
}

// AwaitStaleCalls waits until no call is in flight for a grant that the present plan no longer
// contains. It returns false if the context ends before.
func (r *Renewer) AwaitStaleCalls(ctx context.Context) bool {
	for r.staleCalls() {
		loop.Sleep(ctx, staleCallPollInterval)
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// staleCalls reports whether a call is in flight for a grant that the present plan does not contain.
func (r *Renewer) staleCalls() bool {
	plan := r.Current.Plan()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.tracked {
		if !s.calling {
			continue
		}
		if assignment, found := plan.Lookup(id.service, id.keys.First); !found || assignment.Fence != id.fence {
			return true
		}
	}
	return false
}
