// Package renew keeps the grants of backend servers alive.
//
// A host renews the grants of the servers in its own zone; the leader those of all
// zones. A host renews only what its plan says, only while the plan names it, and
// only while it has confirmed the plan of late.
package renew

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

const (
	// retryEvery is the time between two tries of a grant that has not been answered yet.
	retryEvery = 150 * time.Millisecond
	// settlePause is the time between two looks for calls under an older plan.
	settlePause = 10 * time.Millisecond
	// parallelCalls bounds the grants under way.
	parallelCalls = 32
)

// Lost names a grant that a host renews no longer because its server does not answer.
type Lost struct {
	Service string
	First   keyrange.Key
	Fence   assign.Fence
}

// Renewer is the duty of one host. It is safe for concurrent use.
type Renewer struct {
	self    assign.Host
	current *assign.Current
	granter grants.Granter
	timing  grants.Timing
	clock   func() time.Duration
	log     *eventlog.Log
	slots   chan struct{}

	mu sync.Mutex
	// held is what this host renews.
	held map[grantID]*state
}

// grantID names one grant of a range.
type grantID struct {
	service string
	keys    keyrange.Range
	fence   assign.Fence
}

// state is what this host knows of one grant.
type state struct {
	calling bool
	// first is when the grant did not exist yet, or only just; sent and answered when it last was.
	first, sent, answered time.Duration
	confirmed, fenced     bool
	// lost says that the server has not answered for too long to be renewed under this fence.
	lost bool
}

// New returns a renewer for this host.
func New(self assign.Host, current *assign.Current, granter grants.Granter, timing grants.Timing, clock func() time.Duration, log *eventlog.Log) *Renewer {
	return &Renewer{
		self: self, current: current, granter: granter, timing: timing, clock: clock, log: log,
		slots: make(chan struct{}, parallelCalls),
		held:  make(map[grantID]*state),
	}
}

// Run renews until the context ends.
func (r *Renewer) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		plan, changed := r.current.Watch()
		next := r.renewAll(ctx, plan, r.current.Learned())
		timer.Reset(next)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-timer.C:
		}
	}
}

// Lost returns the grants that this host renews no longer because their servers do not answer.
func (r *Renewer) Lost() []Lost {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []Lost
	for id, s := range r.held {
		if s.lost {
			lost = append(lost, Lost{Service: id.service, First: id.keys.First, Fence: id.fence})
		}
	}
	return lost
}

// renewAll starts the grants that are due and returns the time to the next one. Grants that
// are new in the plan are no older than learned.
func (r *Renewer) renewAll(ctx context.Context, plan assign.Plan, learned time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	next := r.timing.RenewEvery
	due := make(map[grantID]*state, len(r.held))
	for service, assignments := range plan.Services {
		for _, a := range assignments {
			if a.Phase != assign.Held {
				continue
			}
			id := grantID{service, a.Range, a.Fence}
			s := r.held[id]
			if s == nil {
				s = &state{first: learned}
			}
			due[id] = s
			if !plan.Covers(r.self, a) {
				continue
			}
			r.checkContact(id, s, a, now)
			wait := r.wait(s, now)
			if wait > 0 {
				next = min(next, wait)
				continue
			}
			r.start(ctx, plan.Version, id, s, a)
		}
	}
	for id, s := range r.held {
		if s.calling {
			due[id] = s
		}
	}
	r.held = due
	return max(next, time.Millisecond)
}

// checkContact gives a grant up when its server has not answered this host for too long, counted
// from when the grant came to be known where it never has.
func (r *Renewer) checkContact(id grantID, s *state, a assign.Assignment, now time.Duration) {
	if s.lost || now-max(s.answered, s.first) <= r.timing.ContactLost {
		return
	}
	s.lost = true
	r.log.Event("grant", "service", id.service, "keys", id.keys.String(), "server", a.Server.ID,
		"fence", uint64(id.fence), "outcome", "contact lost", "ms", (now - max(s.answered, s.first)).Milliseconds())
}

// wait returns the time until the grant is due.
func (r *Renewer) wait(s *state, now time.Duration) time.Duration {
	switch {
	case s.fenced, s.calling, s.lost:
		return r.timing.RenewEvery
	case s.sent == 0:
		return 0
	case s.answered >= s.sent:
		return s.sent + r.timing.RenewEvery - now
	}
	return s.sent + retryEvery - now
}

func (r *Renewer) start(ctx context.Context, version assign.Fence, id grantID, s *state, a assign.Assignment) {
	select {
	case r.slots <- struct{}{}:
	default:
		return
	}
	s.calling = true
	s.sent = r.clock()
	go r.call(ctx, version, id, s, a)
}

// call sends one grant. It looks at the plan once more before.
func (r *Renewer) call(ctx context.Context, version assign.Fence, id grantID, s *state, a assign.Assignment) {
	defer func() { <-r.slots }()
	err := r.send(ctx, id, a)
	r.mu.Lock()
	defer r.mu.Unlock()
	s.calling = false
	now := r.clock()
	switch {
	case err == nil:
		if !s.confirmed {
			r.log.Event("grant", "service", id.service, "keys", id.keys.String(), "server", a.Server.ID,
				"fence", uint64(id.fence), "plan", uint64(version), "outcome", "granted", "ms", (now - s.sent).Milliseconds())
		}
		s.answered = now
		s.confirmed = true
	case errors.Is(err, grants.ErrFenced):
		s.fenced = true
		r.logFailure(id, a, version, err)
	default:
		if s.confirmed || s.answered == 0 {
			r.logFailure(id, a, version, err)
		}
		s.confirmed = false
	}
}

// errNotMine reports that the plan or the confirmation of it has run out meanwhile.
var errNotMine = errors.New("renew: the plan no longer lets this host renew the grant")

func (r *Renewer) send(ctx context.Context, id grantID, a assign.Assignment) error {
	plan := r.current.Plan()
	now, found := plan.Lookup(id.service, id.keys.First)
	if !found || now.Fence != id.fence || !plan.Covers(r.self, now) {
		return errNotMine
	}
	if r.clock()-r.current.Verified() > r.timing.StaleAfter {
		return errors.Wrap(errNotMine, "plan is not confirmed")
	}
	ctx, cancel := context.WithTimeout(ctx, r.timing.CallTimeout)
	defer cancel()
	return r.granter.Grant(ctx, a.Server, grants.Grant{
		Range: id.keys, Fence: id.fence, Hold: r.timing.Hold, Handover: a.Handover,
	})
}

func (r *Renewer) logFailure(id grantID, a assign.Assignment, version assign.Fence, err error) {
	r.log.Event("grant", "service", id.service, "keys", id.keys.String(), "server", a.Server.ID,
		"fence", uint64(id.fence), "plan", uint64(version), "outcome", "failed", "err", err.Error())
}

// Settle returns when no grant under an older plan than the present one is under
// way any longer. It returns false where the context ends before.
func (r *Renewer) Settle(ctx context.Context) bool {
	for r.staleCalls() {
		duty.Wait(ctx, settlePause)
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// staleCalls reports whether a grant is under way that the present plan does not ask for.
func (r *Renewer) staleCalls() bool {
	plan := r.current.Plan()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.held {
		if !s.calling {
			continue
		}
		if now, found := plan.Lookup(id.service, id.keys.First); !found || now.Fence != id.fence {
			return true
		}
	}
	return false
}
