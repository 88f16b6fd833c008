package lease

import (
	"slices"
	"time"
)

// closing is the state of a closing under the present version.
type closing struct {
	reason string
	proof  Proof
	// proposed says that the lessor has proposed to close and not withdrawn.
	proposed bool
	// joined lists the lessors known to have stopped for good under the present version.
	joined []string
	// leadSince and leadUntil are the bounds of the lead given up when the
	// closing was proposed, both zero where there was none.
	leadSince time.Duration
	leadUntil time.Duration
	// due is when every lease that may have been granted has ended.
	due time.Duration
	at  time.Duration
}

// StartClose stops leading and consenting and returns a request to be sent to
// Peers. A lessor that has joined another's closing may call it to bring the
// closing to its end itself. Calling it again returns the request again; a
// proof takes effect when it is first passed. It is false where the lessor
// must not close: it is not sealed, retired, or the session is closed.
func (l *Lessor) StartClose(now time.Duration, reason string, proof Proof) (CloseRequest, bool) {
	l.advance(now)
	if !l.actsSealed() || l.phase == PhaseClosed || l.phase == PhaseRetired {
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

// propose stops the lessor's own actions.
func (l *Lessor) propose(reason string) {
	l.closing.proposed = true
	l.closing.reason = reason
	if l.phase != PhaseActive {
		return
	}
	l.giveUpLead()
	l.phase = PhaseProposing
}

// giveUpLead ends the lead and keeps its bounds for the waits of the closing.
func (l *Lessor) giveUpLead() {
	if l.leading() {
		l.closing.leadSince = l.leadSince
		l.closing.leadUntil = l.leadUntil
	}
	l.dropLead()
}

// HandleClose answers another lessor's closing. To join means to stop leading,
// asking and consenting under the present version for good. A lessor does not
// join while a third one leads or it leads itself: the proposer may have been
// cut off from a server that is well. It joins later if the lead lapses.
func (l *Lessor) HandleClose(now time.Duration, request CloseRequest) CloseReply {
	l.advance(now)
	if request.Session == l.session {
		l.observe(request.From, request.Version, true)
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

// join stops the lessor's own actions for good on another's request.
func (l *Lessor) join(request CloseRequest) {
	if !l.actsSealed() || request.Version != l.version || !l.isMember(request.From) {
		return
	}
	switch l.phase {
	case PhaseActive:
		if holder := l.holder(); holder != "" && holder != request.From {
			return
		}
		l.dropLead()
		l.closing.reason = request.Reason
		l.phase = PhaseJoined
	case PhaseProposing:
		l.phase = PhaseJoined
	}
}

// hasJoined reports whether the lessor has stopped for good under its version.
func (l *Lessor) hasJoined() bool {
	return l.phase == PhaseJoined || l.phase == PhaseClosing || l.phase == PhaseClosed
}

// OnCloseReply takes in an answer to a closing. An answer under another version
// counts for nothing. A late answer to an earlier proposal of the same version
// does count, since its sender stopped for good.
func (l *Lessor) OnCloseReply(now time.Duration, reply CloseReply) {
	l.advance(now)
	if reply.Session != l.session {
		return
	}
	l.observe(reply.From, reply.Version, reply.Joined)
	l.adopt(reply.Outcome)
	if reply.Version != l.version || !l.isMember(reply.From) {
		return
	}
	if !reply.Joined {
		l.yieldToHolder(now, reply.Holder)
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

// yieldToHolder withdraws the own proposal where another lessor leads. That one
// closes the session itself if need be.
func (l *Lessor) yieldToHolder(now time.Duration, holder string) {
	if holder != "" && holder != l.self {
		l.Withdraw(now)
	}
}

// countJoined starts the waits once a quorum, the lessor itself included, has stopped.
func (l *Lessor) countJoined() {
	if l.phase != PhaseProposing && l.phase != PhaseJoined {
		return
	}
	if len(l.closing.joined)+1 < Quorum(len(l.members)) {
		return
	}
	l.closing.due = l.leasesOver()
	l.phase = PhaseClosing
}

// leasesOver returns when every lease that may have been granted has ended,
// as seen when the quorum is complete.
//
// In general another lessor may lead by a consent that a member of the quorum
// gave just before it stopped, and base a last lease on a reading taken just
// before that lead ends.
//
// Where the own lead, given up for this closing, would still run, no other lead
// can exist, nor come into being: a consent given before the quorum was
// complete excludes it. Then only the own leases count, and those of leads
// before, which were based on readings taken before the own lead began.
func (l *Lessor) leasesOver() time.Duration {
	lead, lease := l.closingWaits()
	if l.now < l.closing.leadUntil || l.faults.shortWaitAlways && l.closing.leadUntil > 0 {
		return l.ownLeasesOver(lease)
	}
	return l.now + l.outlast(lead+lease)
}

// ownLeasesOver returns when the leases of the lead given up for the closing,
// and of every lead before it, have ended.
func (l *Lessor) ownLeasesOver(lease time.Duration) time.Duration {
	if l.faults.noLeaseWait {
		return l.now
	}
	if l.faults.noEarlierLeads {
		return l.leasesEnd
	}
	return max(l.leasesEnd, l.closing.leadSince+l.outlast(lease))
}

// finishClosing ends the closing once its waits are over.
func (l *Lessor) finishClosing() {
	if l.phase != PhaseClosing {
		return
	}
	if l.closing.proof == ProofNone && l.now < l.closing.due {
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

// adopt takes over an outcome that another lessor reports.
func (l *Lessor) adopt(outcome *Closing) {
	if outcome == nil || outcome.Session != l.session || l.phase == PhaseClosed {
		return
	}
	l.dropLead()
	l.version = outcome.Version
	l.close(outcome)
}

func (l *Lessor) close(outcome *Closing) {
	l.outcome = outcome
	l.closing.at = l.now
	l.phase = PhaseClosed
}

// Closed reports whether the session is closed, so that the successors of its
// slices at Version may be activated.
func (l *Lessor) Closed(now time.Duration) bool {
	l.advance(now)
	return l.phase == PhaseClosed
}

// ClosedAt returns when the lessor found the session closed.
func (l *Lessor) ClosedAt() (time.Duration, bool) {
	return l.closing.at, l.phase == PhaseClosed
}

// Withdraw takes back an own proposal that no one has answered. A lessor that
// has answered another's closing cannot withdraw.
func (l *Lessor) Withdraw(now time.Duration) bool {
	l.advance(now)
	if l.phase != PhaseProposing || len(l.closing.joined) > 0 {
		return false
	}
	l.closing = closing{}
	l.phase = PhaseActive
	return true
}
