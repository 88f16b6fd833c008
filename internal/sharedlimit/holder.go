package sharedlimit

import (
	"math"
	"sync"
	"time"
)

const (
	// AskInterval is the time between two lease requests while there is demand. A lease request at once follows the previous one after
	// urgentInterval at least.
	AskInterval    = time.Second
	urgentInterval = 100 * time.Millisecond
	// exhaustedInterval is the time between two lease requests for a limit of which nothing is free.
	exhaustedInterval = 500 * time.Millisecond
	// failedInterval is the time between two lease requests after one that got no answer. A leader that lacks processor time would
	// otherwise get ten lease requests a second of each host.
	failedInterval = 500 * time.Millisecond
	// forgetAfter is how long a limit is kept without demand and without a share. It is longer than the window of a
	// quota (5 s), so that a bucket does not start anew within it.
	forgetAfter = 30 * time.Second
	// wantFor is the time for which a bucket that ran empty wants tokens at its demand.
	wantFor = 250 * time.Millisecond
	// unknownRetryAfter is when a caller should retry that was refused for lack of a share.
	unknownRetryAfter = 300 * time.Millisecond
	// maxRetryAfter is the longest time after which a refused request may be asked to wait before it retries.
	maxRetryAfter = 10 * time.Second
)

// Decision is the result of Holder.Take.
type Decision int

const (
	// Taken means that a token was taken.
	Taken Decision = iota + 1
	// Empty means that the share's bucket is empty, and AskedMore that, in addition, the next answer may bring more.
	Empty
	AskedMore
	// NoShare means that the host holds no share, and it is not known whether the limit is reached.
	NoShare
)

// Leader is the host that this host's plan names as the leader, and the version of that plan.
type Leader struct {
	Incarnation string
	Plan        uint64
}

// Holder holds the shares of one host. Only one lease request is under way at a time.
type Holder struct {
	host, incarnation string
	// wake gets a value when a lease request is due at once.
	wake chan struct{}

	mu     sync.Mutex
	limits map[string]*held
	// changed is closed and replaced when an answer arrives.
	changed chan struct{}
	// sequence is that of the last lease request, and pending is set until its answer has arrived or it has been cancelled.
	sequence uint64
	pending  bool
	askedAt  time.Duration
	asked    bool
	// failed says that the last lease request got no answer.
	failed bool
	// reportedTo is the leader that has answered last.
	reportedTo string
	counters   HolderCounters
}

// HolderCounters counts what a Holder has done. Shares is the number of shares that it holds.
type HolderCounters struct {
	Taken, Empty, NoShare           int64
	Asks, Answers, Failures, Equals int64
	Shares                          int
}

// held is what the host holds of one limit.
type held struct {
	limit Limit
	// fraction is usable until the given time. known says that an answer has arrived since the last share ended,
	// also one without a share; settled and exhausted are those of the last answer.
	fraction           float64
	until              time.Duration
	known              bool
	settled, exhausted bool
	answeredAt         time.Duration
	bucket             bucket
	demand             demand
	usedAt             time.Duration
	// nextReturn is when the next refused request should retry.
	nextReturn time.Duration
	// missed is the number of requests since the last lease request that found no token.
	missed float64
	// useful, wanted and sticky are those of a share that is taken with Fraction.
	useful, wanted float64
	sticky         bool
}

// NewHolder returns the holder of a host.
func NewHolder(host, incarnation string) *Holder {
	return &Holder{
		host: host, incarnation: incarnation, wake: make(chan struct{}, 1),
		limits: make(map[string]*held), changed: make(chan struct{}),
	}
}

// Wake returns a channel that gets a value when a lease request is due at once.
func (h *Holder) Wake() <-chan struct{} { return h.wake }

// Changed returns a channel that is closed when the next answer arrives.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// usable returns the fraction that the host may use now.
func (l *held) usable(now time.Duration) float64 {
	if now >= l.until {
		return 0
	}
	return l.fraction
}

// share returns the rate and burst of the host's share.
func (l *held) share(now time.Duration) Limit {
	fraction := l.usable(now)
	return Limit{Rate: fraction * l.limit.Rate, Burst: fraction * l.limit.Burst}
}

// get returns the limit's state, which it creates if necessary. The caller holds the lock.
func (h *Holder) get(id string, limit Limit, now time.Duration) *held {
	l := h.limits[id]
	if l == nil {
		l = &held{}
		l.demand.updatedAt = now
		h.limits[id] = l
	}
	if limit != l.limit {
		// Tokens of a higher limit do not count for a lower one.
		l.limit = limit
		l.bucket.clip(l.share(now))
		l.bucket.surplus = 0
	}
	l.usedAt = now
	return l
}

// Take takes a token for one request. Again says that the request has called Take before and counts as demand already.
func (h *Holder) Take(id string, limit Limit, again bool, now time.Duration) Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.get(id, limit, now)
	if !again {
		l.demand.add(now)
	}
	decision := l.take(now)
	switch {
	case decision == Taken:
		h.counters.Taken++
		return decision
	case !again:
		l.missed++
	}
	if decision != Empty {
		h.wakeLoop()
	}
	return decision
}

// take is Take for one limit.
func (l *held) take(now time.Duration) Decision {
	if l.usable(now) == 0 {
		if l.known && l.settled && now-l.answeredAt < AskInterval+urgentInterval {
			return l.more(now)
		}
		return NoShare
	}
	l.bucket.refill(l.share(now), now)
	if l.bucket.take() {
		return Taken
	}
	return l.more(now)
}

// more returns whether another lease request may bring more of a limit whose bucket is empty.
func (l *held) more(now time.Duration) Decision {
	if l.exhausted && now-l.answeredAt < exhaustedInterval {
		return Empty
	}
	return AskedMore
}

// Refused counts a request that is refused after Take.
func (h *Holder) Refused(decision Decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if decision == NoShare {
		h.counters.NoShare++
	} else {
		h.counters.Empty++
	}
}

// RetryAfter returns the time after which a refused request should retry. Each refused request gets the time of
// another token, so that they do not all retry for the same one.
func (h *Holder) RetryAfter(id string, now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.limits[id]
	if l == nil || l.usable(now) == 0 {
		return unknownRetryAfter
	}
	share := l.share(now)
	l.bucket.refill(share, now)
	token := now + seconds((1-l.bucket.tokens)/share.Rate)
	at := min(max(token, l.nextReturn), now+maxRetryAfter)
	l.nextReturn = at + seconds(1/share.Rate)
	return max(at-now, time.Millisecond)
}

// seconds returns a duration, at most maxRetryAfter.
func seconds(x float64) time.Duration {
	if math.IsNaN(x) || x > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(x * float64(time.Second))
}

// Return gives back the token of a request that has not run. A negative number charges for runs beyond the first.
func (h *Holder) Return(id string, limit Limit, tokens float64, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.get(id, limit, now)
	if l.usable(now) == 0 {
		return
	}
	share := l.share(now)
	l.bucket.refill(share, now)
	l.bucket.giveBack(tokens, share)
}

// Fraction returns the fraction of a limit that the host may use now, for a limit whose requests are counted
// elsewhere. It asks for a share of at least useful; wanted is the fraction that the host can use. Such a share
// stays as it is while it is held.
func (h *Holder) Fraction(id string, useful, wanted float64, now time.Duration) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.get(id, Limit{}, now)
	l.useful, l.wanted, l.sticky = useful, wanted, true
	fraction := l.usable(now)
	if fraction == 0 && !(l.known && now-l.answeredAt < exhaustedInterval) {
		h.wakeLoop()
	}
	return fraction
}

// wakeLoop makes the loop ask at once.
func (h *Holder) wakeLoop() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Counters returns the counters for the metrics endpoint.
func (h *Holder) Counters(now time.Duration) HolderCounters {
	h.mu.Lock()
	defer h.mu.Unlock()
	counters := h.counters
	for _, l := range h.limits {
		if l.usable(now) > 0 {
			counters.Shares++
		}
	}
	return counters
}
