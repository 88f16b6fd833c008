package lease

import "time"

// faults disables single rules of the protocol, so that mutation tests can show
// that the models detect the violation. All are false outside tests.
type faults struct {
	// noLeadWait and noLeaseWait shorten the wait of a closing by LeadTTL or LeaseTTL.
	noLeadWait  bool
	noLeaseWait bool
	// noDrift adds no drift to any duration.
	noDrift bool
	// forgetConsent gives consent without recording it.
	forgetConsent bool
	// retireJoined lets a lessor that has joined a closing move on to a newer version.
	retireJoined bool
	// leaseFromSending counts a lease from the time of sending, not from the clock reading.
	leaseFromSending bool
	// ignoreEarlierPrimaries omits leases of earlier primaries from the wait of a closing.
	ignoreEarlierPrimaries bool
	// shortWaitAlways waits only for the known leases although the proposer's time as primary has expired.
	shortWaitAlways bool
	// closeUnsealed lets lessors of an unsealed set close the session.
	closeUnsealed bool
	// ignoreFormerSets lets a lessor be primary without a quorum of the former sets.
	ignoreFormerSets bool
	// acceptLateYield lets a late Yield end a newer consent.
	acceptLateYield bool
}

// withDrift lengthens d by the configured drift bound.
func (l *Lessor) withDrift(d time.Duration) time.Duration {
	if l.faults.noDrift {
		return d
	}
	return l.cfg.withDrift(d)
}

// closingWaits returns how long, after a quorum has joined, another lessor may
// stay primary, and how long a lease granted by it may last after that.
func (l *Lessor) closingWaits() (leadWait, leaseWait time.Duration) {
	leadWait, leaseWait = l.cfg.LeadTTL, l.cfg.LeaseTTL
	if l.faults.noLeadWait {
		leadWait = 0
	}
	if l.faults.noLeaseWait {
		leaseWait = 0
	}
	return leadWait, leaseWait
}

// mayClose reports whether the lessor may take part in a closing: its set is sealed.
func (l *Lessor) mayClose() bool {
	return l.sealed || l.faults.closeUnsealed
}
