package standin

import (
	"sort"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

// lease is the state of a backend server's session: the slices that it may serve,
// the end of the lease on the server's own clock, and the requests that it
// executes now. Hosts open, renew and end it by grants (backend.GrantRequest).
type lease struct {
	incarnation string
	startTime   time.Time

	mu sync.Mutex
	// changed closes, and is replaced, when a grant is applied or an execution ends.
	changed  chan struct{}
	session  uint64
	ended    bool
	stopped  bool
	draining bool
	// validUntil is the end of the lease on the server's clock.
	validUntil time.Duration
	// holds maps each slice that the server may serve to its epoch.
	holds map[int]uint64
	// gaveUp maps each slice that was dropped to the highest epoch of a drop. A
	// late grant with an epoch up to that one does not bring the slice back.
	gaveUp  map[int]uint64
	running map[*execution]struct{}
}

// execution is one executing request.
type execution struct {
	// checked says that the execution is aborted when the lease no longer covers it.
	checked bool
	session uint64
	slice   int
	epoch   uint64
	start   time.Time
	aborted bool
	// abort closes when the execution must end without effect; aborted is set then.
	abort chan struct{}
}

// fencingToken names the session, slice and epoch under which a host sent a
// request. The lease rejects a request whose token is not current.
type fencingToken struct {
	// checked is false if the server does not check epochs, or the service is
	// not divided by key; the lease then admits every request.
	checked bool
	session uint64
	slice   int
	epoch   uint64
}

func newLease(incarnation string) *lease {
	return &lease{
		incarnation: incarnation,
		startTime:   time.Now(),
		changed:     make(chan struct{}),
		holds:       make(map[int]uint64),
		gaveUp:      make(map[int]uint64),
		running:     make(map[*execution]struct{}),
	}
}

// clock returns the server's clock: the time since its start.
func (l *lease) clock(now time.Time) time.Duration {
	return now.Sub(l.startTime)
}

// notify wakes everything that waits for a change. l.mu must be held.
func (l *lease) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// grant applies a grant and reports whether it applied. A grant for another
// incarnation or an older session does not apply. After the session has ended, only
// a grant that ends it counts as applied, so that a host can retry the end. grant
// does not wait for the executions of dropped slices; see dropsComplete.
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
		l.startSession(req.Session)
	}
	if l.ended {
		return req.End
	}
	l.validUntil = max(l.validUntil, time.Duration(req.ValidUntilMS)*time.Millisecond)
	for _, add := range req.Add {
		l.addSlice(add)
	}
	for _, drop := range req.Drop {
		l.dropSlice(drop)
	}
	if req.End {
		l.endSession()
	}
	l.notify()
	return true
}

// startSession ends the session and starts a new one without slices. l.mu must be
// held.
func (l *lease) startSession(session uint64) {
	l.endSession()
	l.session = session
	l.ended = false
	l.validUntil = 0
	l.holds = make(map[int]uint64)
	l.gaveUp = make(map[int]uint64)
}

// endSession ends the session and aborts its executions. l.mu must be held.
func (l *lease) endSession() {
	l.ended = true
	for e := range l.running {
		if e.checked {
			e.requestAbort()
		}
	}
}

// addSlice adds a slice to the lease, unless the server holds or has given up
// the slice under the same or a higher epoch. Executions under a lower epoch are
// aborted. l.mu must be held.
func (l *lease) addSlice(grant backend.SliceGrant) {
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
			e.requestAbort()
		}
	}
}

// dropSlice removes a slice from the lease. Its executions continue. l.mu must be
// held.
func (l *lease) dropSlice(grant backend.SliceGrant) {
	l.gaveUp[grant.Slice] = max(l.gaveUp[grant.Slice], grant.Epoch)
	if held, ok := l.holds[grant.Slice]; ok && held <= grant.Epoch {
		delete(l.holds, grant.Slice)
	}
}

// requestAbort makes the execution end without effect. The lease's mu must be
// held.
func (e *execution) requestAbort() {
	if !e.aborted {
		e.aborted = true
		close(e.abort)
	}
}

// dropsComplete reports whether all executions for the dropped slices have ended,
// and returns a channel that closes at the next change.
func (l *lease) dropsComplete(drops []backend.SliceGrant) (bool, <-chan struct{}) {
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

// begin starts an execution. It returns nil if the lease does not cover t.
func (l *lease) begin(t fencingToken) *execution {
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

// allows reports whether the lease covers a request with the token t at now. l.mu
// must be held.
func (l *lease) allows(t fencingToken, now time.Time) bool {
	if l.ended || l.stopped || l.clock(now) >= l.validUntil {
		return false
	}
	held, holding := l.holds[t.slice]
	return holding && held == t.epoch && t.session == l.session
}

// finish ends an execution; effect says whether its work was completed. It
// returns the time of the end and whether the execution took effect: only one
// that the lease covered until its end does.
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

// remaining returns the time until the end of the lease and a channel that closes
// when that end may have changed.
func (l *lease) remaining() (time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validUntil - l.clock(time.Now()), l.changed
}

// abortAll makes every execution end without effect, as a crash of the process
// would.
func (l *lease) abortAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for e := range l.running {
		e.requestAbort()
	}
}

// setDraining sets whether the server reports that it is draining.
func (l *lease) setDraining(draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = draining
}

// grantReply returns the server's state as the reply to a grant; applied says
// whether the grant was applied.
func (l *lease) grantReply(applied bool) backend.GrantReply {
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

// sliceGrants converts a map of slices to epochs into a list ordered by slice.
func sliceGrants(epochs map[int]uint64) []backend.SliceGrant {
	grants := make([]backend.SliceGrant, 0, len(epochs))
	for slice, epoch := range epochs {
		grants = append(grants, backend.SliceGrant{Slice: slice, Epoch: epoch})
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].Slice < grants[j].Slice })
	return grants
}
