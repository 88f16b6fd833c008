package poison

import (
	"sync"
	"time"
)

// Deliveries keeps track of which evidence each receiver, one incarnation of another host, has taken,
// so that each gets all of it, also one that starts later or does not answer for a while. It is safe
// for concurrent use.
type Deliveries struct {
	guard         *Guard
	retryInterval time.Duration

	mu        sync.Mutex
	receivers map[string]*receiver
}

// receiver is the state of the delivery to one receiver.
type receiver struct {
	// taken is the sequence number up to which the receiver has the evidence, and sent that of the
	// message on its way.
	taken, sent uint64
	// sending is set while a message is on its way. failed says that the last one was not taken, and
	// retryAt when the next one is due.
	sending, failed bool
	retryAt         time.Time
}

// NewDeliveries returns the deliveries of a guard's evidence. What a receiver has not taken is due
// again after the retry interval.
func NewDeliveries(guard *Guard, retryInterval time.Duration) *Deliveries {
	return &Deliveries{guard: guard, retryInterval: retryInterval, receivers: make(map[string]*receiver)}
}

// Begin returns the evidence that is due to a receiver. It returns false if there is none, or a
// message is on its way. Otherwise the caller sends the evidence and calls End.
func (d *Deliveries) Begin(id string) ([]Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.receivers[id]
	if r == nil {
		r = &receiver{}
		d.receivers[id] = r
	}
	if r.sending || time.Now().Before(r.retryAt) {
		return nil, false
	}
	records, next := d.guard.Export(r.taken)
	if len(records) == 0 {
		r.taken = next
		return nil, false
	}
	r.sending = true
	r.sent = next
	return records, true
}

// Pending reports whether a message is on its way, or the last one to a receiver was not taken.
func (d *Deliveries) Pending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.receivers {
		if r.sending || r.failed {
			return true
		}
	}
	return false
}

// End records whether the receiver has taken the evidence. It returns true if the last message to it
// ended otherwise.
func (d *Deliveries) End(id string, taken bool) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.receivers[id]
	if r == nil {
		return false
	}
	changed = r.failed == taken
	r.sending = false
	r.failed = !taken
	if taken {
		r.taken = r.sent
	} else {
		r.retryAt = time.Now().Add(d.retryInterval)
	}
	return changed
}

// Retain forgets all receivers but the given ones.
func (d *Deliveries) Retain(ids map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.receivers {
		if !ids[id] {
			delete(d.receivers, id)
		}
	}
}
