package sharedlimit

import "time"

// stickyFor is how long a sticky limit counts as needed after its last use. A host renews it only while requests come.
const stickyFor = 2 * time.Second

// Ask returns the lease request that is due now, and false if none is. Report says that the host has to report to a new leader
// also if it has no demand. Until Answered, Equal or Failed is called with its sequence number, no other is due.
func (h *Holder) Ask(leader Leader, report bool, now time.Duration) (Ask, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending || leader.Incarnation == "" || h.asked && now-h.askedAt < h.interval() {
		return Ask{}, false
	}
	h.forget(now)
	news := leader.Incarnation != h.reportedTo && (report || len(h.limits) > 0)
	periodic := !h.asked || now-h.askedAt >= AskInterval
	if !news && !(periodic && h.anyNeed(now)) && !h.urgent(now) {
		return Ask{}, false
	}
	h.sequence++
	h.pending, h.asked, h.askedAt = true, true, now
	h.counters.Asks++
	ask := Ask{
		Host: h.host, Incarnation: h.incarnation, Leader: leader.Incarnation, Plan: leader.Plan,
		Sequence: h.sequence, Needs: make(map[string]Need),
	}
	for id, l := range h.limits {
		if need := l.need(now); need.Held > 0 || need.Demand > 0 || need.Want > 0 {
			ask.Needs[id] = need
		}
		l.missed, l.bucket.surplus = 0, 0
	}
	return ask, true
}

// UrgentIn returns the time until the next lease request may be sent.
func (h *Holder) UrgentIn(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.asked {
		return 0
	}
	return max(h.askedAt+h.interval()-now, 0)
}

// interval returns the least time between two lease requests. The caller holds the lock.
func (h *Holder) interval() time.Duration {
	if h.failed {
		return failedInterval
	}
	return urgentInterval
}

// forget removes the limits without demand and without a share. The caller holds the lock.
func (h *Holder) forget(now time.Duration) {
	for id, l := range h.limits {
		if now-l.usedAt > forgetAfter && l.usable(now) == 0 {
			delete(h.limits, id)
		}
	}
}

// anyNeed reports whether the host holds a share or has demand. The caller holds the lock.
func (h *Holder) anyNeed(now time.Duration) bool {
	for _, l := range h.limits {
		if need := l.need(now); need.Held > 0 || need.Demand > 0 || need.Want > 0 {
			return true
		}
	}
	return false
}

// urgent reports whether a limit has demand but no token, and an answer may help. The caller holds the lock.
func (h *Holder) urgent(now time.Duration) bool {
	for _, l := range h.limits {
		wanting := l.missed > 0 || l.sticky && l.usable(now) == 0 && now-l.usedAt < stickyFor
		if wanting && !(l.known && l.exhausted && now-l.answeredAt < exhaustedInterval) {
			return true
		}
	}
	return false
}

// need returns what the host needs of the limit.
func (l *held) need(now time.Duration) Need {
	need := Need{Held: l.usable(now)}
	if l.sticky {
		need.Sticky, need.Refill = true, 1
		if now-l.usedAt < stickyFor {
			need.Useful, need.Demand = l.useful, l.wanted/headroom
		}
		return need
	}
	if l.limit.Rate <= 0 || l.limit.Burst <= 0 {
		return need
	}
	if need.Held > 0 && l.bucket.started {
		l.bucket.refill(l.share(now), now)
	}
	need.Surplus = min(l.bucket.surplus/l.limit.Burst, 1)
	rate := l.demand.rate(now)
	need.Demand = rate / l.limit.Rate
	need.Refill = l.limit.Rate / l.limit.Burst
	if l.missed > 0 {
		need.Want = min((l.missed+rate*wantFor.Seconds())/l.limit.Burst, 1)
	}
	return need
}

// Answered applies the answer to the lease request with the sequence number. Leader is the one that the host's plan names now:
// an answer of another one is ignored. It returns the IDs of the shares that have begun or ended.
func (h *Holder) Answered(sequence uint64, from string, answer Answer, leader Leader, now time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.finish(sequence) {
		return nil
	}
	if from != leader.Incarnation {
		h.counters.Failures++
		return nil
	}
	h.reportedTo, h.failed = from, false
	h.counters.Answers++
	var changed []string
	for id, grant := range answer.Grants {
		l := h.limits[id]
		if l == nil {
			continue
		}
		fraction := unit(grant.Fraction, 0)
		if (fraction > 0) != (l.usable(now) > 0) {
			changed = append(changed, id)
		}
		l.apply(fraction, h.askedAt+answer.Lease, now)
		if fraction > 0 {
			l.bucket.tokens += unit(grant.Tokens, 0) * l.limit.Burst
		}
		l.settled, l.exhausted = answer.Settled, grant.Exhausted
	}
	h.announce()
	return changed
}

// apply replaces the share. Tokens beyond the burst of the new one are lost.
func (l *held) apply(fraction float64, until, now time.Duration) {
	if l.usable(now) > 0 {
		l.bucket.refill(l.share(now), now)
	} else if l.bucket.started {
		l.bucket.refilledAt = now
	}
	l.fraction, l.until, l.known, l.answeredAt = fraction, until, true, now
	if l.usable(now) == 0 {
		l.bucket.empty(now)
		return
	}
	l.bucket.refill(l.share(now), now)
	l.bucket.clip(l.share(now))
}

// Equal gives the host an equal share of all limits, after the leader has answered that it does not know the method. The
// share is a lease as any other, so that it ends if the leader can no longer be asked.
func (h *Holder) Equal(sequence uint64, from string, hosts int, lease time.Duration, leader Leader, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.finish(sequence) || from != leader.Incarnation {
		return
	}
	h.reportedTo = from
	h.counters.Equals++
	for _, l := range h.limits {
		l.apply(SettledTotal/float64(max(hosts, 1)), h.askedAt+lease, now)
		l.settled, l.exhausted = true, true
	}
	h.announce()
}

// Failed cancels the lease request with the sequence number. Its answer is ignored if it arrives later.
func (h *Holder) Failed(sequence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.finish(sequence) {
		h.failed = true
		h.counters.Failures++
	}
}

// finish ends the pending lease request, and reports whether it has the sequence number. The caller holds the lock.
func (h *Holder) finish(sequence uint64) bool {
	if !h.pending || sequence != h.sequence {
		return false
	}
	h.pending = false
	return true
}

// announce wakes those who wait for an answer. The caller holds the lock.
func (h *Holder) announce() {
	close(h.changed)
	h.changed = make(chan struct{})
}
