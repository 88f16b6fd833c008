package front

import "sync"

// callerWatch ends a request that is not idempotent when its caller disconnects, unless the request is being sent to a server:
// cancelling it then would leave unknown whether it was executed. A request that waits for a slot or at another host is
// not sent later for a caller that has gone. A nil callerWatch does nothing. It is safe for concurrent use.
type callerWatch struct {
	// cancel ends the request's context.
	cancel func()

	mu            sync.Mutex
	sending, left bool
}

// leave records that the caller has disconnected.
func (w *callerWatch) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = true
	if !w.sending {
		w.cancel()
	}
}

// beginSending is called before an attempt at a server. It returns false if the caller has gone.
func (w *callerWatch) beginSending() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sending = !w.left
	return w.sending
}

// endSending is called after an attempt. A request whose caller has gone meanwhile is not sent again.
func (w *callerWatch) endSending() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sending = false
	if w.left {
		w.cancel()
	}
}
