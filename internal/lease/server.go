package lease

import "time"

// OnServerClock takes in a clock reading from a reply of the session's own
// incarnation of the server. receivedAt is when the reply was received.
func (l *Lessor) OnServerClock(receivedAt time.Duration, clockMS int64) {
	l.advance(receivedAt)
	if l.clock.known && clockMS <= l.clock.clockMS {
		return
	}
	l.clock = clockReading{known: true, clockMS: clockMS, receivedAt: receivedAt}
}

// NextLease returns the end of the next lease on the server's clock. It is
// false unless the lessor leads and has a reading of the server's clock. A
// grant that is delayed after this call extends nothing: the end is fixed by
// the reading, which was taken earlier.
func (l *Lessor) NextLease(now time.Duration) (validUntilMS int64, ok bool) {
	l.advance(now)
	if !l.leading() || !l.clock.known {
		return 0, false
	}
	base := l.clock.clockMS
	if l.faults.leaseFromSending {
		base += (l.now - l.clock.receivedAt).Milliseconds()
	}
	ends := l.clock.receivedAt + l.outlast(l.cfg.LeaseTTL)
	l.leasesEnd = max(l.leasesEnd, ends)
	return base + l.cfg.LeaseTTL.Milliseconds(), true
}
