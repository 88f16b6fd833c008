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
}

// outlast returns a duration on the own clock that is not shorter than d on any other clock.
func (l *Lessor) outlast(d time.Duration) time.Duration {
	if l.faults.noDrift {
		return d
	}
	return l.cfg.outlast(d)
}
