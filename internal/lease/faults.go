package lease

import "time"

// faults leaves out single rules of the protocol, so that tests can show that
// the model of the protocol notices. All are false outside tests.
type faults struct {
	noLeadWait       bool
	noLeaseWait      bool
	noDrift          bool
	forgetPromise    bool
	retireJoined     bool
	leaseFromSending bool
	noEarlierLeads   bool
	shortWaitAlways  bool
	closeUnsealed    bool
	forgetFormers    bool
	yieldAnything    bool
}

// outlast returns a duration on the own clock that is not shorter than d on any other clock.
func (l *Lessor) outlast(d time.Duration) time.Duration {
	if l.faults.noDrift {
		return d
	}
	return l.cfg.outlast(d)
}

// closingWaits returns how long a lead and a lease may last after a quorum has stopped.
func (l *Lessor) closingWaits() (lead, lease time.Duration) {
	lead, lease = l.cfg.LeadTTL, l.cfg.LeaseTTL
	if l.faults.noLeadWait {
		lead = 0
	}
	if l.faults.noLeaseWait {
		lease = 0
	}
	return lead, lease
}

// actsSealed reports whether the lessor may close as one of a sealed set.
func (l *Lessor) actsSealed() bool {
	return l.sealed || l.faults.closeUnsealed
}
