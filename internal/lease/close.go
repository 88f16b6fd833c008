package lease

import (
	"slices"
	"time"
)

// closing is the progress of a closing under the present version.
type closing struct {
	reason string
	proof  Proof
	// proposed reports that the lessor has proposed to close and not withdrawn.
	proposed bool
	// joined lists the other lessors known to have stopped for good under the present version.
	joined []string
	// primarySince and primaryUntil are the times between which this lessor would have
	// been primary if it had not proposed the closing; both zero if it was not primary.
	primarySince time.Duration
	primaryUntil time.Duration
	// waitUntil is when every lease that may have been granted has ended.
	waitUntil time.Duration
	closedAt  time.Duration
}

// StartClose proposes to close the session: the lessor stops acting as primary
// and giving consent. It returns the request to be sent to Peers. A lessor that
// has joined another's closing may call it to complete the closing itself.
// Calling it again returns the request again; the strongest proof passed so far
// counts. It returns false if the lessor is not sealed, is retired, or the
// session is closed.
func (l *Lessor) StartClose(now time.Duration, reason string, proof Proof) (CloseRequest, bool) {
	l.advance(now)
	if !l.mayClose() || l.phase == PhaseClosed || l.phase == PhaseRetired {
		return CloseRequest{}, false
	}
	if !l.closing.proposed {
		l.propose(reason)
	}
	l.closing.proof = max(l.closing.proof, proof)
	l.countJoined()
	l.finishClosing()
	return CloseRequest{From: l.self, Session: l.session, Version: l.version, Reason: reason}, true
}

// propose starts a proposal and ends this lessor's time as primary.
func (l *Lessor) propose(reason string) {
	l.closing.proposed = true
	l.closing.reason = reason
	if l.phase != PhaseActive {
		return
	}
	l.giveUpPrimary()
	l.phase = PhaseProposing
}

// giveUpPrimary ends this lessor's time as primary. allLeasesEnd needs to know when
// that time began and when it would have ended, so both are kept.
func (l *Lessor) giveUpPrimary() {
	if l.isPrimary() {
		l.closing.primarySince = l.primarySince
		l.closing.primaryUntil = l.primaryUntil
	}
	l.clearPrimary()
}

// HandleClose answers another lessor's proposal to close. A lessor that joins
// neither acts as primary nor requests or gives consent under the present version
// again. It does not join while it is primary or has consented to a third lessor:
// the proposer may be partitioned from a server that still works. It can join once
// that consent has expired.
func (l *Lessor) HandleClose(now time.Duration, request CloseRequest) CloseReply {
	l.advance(now)
	if request.Session == l.session {
		l.recordPeer(request.From, request.Version, true)
		l.join(request)
	}
	return CloseReply{
		From:    l.self,
		Session: l.session,
		Version: l.version,
		Joined:  l.hasJoined(),
		Holder:  l.holder(),
		Phase:   l.phase,
		Outcome: l.outcome,
	}
}

// join makes the lessor join another lessor's closing, unless the request is for
// another version or a lessor other than the requester has this lessor's consent.
func (l *Lessor) join(request CloseRequest) {
	if !l.mayClose() || request.Version != l.version || !l.isMember(request.From) {
		return
	}
	switch l.phase {
	case PhaseActive:
		if holder := l.holder(); holder != "" && holder != request.From {
			return
		}
		l.clearPrimary()
		l.closing.reason = request.Reason
		l.phase = PhaseJoined
	case PhaseProposing:
		l.phase = PhaseJoined
	}
}

// hasJoined reports whether the lessor has joined a closing under its version for good.
func (l *Lessor) hasJoined() bool {
	return l.phase == PhaseJoined || l.phase == PhaseClosing || l.phase == PhaseClosed
}

// OnCloseReply handles an answer to a proposal to close. An answer under another
// version does not count. A late answer to an earlier proposal of the same
// version does, because its sender stopped for good.
func (l *Lessor) OnCloseReply(now time.Duration, reply CloseReply) {
	l.advance(now)
	if reply.Session != l.session {
		return
	}
	l.recordPeer(reply.From, reply.Version, reply.Joined)
	l.adoptOutcome(reply.Outcome)
	if reply.Version != l.version || !l.isMember(reply.From) {
		return
	}
	if !reply.Joined {
		l.withdrawForHolder(now, reply.Holder)
		return
	}
	if l.phase != PhaseProposing && l.phase != PhaseJoined {
		return
	}
	if !slices.Contains(l.closing.joined, reply.From) {
		l.closing.joined = append(l.closing.joined, reply.From)
	}
	l.countJoined()
	l.finishClosing()
}

// withdrawForHolder withdraws the proposal if the answering lessor has consented to
// another lessor. That lessor closes the session itself if the server has failed.
func (l *Lessor) withdrawForHolder(now time.Duration, holder string) {
	if holder != "" && holder != l.self {
		l.Withdraw(now)
	}
}

// countJoined starts the wait for the leases once a quorum, this lessor included, has joined.
func (l *Lessor) countJoined() {
	if l.phase != PhaseProposing && l.phase != PhaseJoined {
		return
	}
	if len(l.closing.joined)+1 < Quorum(len(l.members)) {
		return
	}
	l.closing.waitUntil = l.allLeasesEnd()
	l.phase = PhaseClosing
}

// allLeasesEnd returns when every lease that may have been granted has ended. It
// is called when the quorum is complete.
//
// In general another lessor may be primary by a consent that a member of the
// quorum gave just before it joined. That primary may base its last lease on a
// clock reading taken just before its time as primary ends. The wait is
// therefore LeadTTL + LeaseTTL, with drift.
//
// If this lessor was primary when it proposed, and would still be, no other
// primary exists or can arise: consents given to this lessor before the quorum was
// complete exclude it. Then only its own leases count and those of earlier
// primaries, which were based on readings taken before this lessor became primary.
func (l *Lessor) allLeasesEnd() time.Duration {
	leadWait, leaseWait := l.closingWaits()
	if l.now < l.closing.primaryUntil || l.faults.shortWaitAlways && l.closing.primaryUntil > 0 {
		return l.ownLeasesEnd(leaseWait)
	}
	return l.now + l.withDrift(leadWait+leaseWait)
}

// ownLeasesEnd returns when the leases of this lessor, which was primary when it
// proposed the closing, and of every earlier primary have ended.
func (l *Lessor) ownLeasesEnd(leaseWait time.Duration) time.Duration {
	if l.faults.noLeaseWait {
		return l.now
	}
	if l.faults.ignoreEarlierPrimaries {
		return l.leasesEnd
	}
	return max(l.leasesEnd, l.closing.primarySince+l.withDrift(leaseWait))
}

// finishClosing closes the session once every lease has ended, or at once if
// there is proof that the server has ended the session.
func (l *Lessor) finishClosing() {
	if l.phase != PhaseClosing {
		return
	}
	if l.closing.proof == ProofNone && l.now < l.closing.waitUntil {
		return
	}
	by := append([]string{l.self}, l.closing.joined...)
	slices.Sort(by)
	l.close(&Closing{
		Session: l.session,
		Version: l.version,
		By:      by,
		Reason:  l.closing.reason,
		Proof:   l.closing.proof,
	})
}

// adoptOutcome closes the session with an outcome that another lessor reports.
func (l *Lessor) adoptOutcome(outcome *Closing) {
	if outcome == nil || outcome.Session != l.session || l.phase == PhaseClosed {
		return
	}
	l.clearPrimary()
	l.version = outcome.Version
	l.close(outcome)
}

func (l *Lessor) close(outcome *Closing) {
	l.outcome = outcome
	l.closing.closedAt = l.now
	l.phase = PhaseClosed
}

// Closed reports whether the session is closed, so that the successors of its
// slices at Version may be activated.
func (l *Lessor) Closed(now time.Duration) bool {
	l.advance(now)
	return l.phase == PhaseClosed
}

// ClosedAt returns the lessor's time at which it found the session closed, and
// whether it has.
func (l *Lessor) ClosedAt() (time.Duration, bool) {
	return l.closing.closedAt, l.phase == PhaseClosed
}

// Withdraw cancels this lessor's proposal if no other lessor is known to have
// joined it. A lessor that has joined another's closing cannot withdraw.
func (l *Lessor) Withdraw(now time.Duration) bool {
	l.advance(now)
	if l.phase != PhaseProposing || len(l.closing.joined) > 0 {
		return false
	}
	l.closing = closing{}
	l.phase = PhaseActive
	return true
}
