package lease

import (
	"slices"
	"time"
)

// AskLead returns a request for consent to be sent to Peers and notes the time of
// asking. It returns false while the lessor must not ask: it is closing or
// retired, it has promised its consent to another, or it cannot know yet that
// no lead of a former set of lessors is left.
func (l *Lessor) AskLead(now time.Duration) (LeadRequest, bool) {
	now = l.advance(now)
	if l.phase != PhaseActive || l.formersUnknown || l.promisedToOther() {
		return LeadRequest{}, false
	}
	l.consent(l.self, now)
	request := l.leadRequest()
	request.Asked = now
	return request, true
}

// leadRequest returns a request that tells for which version the lessor acts.
func (l *Lessor) leadRequest() LeadRequest {
	return LeadRequest{
		From:    l.self,
		Session: l.session,
		Version: l.version,
		Sealed:  l.sealed,
	}
}

// HandleLead answers another lessor's request for consent.
func (l *Lessor) HandleLead(now time.Duration, request LeadRequest) LeadReply {
	l.advance(now)
	if request.Session != l.session {
		return l.leadReply()
	}
	l.observe(request.From, request.Version, request.Sealed)
	if request.Yield {
		l.takeBack(request)
		return l.leadReply()
	}
	granted := l.mayConsent(request)
	if granted {
		l.give(request)
	}
	reply := l.leadReply()
	reply.Granted = granted
	return reply
}

// mayConsent reports whether consent may be given. The version of the request
// may be older than the own one, as long as it names the same set of lessors: a
// promise is exclusive whatever the versions, but an asker that knows only an
// older set does not count by the present one.
func (l *Lessor) mayConsent(request LeadRequest) bool {
	if l.phase != PhaseActive || !l.isMember(request.From) || request.Version < l.membersSince {
		return false
	}
	if l.leading() || l.now < l.muteUntil {
		return false
	}
	return !l.promisedToOther() || l.promise.to == request.From
}

// give promises consent to the asker. The promise outlasts the asker's count,
// which began before it asked.
func (l *Lessor) give(request LeadRequest) {
	if l.faults.forgetPromise {
		return
	}
	asked := request.Asked
	if l.promise.to == request.From {
		asked = max(asked, l.promise.asked)
	}
	l.promise = promise{
		to:    request.From,
		until: l.now + l.outlast(l.cfg.LeadTTL),
		asked: asked,
	}
}

// takeBack ends the promise to a lead that yields. A yield that arrives after a
// later request of the same lessor was granted has no effect.
func (l *Lessor) takeBack(request LeadRequest) {
	if l.promise.to != request.From {
		return
	}
	if l.promise.asked <= request.Asked || l.faults.yieldAnything {
		l.promise = promise{}
	}
}

// leadReply returns a refusal that tells the lessor's state.
func (l *Lessor) leadReply() LeadReply {
	reply := LeadReply{
		From:    l.self,
		Session: l.session,
		Version: l.version,
		Sealed:  l.sealed,
		Holder:  l.holder(),
		Phase:   l.phase,
		Outcome: l.outcome,
	}
	switch {
	case l.promisedToOther():
		reply.RetryIn = l.promise.until - l.now
	case l.now < l.muteUntil:
		reply.RetryIn = l.muteUntil - l.now
	case l.leading():
		reply.RetryIn = l.leadUntil - l.now
	}
	return reply
}

// OnLeadReply takes in an answer to the request that AskLead returned at askedAt.
func (l *Lessor) OnLeadReply(now, askedAt time.Duration, reply LeadReply) {
	l.advance(now)
	if reply.Session != l.session {
		return
	}
	l.observe(reply.From, reply.Version, reply.Sealed)
	l.adopt(reply.Outcome)
	if reply.Granted && reply.From != l.self {
		l.consent(reply.From, askedAt)
	}
}

// consent counts a lessor's consent, which lasts LeadTTL from before it was asked for.
func (l *Lessor) consent(from string, askedAt time.Duration) {
	if l.phase != PhaseActive || l.yielded && askedAt <= l.yieldedAt {
		return
	}
	l.consents[from] = max(l.consents[from], askedAt+l.cfg.LeadTTL)
	l.extendLead()
}

// extendLead recomputes until when the lessor leads.
func (l *Lessor) extendLead() {
	until := l.consentsUntil()
	if until <= l.now || l.promisedToOther() {
		return
	}
	if l.now >= l.leadUntil {
		l.leadSince = l.now
	}
	l.leadUntil = max(l.leadUntil, until)
}

// consentsUntil returns until when the consents form a quorum of the present
// set of lessors and of every former set that still counts.
func (l *Lessor) consentsUntil() time.Duration {
	if l.formersUnknown {
		return 0
	}
	until := time.Duration(1<<63 - 1)
	for _, set := range l.sets() {
		until = min(until, l.quorumUntil(set))
	}
	return until
}

// quorumUntil returns until when the consents form a quorum of one set of lessors.
func (l *Lessor) quorumUntil(set []string) time.Duration {
	ends := make([]time.Duration, 0, len(set))
	for _, name := range set {
		ends = append(ends, l.consents[name])
	}
	slices.Sort(ends)
	return ends[len(ends)-Quorum(len(set))]
}

// IsLead reports whether the lessor may lead at now.
func (l *Lessor) IsLead(now time.Duration) bool {
	l.advance(now)
	return l.leading()
}

func (l *Lessor) leading() bool {
	return l.phase == PhaseActive && l.now < l.leadUntil && !l.promisedToOther()
}

// LeadUntil returns when the lead ends unless it is extended.
func (l *Lessor) LeadUntil() time.Duration { return l.leadUntil }

// Holder returns the lessor to which the own consent belongs at now: itself
// where it leads, or the one to which it is promised, or "".
func (l *Lessor) Holder(now time.Duration) string {
	l.advance(now)
	return l.holder()
}

func (l *Lessor) holder() string {
	switch {
	case l.promisedToOther():
		return l.promise.to
	case l.leading():
		return l.self
	default:
		return ""
	}
}

// promisedToOther reports whether the consent is promised to another lessor.
func (l *Lessor) promisedToOther() bool {
	return l.promise.to != "" && l.now < l.promise.until
}

// YieldLead ends the lead at once. The caller must have stopped using it. The
// request returned is sent to Peers so that another may lead without delay; it
// is false where there was nothing to yield.
func (l *Lessor) YieldLead(now time.Duration) (LeadRequest, bool) {
	now = l.advance(now)
	if !l.leading() {
		return LeadRequest{}, false
	}
	l.dropLead()
	l.yielded = true
	l.yieldedAt = now
	request := l.leadRequest()
	request.Asked = now
	request.Yield = true
	return request, true
}

// dropLead forgets every consent that was counted.
func (l *Lessor) dropLead() {
	clear(l.consents)
	l.leadUntil = 0
}
