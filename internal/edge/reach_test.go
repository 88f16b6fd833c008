package edge

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/reach"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// TestCutOffHostIsKnownToOthers checks that another host learns that one reaches no server, and that it does again.
func TestCutOffHostIsKnownToOthers(t *testing.T) {
	log := eventlog.Discard()
	other := newReachSharing(assign.Host{Name: "b", Incarnation: "1"}, nil, nil, clock.Monotonic, log)
	other.monitor = reach.New(reach.Config{Clock: clock.Monotonic, Log: log})
	plan := assign.Plan{Hosts: []assign.Host{
		{Name: "a", Incarnation: "1"}, {Name: "b", Incarnation: "1", Addr: serveRPC(t, &rpcService{reach: other, log: log})},
	}}
	var cut atomic.Bool
	r := newReachSharing(plan.Hosts[0], func() assign.Plan { return plan }, &peers{pool: peer.NewPool(peer.DialFunc(transport.Dialer("")))}, clock.Monotonic, log)
	r.monitor = reach.New(reach.Config{
		Servers: func() []reach.Server { return []reach.Server{{Addr: "10.0.0.1:1"}} }, OnChange: r.wake, Clock: clock.Monotonic, Log: log,
		Dial: func(context.Context, string, string) (net.Conn, error) {
			if cut.Load() {
				return nil, syscall.ECONNREFUSED
			}
			conn, _ := net.Pipe()
			return conn, nil
		},
	})
	go r.monitor.Run(t.Context())
	go r.run(t.Context())
	assert.Assert(t, !other.CutOff("a"))
	for _, cutOff := range []bool{true, false} {
		cut.Store(cutOff)
		r.Suspect()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if other.CutOff("a") == cutOff && r.CutOff("a") == cutOff {
				return poll.Success()
			}
			return poll.Continue("the other host still believes cut off: %v", other.CutOff("a"))
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	}
}

// TestLateMessageDoesNotCutAHostOff checks that an older message of a host does not replace a newer one, that one of an older
// incarnation is replaced, and that a message ends by itself.
func TestLateMessageDoesNotCutAHostOff(t *testing.T) {
	now := time.Hour
	r := newReachSharing(assign.Host{Name: "b"}, nil, nil, func() time.Duration { return now }, eventlog.Discard())
	r.receive(ReachArgs{Host: "a", Incarnation: "1", Number: 2})
	r.receive(ReachArgs{Host: "a", Incarnation: "1", Number: 1, CutOff: true})
	assert.Assert(t, !r.CutOff("a"))
	r.receive(ReachArgs{Host: "a", Incarnation: "2", Number: 1, CutOff: true})
	assert.Assert(t, r.CutOff("a"))
	now += cutOffFor
	assert.Assert(t, !r.CutOff("a"))
}
