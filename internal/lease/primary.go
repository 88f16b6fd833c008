package lease

import (
	"slices"
	"time"
)

// RequestPrimary counts the lessor's consent to itself and returns a request for
// consent to be sent to Peers. It returns false while the lessor must not become
// primary: it is closing or retired, it has consented to another lessor, or a
// former set of lessors that it does not know may still have a primary.
func (l *Lessor) RequestPrimary(now time.Duration) (LeadRequest, bool) {
	now = l.advance(now)
	if l.phase != PhaseActive || l.formerSetUnknown || l.consentedToOther() {
		return LeadRequest{}, false
	}
	l.countConsent(l.self, now)
	request := l.leadRequest()
	request.Asked = now
	return request, true
}

// leadRequest returns a request with the version for which the lessor acts.
func (l *Lessor) leadRequest() LeadRequest {
	return LeadRequest{
		From:    l.self,
		Session: l.session,
		Version: l.version,
		Sealed:  l.sealed,
	}
}

// HandleLead answers another lessor's request for consent, or ends the consent to
// a primary that has stepped down.
func (l *Lessor) HandleLead(now time.Duration, request LeadRequest) LeadReply {
	l.advance(now)
	if request.Session != l.session {
		return l.leadReply()
	}
	l.recordPeer(request.From, request.Version, request.Sealed)
	if request.Yield {
		l.revokeConsent(request)
		return l.leadReply()
	}
	granted := l.mayConsent(request)
	if granted {
		l.grantConsent(request)
	}
	reply := l.leadReply()
	reply.Granted = granted
	return reply
}

// mayConsent reports whether the lessor may consent to the request. A request
// from an older version is accepted as long as both versions have the same set
// of lessors, because consent is exclusive across versions. A requester that
// knows only an older set is rejected: it would not need a quorum of the present one.
func (l *Lessor) mayConsent(request LeadRequest) bool {
	if l.phase != PhaseActive || !l.isMember(request.From) || request.Version < l.membersSince {
		return false
	}
	if l.isPrimary() || l.now < l.noConsentUntil {
		return false
	}
	return !l.consentedToOther() || l.givenConsent.to == request.From
}

// grantConsent records the consent to the requester. It ends here later than at
// the requester: the requester counts LeadTTL from before it sent the request,
// this lessor counts LeadTTL plus drift from the request's arrival.
func (l *Lessor) grantConsent(request LeadRequest) {
	if l.faults.forgetConsent {
		return
	}
	asked := request.Asked
	if l.givenConsent.to == request.From {
		asked = max(asked, l.givenConsent.asked)
	}
	l.givenConsent = givenConsent{
		to:    request.From,
		until: l.now + l.withDrift(l.cfg.LeadTTL),
		asked: asked,
	}
}

// revokeConsent ends the consent to a primary that has stepped down. A Yield that
// arrives after a later request of the same lessor was granted has no effect.
func (l *Lessor) revokeConsent(request LeadRequest) {
	if l.givenConsent.to != request.From {
		return
	}
	if l.givenConsent.asked <= request.Asked || l.faults.acceptLateYield {
		l.givenConsent = givenConsent{}
	}
}

// leadReply returns a reply that grants no consent and reports the lessor's state.
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
	case l.consentedToOther():
		reply.RetryIn = l.givenConsent.until - l.now
	case l.now < l.noConsentUntil:
		reply.RetryIn = l.noConsentUntil - l.now
	case l.isPrimary():
		reply.RetryIn = l.primaryUntil - l.now
	}
	return reply
}

// OnLeadReply handles an answer to the request that RequestPrimary returned at askedAt.
func (l *Lessor) OnLeadReply(now, askedAt time.Duration, reply LeadReply) {
	l.advance(now)
	if reply.Session != l.session {
		return
	}
	l.recordPeer(reply.From, reply.Version, reply.Sealed)
	l.adoptOutcome(reply.Outcome)
	if reply.Granted && reply.From != l.self {
		l.countConsent(reply.From, askedAt)
	}
}

// countConsent records a lessor's consent, which lasts LeadTTL from the time
// before it was requested. Consent requested before the lessor stepped down is ignored.
func (l *Lessor) countConsent(from string, askedAt time.Duration) {
	if l.phase != PhaseActive || l.steppedDown && askedAt <= l.steppedDownAt {
		return
	}
	l.consentEnds[from] = max(l.consentEnds[from], askedAt+l.cfg.LeadTTL)
	l.extendPrimary()
}

// extendPrimary recomputes until when the lessor is primary.
func (l *Lessor) extendPrimary() {
	until := l.consentsUntil()
	if until <= l.now || l.consentedToOther() {
		return
	}
	if l.now >= l.primaryUntil {
		l.primarySince = l.now
	}
	l.primaryUntil = max(l.primaryUntil, until)
}

// consentsUntil returns until when the consents form a quorum of every required
// set; zero if a former set is not known.
func (l *Lessor) consentsUntil() time.Duration {
	if l.formerSetUnknown {
		return 0
	}
	until := time.Duration(1<<63 - 1)
	for _, set := range l.requiredSets() {
		until = min(until, l.quorumUntil(set))
	}
	return until
}

// quorumUntil returns until when the consents form a quorum of one set of lessors.
func (l *Lessor) quorumUntil(set []string) time.Duration {
	ends := make([]time.Duration, 0, len(set))
	for _, name := range set {
		ends = append(ends, l.consentEnds[name])
	}
	slices.Sort(ends)
	return ends[len(ends)-Quorum(len(set))]
}

// IsPrimary reports whether the lessor may act as primary at now.
func (l *Lessor) IsPrimary(now time.Duration) bool {
	l.advance(now)
	return l.isPrimary()
}

func (l *Lessor) isPrimary() bool {
	return l.phase == PhaseActive && l.now < l.primaryUntil && !l.consentedToOther()
}

// PrimaryUntil returns when the lessor stops being primary unless consents are renewed.
func (l *Lessor) PrimaryUntil() time.Duration { return l.primaryUntil }

// Holder returns the lessor that has this lessor's consent at now: another
// lessor, this one if it is primary, or "" for none.
func (l *Lessor) Holder(now time.Duration) string {
	l.advance(now)
	return l.holder()
}

func (l *Lessor) holder() string {
	switch {
	case l.consentedToOther():
		return l.givenConsent.to
	case l.isPrimary():
		return l.self
	default:
		return ""
	}
}

// consentedToOther reports whether the lessor has consented to another lessor.
func (l *Lessor) consentedToOther() bool {
	return l.givenConsent.to != "" && l.now < l.givenConsent.until
}

// StepDown makes a primary stop being primary at once. The caller must already
// have stopped acting as primary. The returned request is sent to Peers so that
// another lessor can become primary without waiting for the consents to expire.
// It returns false if the lessor is not primary.
func (l *Lessor) StepDown(now time.Duration) (LeadRequest, bool) {
	now = l.advance(now)
	if !l.isPrimary() {
		return LeadRequest{}, false
	}
	l.clearPrimary()
	l.steppedDown = true
	l.steppedDownAt = now
	request := l.leadRequest()
	request.Asked = now
	request.Yield = true
	return request, true
}

// clearPrimary discards every counted consent, so that the lessor is not primary.
func (l *Lessor) clearPrimary() {
	clear(l.consentEnds)
	l.primaryUntil = 0
}
