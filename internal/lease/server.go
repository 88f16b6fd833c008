package lease

import "time"

// OnServerClock records the server's clock, in milliseconds, from a reply of the
// session's incarnation of the server. receivedAt is when the reply was received.
// A reading that is not newer than the last one is ignored.
func (l *Lessor) OnServerClock(receivedAt time.Duration, clockMS int64) {
	l.advance(receivedAt)
	if l.serverClock.known && clockMS <= l.serverClock.clockMS {
		return
	}
	l.serverClock = clockReading{known: true, clockMS: clockMS, receivedAt: receivedAt}
}

// NextLease returns the end of the next lease in milliseconds of the server's
// clock. It returns false unless the lessor is primary and has a reading of that
// clock. A grant that is delayed after this call does not extend the lease,
// because the end is computed from the earlier reading.
func (l *Lessor) NextLease(now time.Duration) (validUntilMS int64, ok bool) {
	l.advance(now)
	if !l.isPrimary() || !l.serverClock.known {
		return 0, false
	}
	base := l.serverClock.clockMS
	if l.faults.leaseFromSending {
		base += (l.now - l.serverClock.receivedAt).Milliseconds()
	}
	ends := l.serverClock.receivedAt + l.withDrift(l.cfg.LeaseTTL)
	l.leasesEnd = max(l.leasesEnd, ends)
	return base + l.cfg.LeaseTTL.Milliseconds(), true
}
