package standin

import (
	"sort"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

// lease is a backend server's session: what it may serve and until when on its
// own clock, and what it executes now.
type lease struct {
	incarnation string
	started     time.Time

	mu sync.Mutex
	// changed closes when the end of the lease or the set of executions changes.
	changed  chan struct{}
	session  uint64
	ended    bool
	stopped  bool
	draining bool
	// validUntil is the end of the lease on the server's clock.
	validUntil time.Duration
	holds      map[int]uint64
	gaveUp     map[int]uint64
	running    map[*execution]struct{}
}

// execution is one request in execution.
type execution struct {
	// checked says that the execution stands and falls with the lease.
	checked bool
	session uint64
	slice   int
	epoch   uint64
	start   time.Time
	aborted bool
	// abort closes when the execution must end without effect.
	abort chan struct{}
}

// ticket is the right under which a request asks to be executed.
type ticket struct {
	checked bool
	session uint64
	slice   int
	epoch   uint64
}

func newLease(incarnation string) *lease {
	return &lease{
		incarnation: incarnation,
		started:     time.Now(),
		changed:     make(chan struct{}),
		holds:       make(map[int]uint64),
		gaveUp:      make(map[int]uint64),
		running:     make(map[*execution]struct{}),
	}
}

// clock returns the server's monotonic clock.
func (l *lease) clock(now time.Time) time.Duration {
	return now.Sub(l.started)
}

// notify wakes all that wait for a change. The lock is held.
func (l *lease) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// grant applies a grant. It returns without waiting for dropped slices.
func (l *lease) grant(req backend.GrantRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if req.Incarnation != "" && req.Incarnation != l.incarnation {
		return false
	}
	if req.Session < l.session {
		return false
	}
	if req.Session > l.session {
		l.replace(req.Session)
	}
	if l.ended {
		return req.End
	}
	l.validUntil = max(l.validUntil, time.Duration(req.ValidUntilMS)*time.Millisecond)
	for _, add := range req.Add {
		l.add(add)
	}
	for _, drop := range req.Drop {
		l.drop(drop)
	}
	if req.End {
		l.end()
	}
	l.notify()
	return true
}

// replace starts a new session that takes nothing over. The lock is held.
func (l *lease) replace(session uint64) {
	l.end()
	l.session = session
	l.ended = false
	l.validUntil = 0
	l.holds = make(map[int]uint64)
	l.gaveUp = make(map[int]uint64)
}

// end closes the session and aborts what runs under it. The lock is held.
func (l *lease) end() {
	l.ended = true
	for e := range l.running {
		if e.checked {
			e.stop()
		}
	}
}

// add takes a slice on, unless it is held or was given up under an epoch at
// least as high. The lock is held.
func (l *lease) add(grant backend.SliceGrant) {
	held, holding := l.holds[grant.Slice]
	if holding && held >= grant.Epoch {
		return
	}
	if gaveUp, ok := l.gaveUp[grant.Slice]; ok && gaveUp >= grant.Epoch {
		return
	}
	l.holds[grant.Slice] = grant.Epoch
	for e := range l.running {
		if e.checked && e.slice == grant.Slice && e.epoch < grant.Epoch {
			e.stop()
		}
	}
}

// drop gives a slice up. What runs for it goes on. The lock is held.
func (l *lease) drop(grant backend.SliceGrant) {
	l.gaveUp[grant.Slice] = max(l.gaveUp[grant.Slice], grant.Epoch)
	if held, ok := l.holds[grant.Slice]; ok && held <= grant.Epoch {
		delete(l.holds, grant.Slice)
	}
}

// stop asks the execution to end without effect. The lease's lock is held.
func (e *execution) stop() {
	if !e.aborted {
		e.aborted = true
		close(e.abort)
	}
}

// dropsDone reports whether nothing runs any more for the dropped slices, and
// returns a channel that closes at the next change.
func (l *lease) dropsDone(drops []backend.SliceGrant) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := range l.running {
		for _, drop := range drops {
			if e.slice == drop.Slice && e.epoch <= drop.Epoch {
				return false, l.changed
			}
		}
	}
	return true, l.changed
}

// begin starts an execution. It returns nil where the ticket gives no right to it.
func (l *lease) begin(t ticket) *execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if t.checked && !l.allows(t, now) {
		return nil
	}
	e := &execution{
		checked: t.checked,
		session: t.session,
		slice:   t.slice,
		epoch:   t.epoch,
		start:   now,
		abort:   make(chan struct{}),
	}
	l.running[e] = struct{}{}
	return e
}

// allows reports whether a request may be executed now. The lock is held.
func (l *lease) allows(t ticket, now time.Time) bool {
	if l.ended || l.stopped || l.clock(now) >= l.validUntil {
		return false
	}
	held, holding := l.holds[t.slice]
	return holding && held == t.epoch && t.session == l.session
}

// finish ends an execution. It reports the time of its end and whether it took
// effect: only one that its lease covered to the end did.
func (l *lease) finish(e *execution, effect bool) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if e.checked && (e.aborted || l.clock(now) >= l.validUntil) {
		effect = false
	}
	if l.stopped {
		effect = false
	}
	delete(l.running, e)
	l.notify()
	return now, effect
}

// remaining returns the time to the end of the lease and a channel that closes
// when it may have changed.
func (l *lease) remaining() (time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validUntil - l.clock(time.Now()), l.changed
}

// stop makes every execution end without effect, as at the end of the process.
func (l *lease) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for e := range l.running {
		e.stop()
	}
}

// setDraining sets whether the server says that it is draining.
func (l *lease) setDraining(draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = draining
}

// state returns the server's state as a reply to a grant.
func (l *lease) state(applied bool) backend.GrantReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return backend.GrantReply{
		Applied:     applied,
		Incarnation: l.incarnation,
		Session:     l.session,
		Ended:       l.ended,
		ClockMS:     l.clock(time.Now()).Milliseconds(),

		ValidUntilMS: l.validUntil.Milliseconds(),
		Holds:        sliceGrants(l.holds),
		GaveUp:       sliceGrants(l.gaveUp),
		InFlight:     len(l.running),
		Draining:     l.draining,
	}
}

// sliceGrants returns the slices and their epochs ordered by slice.
func sliceGrants(epochs map[int]uint64) []backend.SliceGrant {
	grants := make([]backend.SliceGrant, 0, len(epochs))
	for slice, epoch := range epochs {
		grants = append(grants, backend.SliceGrant{Slice: slice, Epoch: epoch})
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].Slice < grants[j].Slice })
	return grants
}
