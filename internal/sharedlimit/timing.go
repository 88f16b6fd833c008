package sharedlimit

import "time"

// Timing holds the times that make the shares safe. Its methods add a margin for the drift between two clocks.
type Timing struct {
	// Lease is how long a share holds from the time of asking.
	Lease time.Duration
	// MaxPlanAge is how long ago the plan may last have been verified to be the newest for its leader to answer asks.
	MaxPlanAge time.Duration
}

// DefaultTiming is the timing of production. The lease is longer than the network cuts and store outages of 4 to 9 s
// that hosts must tolerate. A plan is verified at least every 2 s, as that is how long a read waits for a change.
var DefaultTiming = Timing{Lease: 10 * time.Second, MaxPlanAge: 4 * time.Second}

// clockDrift is the most by which one host's clock runs faster than another's, in parts of the time.
const clockDrift = 0.02

// longestByOtherClock returns the longest time that d can last by another host's clock.
func longestByOtherClock(d time.Duration) time.Duration {
	return d + time.Duration(clockDrift*float64(d))
}

// reserved is how long the allocator counts a share after its last answer to the holder. It is longer than the lease:
// a former leader must not free a share that its holder has reported to the new one, before it stops answering.
func (t Timing) reserved() time.Duration {
	return longestByOtherClock(t.Lease + t.MaxPlanAge)
}

// settling is how long a new leader does not know which shares hosts hold that have not reported to it: the former
// leader may answer until MaxPlanAge after the change, and its last leases follow.
func (t Timing) settling() time.Duration {
	return longestByOtherClock(t.Lease + t.MaxPlanAge)
}

// handover is how long a leader must have been in office for all shares that it gave while settling to have ended.
func (t Timing) handover() time.Duration {
	return 2 * t.settling()
}

// SettledTotal is the part of a limit that a settled allocator allocates. The rest is for a new leader, which gives it
// while it does not yet know how much is free. 8% of the limit is what the callers of one lost host need, one in eleven
// of an account at 1/1.6 of its limit, and a little more.
const SettledTotal = 1 / 1.08
