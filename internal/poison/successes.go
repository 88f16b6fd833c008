package poison

import "time"

// successWindow is how long before a crash a success counts against the request having caused it. A request
// of which several are in flight at the servers that crash at once succeeds far more often than this.
const successWindow = 3 * time.Second

// recentSuccesses holds when requests last finished, for at least successWindow. The zero value is empty.
type recentSuccesses struct {
	// present holds the successes since since, and former those of the interval before.
	present, former map[Fingerprint]time.Time
	since           time.Time
}

// add records a success. Of more than limit requests in successWindow, it forgets some.
func (r *recentSuccesses) add(now time.Time, f Fingerprint, limit int) {
	if r.present == nil || now.Sub(r.since) >= successWindow || len(r.present) >= limit {
		r.former, r.present, r.since = r.present, make(map[Fingerprint]time.Time), now
	}
	r.present[f] = now
}

// before reports whether the request has finished later than successWindow before a time.
func (r *recentSuccesses) before(at time.Time, f Fingerprint) bool {
	last, ok := r.present[f]
	if !ok {
		last, ok = r.former[f]
	}
	return ok && last.After(at.Add(-successWindow))
}
