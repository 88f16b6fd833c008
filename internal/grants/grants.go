// Package grants defines the calls by which backend servers receive and release key ranges, and
// the times that bound how long a grant can be in force.
//
// A grant is a lease on a key range with a fencing token. Package renew sends and renews grants,
// package leader releases ranges, and package platform implements the calls. The times protect
// against two owners of a key: the leader waits for Timing.RenewalsStopWithin and
// Timing.MaxGrantLifetime before it reassigns the range of a server that does not answer, so
// renewers must keep to the same Timing.
package grants

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// ErrFenced reports that the server refused a grant because it has seen a higher fencing token
// for one of the keys.
var ErrFenced = errors.New("grants: the server has seen a higher fence for one of the keys")

// ErrRefused reports that the server has answered a grant or a release, but has not taken it.
var ErrRefused = errors.New("grants: the server refuses the call")

// Grant is a lease on a key range.
type Grant struct {
	Range keyrange.Range
	Fence assign.Fence
	// TTL is the time to live of the grant, counted from the arrival of the call at the server.
	TTL time.Duration
	// Handover is the opaque value that the former owner returned on release, or empty.
	Handover string
}

// Granter calls backend servers. A call that returns an error may have been carried out, or may
// still be carried out until its connection is known to be reset.
type Granter interface {
	// Connect opens a connection for grants to the server at an address.
	Connect(ctx context.Context, addr string) (Conn, error)
	// Release makes the server accept no new requests for the keys. It returns the handover once
	// the requests in progress have ended. The error is ErrRefused if whoever answers at the address knows no releases: a server
	// that owns keys refuses none.
	Release(ctx context.Context, server assign.Server, keys keyrange.Range, fence assign.Fence) (handover string, err error)
}

// Conn is a connection to one incarnation of a backend server: it ends with it, and never leads to another one. It carries one
// call at a time.
type Conn interface {
	// Grant grants or renews keys. The error is ErrFenced if the server has seen a higher fencing token, and ErrRefused if it
	// refuses the grant for another reason. After any other error the connection has ended.
	Grant(ctx context.Context, server assign.Server, grant Grant) error
	// Ended is closed when the connection has ended.
	Ended() <-chan struct{}
	// Close ends the connection. What has not been sent is discarded.
	Close()
}

// Timing bounds how long grants are in force.
type Timing struct {
	// TTL is the time to live of a grant.
	TTL time.Duration
	// RenewInterval is the time between two renewals of a grant by one host.
	RenewInterval time.Duration
	// CallTimeout is the time after which a host abandons a grant call and resets its connection.
	CallTimeout time.Duration
	// MaxPlanAge is how long a host goes on renewing after it last verified that its plan is the newest.
	MaxPlanAge time.Duration
}

// DefaultTiming returns the times used in production.
func DefaultTiming() Timing {
	return Timing{
		TTL:           4 * time.Second,
		RenewInterval: 800 * time.Millisecond,
		CallTimeout:   400 * time.Millisecond,
		MaxPlanAge:    12 * time.Second,
	}
}

const (
	// maxClockDrift is the fraction by which the clock of a server or host may run slower than the leader's.
	maxClockDrift = 0.02
	// schedulingMargin allows for scheduling delays of the sending and the receiving process.
	schedulingMargin = 200 * time.Millisecond
)

// MaxGrantLifetime returns the longest time for which a server can hold keys after the last
// grant call for them was started.
func (t Timing) MaxGrantLifetime() time.Duration {
	return t.CallTimeout + t.TTL + time.Duration(float64(t.TTL)*maxClockDrift) + schedulingMargin
}

// RenewalsStopWithin returns the longest time for which a host that cannot read a new plan goes
// on renewing by the old one.
func (t Timing) RenewalsStopWithin() time.Duration {
	return t.MaxPlanAge + time.Duration(float64(t.MaxPlanAge)*maxClockDrift)
}
