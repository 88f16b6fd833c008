package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// leavingRetryAfter is when a request may come back that this host refuses since it is shutting down: at once, to another host.
const leavingRetryAfter = 10 * time.Millisecond

// lastPhase is the last phase of a shutdown, in which requests that might not end in time are no longer sent.
type lastPhase struct {
	// begun ends when the phase begins.
	begun context.Context
	begin context.CancelFunc
	// end is when requests get their final answer, as a reading of the clock.
	end atomic.Int64
}

func newLastPhase() *lastPhase {
	p := &lastPhase{}
	p.begun, p.begin = context.WithCancel(context.Background())
	return p
}

// mayOutlast reports whether the request may last longer than the phase.
func (p *lastPhase) mayOutlast(r *Request) bool {
	return r.Deadline > time.Duration(p.end.Load())
}

// RefuseUnsent starts the last phase of the shutdown: requests that have not been sent to a server or another host, and that may last
// until the given reading of the clock, are refused at once. Sent later, they would be broken off at that time.
func (in *Ingress) RefuseUnsent(end time.Duration) {
	in.lastPhase.end.Store(int64(end))
	in.lastPhase.begin()
}

// watchUnsent makes the request end in the last phase of the shutdown if it has not been sent then, and in any case when all
// requests have to end. The function that it returns ends the watch.
func (in *Ingress) watchUnsent(r *Request, cancel context.CancelFunc) (stop func() bool) {
	r.unsent = &unsentWatch{cancel: cancel}
	refuse := func() {
		if in.lastPhase.mayOutlast(r) {
			r.unsent.refuse()
		}
	}
	stop = context.AfterFunc(in.lastPhase.begun, func() {
		refuse()
		context.AfterFunc(in.ending, cancel)
	})
	if in.lastPhase.begun.Err() != nil {
		// The function above may run later than the request is sent.
		refuse()
	}
	return stop
}

// refusedUnsent returns the result of the request, which is a refusal of this host if the shutdown has ended the request before it
// was sent.
func (r *Request) refusedUnsent(result Result) Result {
	if result.Kind == NotRun && r.unsent.isRefused() {
		return notRun(reasonLeaving, leavingRetryAfter)
	}
	return result
}

// unsentWatch ends a request that is waiting, for a slot or an owner, when it may no longer be sent. One that may have been executed
// goes on, also with retries. A nil unsentWatch does nothing. It is safe for concurrent use.
type unsentWatch struct {
	// cancel ends the request's context.
	cancel func()

	mu sync.Mutex
	// sending says that an attempt is in progress, and sent that the request may have been executed in one.
	sending, sent bool
	// refused says that the request may not be sent for the first time any more.
	refused bool
}

// refuse ends the request unless it is being sent or has been.
func (w *unsentWatch) refuse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refused = true
	if !w.sending && !w.sent {
		w.cancel()
	}
}

// begin is called before an attempt at a server or another host. It returns false if the request may not be sent any more.
func (w *unsentWatch) begin() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refused && !w.sent {
		return false
	}
	w.sending = true
	return true
}

// end is called after an attempt, with whether the request may have been executed in it.
func (w *unsentWatch) end(mayHaveRun bool) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sending = false
	w.sent = w.sent || mayHaveRun
	if w.refused && !w.sent {
		w.cancel()
	}
}

// isRefused reports whether the request was ended before it was sent.
func (w *unsentWatch) isRefused() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused && !w.sent
}
