// Package renew sends grants to backend servers and renews them before they expire.
//
// Every host runs one Renewer (package edge starts it). The plan selects a few hosts of a
// server's zone as renewers; the leader renews in zones that have no such host. A host renews a
// grant only while its plan lists the host and the grant, and only while it has verified
// recently that this plan is the newest. The leader relies on these rules when it waits for a
// grant to expire.
//
// If a server does not answer for too long, the host stops renewing the grant, logs event
// "grant" with outcome "contact lost" and returns the grant from Lost; the leader then issues a
// new one. If a server refuses a grant because it has seen a higher fencing token, the host does
// not send that grant again.
package renew

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/loop"
)

const (
	// retryInterval is the time between two attempts to send a grant that has not been answered.
	retryInterval = 150 * time.Millisecond
	// staleCallPollInterval is the polling interval of AwaitStaleCalls.
	staleCallPollInterval = 10 * time.Millisecond
	// maxCallsInFlight bounds the number of grant calls in flight.
	maxCallsInFlight = 32
)

// Lost identifies a grant that a host has stopped renewing because its server does not answer.
type Lost struct {
	Service string
	First   keyrange.Key
	Fence   assign.Fence
}

// Renewer sends and renews the grants that the plan assigns to one host. It is safe for concurrent use.
type Renewer struct {
	self    assign.Host
	current *assign.Current
	granter grants.Granter
	timing  grants.Timing
	clock   func() time.Duration
	log     *eventlog.Log
	// callSlots is a semaphore that limits the grant calls in flight.
	callSlots chan struct{}
	// wake holds a value if a call, a connection or an attempt to open one has ended since the last round.
	wake chan struct{}

	mu sync.Mutex
	// links holds the link to each server whose grants this host renews, by address. opened is the number of connections opened
	// so far.
	links  map[string]*link
	opened uint64
	// tracked has an entry for each grant in the plan, also for those that other hosts renew, and
	// for each grant with a call in flight.
	tracked map[grantID]*grantState
	// planned is closed when the plan that mine was made from is replaced, and mine lists the grants that
	// this host renews by that plan.
	planned <-chan struct{}
	mine    []ownGrant
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
	// issuedAfter is the earliest time at which the grant can have been issued; see
	// assign.Current.WrittenAfter. sent and answered are the times of the last call and of the last
	// successful answer, or zero.
	issuedAfter, sent, answered time.Duration
	// confirmed is set if the last call succeeded. fenced is set if the server has seen a higher fencing token.
	confirmed, fenced bool
	// lost is set if the server has not answered for so long that the grant must not be renewed
	// any more under this fencing token.
	lost bool
	// carrier is the number of the connection that carried the last successful call.
	carrier uint64
}

// New returns a Renewer for the host self. clock is the host's monotonic clock.
func New(self assign.Host, current *assign.Current, granter grants.Granter, timing grants.Timing, clock func() time.Duration, log *eventlog.Log) *Renewer {
	return &Renewer{
		self: self, current: current, granter: granter, timing: timing, clock: clock, log: log,
		callSlots: make(chan struct{}, maxCallsInFlight),
		wake:      make(chan struct{}, 1),
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
		plan, changed := r.current.Watch()
		next := r.renewAll(ctx, plan, changed, r.current.WrittenAfter())
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

// Lost returns the grants that this host has stopped renewing because their servers do not answer.
func (r *Renewer) Lost() []Lost {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []Lost
	for id, s := range r.tracked {
		if s.lost {
			lost = append(lost, Lost{Service: id.service, First: id.keys.First, Fence: id.fence})
		}
	}
	return lost
}

// renewAll starts the calls that are due and returns the time until the next one. changed is closed when the
// plan is replaced. planWrittenAfter is the earliest time at which the plan, and so a grant that is new in it,
// can have been written.
func (r *Renewer) renewAll(ctx context.Context, plan assign.Plan, changed <-chan struct{}, planWrittenAfter time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trackOnce(plan, changed, planWrittenAfter)
	now := r.clock()
	next := min(r.timing.RenewInterval, r.keepLinks(ctx, now))
	for _, own := range r.mine {
		r.checkServerSilence(own.id, own.state, own.assignment, now)
		wait := r.untilDue(own.state, now)
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
	plan, changed := r.current.Watch()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trackOnce(plan, changed, r.current.WrittenAfter())
}

// trackOnce calls track unless it was called for the plan before. The caller holds the lock.
func (r *Renewer) trackOnce(plan assign.Plan, changed <-chan struct{}, planWrittenAfter time.Duration) {
	if r.planned == changed {
		return
	}
	r.planned = changed
	r.track(plan, planWrittenAfter)
}

// track updates tracked and mine for a new plan. The caller holds the lock.
func (r *Renewer) track(plan assign.Plan, planWrittenAfter time.Duration) {
	tracked := make(map[grantID]*grantState, len(r.tracked))
	r.mine = nil
	servers := make(map[string]assign.Server)
	renewed := plan.RenewedBy(r.self)
	for service, assignments := range plan.Services {
		for _, a := range assignments {
			if a.Phase != assign.Held {
				continue
			}
			id := grantID{service, a.Range, a.Fence}
			s := r.tracked[id]
			if s == nil {
				s = &grantState{issuedAfter: planWrittenAfter}
			}
			tracked[id] = s
			if renewed(a) {
				r.mine = append(r.mine, ownGrant{id, s, a})
				servers[a.Server.Addr] = a.Server
			}
		}
	}
	for id, s := range r.tracked {
		if s.calling {
			tracked[id] = s
		}
	}
	r.tracked = tracked
	r.setLinks(servers)
}

// checkServerSilence marks a grant as lost if its server has not answered this host for too long. If
// the server has never answered, the time counts from when the grant may have been issued.
func (r *Renewer) checkServerSilence(id grantID, s *grantState, a assign.Assignment, now time.Duration) {
	if s.lost || now-max(s.answered, s.issuedAfter) <= r.timing.MaxServerSilence {
		return
	}
	s.lost = true
	r.log.Event("grant", "service", id.service, "keys", id.keys.String(), "server", a.Server.ID,
		"fence", uint64(id.fence), "outcome", "contact lost", "ms", (now - max(s.answered, s.issuedAfter)).Milliseconds())
}

// untilDue returns the time until the next call for the grant is due.
func (r *Renewer) untilDue(s *grantState, now time.Duration) time.Duration {
	switch {
	case s.fenced, s.calling, s.lost:
		return r.timing.RenewInterval
	case s.sent == 0:
		return 0
	case s.answered >= s.sent:
		return s.sent + r.timing.RenewInterval - now
	}
	return s.sent + retryInterval - now
}

// startCall starts a call if the server's link is idle and fewer than the maximum are in flight. Otherwise the grant stays due.
func (r *Renewer) startCall(ctx context.Context, version assign.Fence, own ownGrant) {
	l := r.links[own.assignment.Server.Addr]
	if !l.idle() {
		return
	}
	select {
	case r.callSlots <- struct{}{}:
	default:
		return
	}
	l.calling = true
	own.state.calling = true
	own.state.sent = r.clock()
	go r.call(ctx, version, own, l, l.conn, l.number)
}

// call sends one grant over a connection and records the result.
func (r *Renewer) call(ctx context.Context, version assign.Fence, own ownGrant, l *link, conn grants.Conn, number uint64) {
	defer r.wakeUp()
	defer func() { <-r.callSlots }()
	err := r.send(ctx, conn, own.id, own.assignment)
	r.mu.Lock()
	defer r.mu.Unlock()
	l.calling = false
	s := own.state
	s.calling = false
	now := r.clock()
	switch {
	case err == nil:
		if !s.confirmed || s.carrier != number {
			r.logGrant(own, version, number, "granted", "ms", (now - s.sent).Milliseconds())
		}
		s.answered = now
		s.confirmed = true
		s.carrier = number
	case errors.Is(err, grants.ErrFenced):
		s.fenced = true
		r.logGrant(own, version, number, "failed", "err", err.Error())
	default:
		if s.confirmed || s.answered == 0 {
			r.logGrant(own, version, number, "failed", "err", err.Error())
		}
		s.confirmed = false
	}
}

// logGrant logs what has become of a call: which grant, for which incarnation of the server it is meant, and over which connection it
// went.
func (r *Renewer) logGrant(own ownGrant, version assign.Fence, number uint64, outcome string, fields ...any) {
	server := own.assignment.Server
	r.log.Event("grant", append([]any{"service", own.id.service, "keys", own.id.keys.String(), "server", server.ID, "born", server.Born,
		"fence", uint64(own.id.fence), "plan", uint64(version), "conn", number, "outcome", outcome}, fields...)...)
}

// errMayNotRenew reports that the host may not renew the grant any more: the plan has changed since
// the call was started, or was verified too long ago.
var errMayNotRenew = errors.New("renew: this host may no longer renew the grant")

// send calls the server, after it has checked again that the newest plan allows it.
func (r *Renewer) send(ctx context.Context, conn grants.Conn, id grantID, a assign.Assignment) error {
	plan := r.current.Plan()
	assignment, found := plan.Lookup(id.service, id.keys.First)
	if !found || assignment.Fence != id.fence || !plan.ShouldRenew(r.self, assignment) {
		return errMayNotRenew
	}
	if r.clock()-r.current.VerifiedAt() > r.timing.MaxPlanAge {
		return errors.Wrap(errMayNotRenew, "the plan was not verified recently")
	}
	ctx, cancel := context.WithTimeout(ctx, r.timing.CallTimeout)
	defer cancel()
	return conn.Grant(ctx, a.Server, grants.Grant{
		Range: id.keys, Fence: id.fence, TTL: r.timing.TTL, Handover: a.Handover,
	})
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
	plan := r.current.Plan()
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
