// Package grants holds the calls by which backend servers get and lose keys, and
// the times that bound how long a grant can last.
package grants

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// ErrFenced reports that a server has seen a higher fence on one of the keys.
var ErrFenced = errors.New("grants: a higher fence was seen")

// Grant gives keys to a server for a time that counts from the arrival of the call.
type Grant struct {
	Range    keyrange.Range
	Fence    assign.Fence
	Hold     time.Duration
	Handover string
}

// Granter calls backend servers. A call that ends with an error may have been
// carried out, or may still be until its connection is known to be reset.
type Granter interface {
	// Grant gives or renews keys. The error is ErrFenced where the server refuses.
	Grant(ctx context.Context, server assign.Server, grant Grant) error
	// Release ends new work on keys at once. It returns the handover when the work on them has ended.
	Release(ctx context.Context, server assign.Server, keys keyrange.Range, fence assign.Fence) (handover string, err error)
}

// Timing bounds how long grants last.
type Timing struct {
	// Hold is the time of a grant.
	Hold time.Duration
	// RenewEvery is the time between two renewals by one host.
	RenewEvery time.Duration
	// CallTimeout is when a host gives a call up and resets its connection.
	CallTimeout time.Duration
	// ContactLost is how long after a server's last answer a host goes on renewing a grant. It
	// is shorter than a restart of a server, whose new life must not get an old grant.
	ContactLost time.Duration
	// StaleAfter is how long a host renews without having confirmed that its plan is the newest.
	StaleAfter time.Duration
}

// DefaultTiming returns the times in use.
func DefaultTiming() Timing {
	return Timing{
		Hold:        4 * time.Second,
		RenewEvery:  800 * time.Millisecond,
		CallTimeout: 400 * time.Millisecond,
		ContactLost: 1500 * time.Millisecond,
		StaleAfter:  12 * time.Second,
	}
}

const (
	// clockDrift is how much slower a server's clock may run.
	clockDrift = 0.02
	// margin covers scheduling of the processes that send and receive.
	margin = 200 * time.Millisecond
)

// Outlives is the longest time for which keys can be held after the last grant for them was sent.
func (t Timing) Outlives() time.Duration {
	return t.CallTimeout + t.Hold + time.Duration(float64(t.Hold)*clockDrift) + margin
}

// SilentAfter is the longest time after which a host that cannot learn of a new plan has stopped renewing.
func (t Timing) SilentAfter() time.Duration {
	return t.StaleAfter + time.Duration(float64(t.StaleAfter)*clockDrift)
}
