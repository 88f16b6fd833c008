package edge

import (
	"context"
	"net"
	"net/http"
	"net/rpc"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/poplarcroft/poplarcroft/internal/admission"
	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// newTestPools returns the pools of a host with the incarnation "1", and one server with one slot.
func newTestPools() *admission.Pools {
	f := fleet.New(fleet.Options{Zone: "zlin", Target: func(string) *transport.Target { return nil }})
	f.Set([]fleet.Entry{{ID: "a", Service: "archiv", Zone: "zlin", Slots: 1, Born: 7}}, clock.Monotonic())
	return admission.NewPools(admission.PoolsConfig{
		Incarnation: "1", Fleet: f, Clock: clock.Monotonic, Log: eventlog.Discard(),
	}, &admission.Counters{})
}

func testAdmitArgs(number uint64) admission.AdmitArgs {
	return admission.AdmitArgs{
		From: "b", Incarnation: "2", Number: number, Pool: admission.Pool{Service: "archiv", Zone: "zlin"},
		GoalIn: time.Minute, DeadlineIn: 2 * time.Minute,
	}
}

// TestDispatcherDecidesOverTheNetwork guards against messages that lose a part of a decision on the way, and against a
// withdrawn request that goes on waiting at the dispatcher.
func TestDispatcherDecidesOverTheNetwork(t *testing.T) {
	host := assign.Host{Name: "a", Incarnation: "1", Addr: serveRPC(t, &rpcService{pools: newTestPools()})}
	d := &dispatchers{pool: peer.NewPool(peer.DialFunc(transport.Dialer("")))}
	t.Cleanup(d.pool.Close)
	reply, err := d.Admit(t.Context(), host, testAdmitArgs(1))
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, admission.AdmitReply{Verdict: admission.Admitted, Server: "a", Born: 7, Ticket: reply.Ticket, Incarnation: "1"})
	replies := make(chan admission.AdmitReply, 2)
	for number := range uint64(2) {
		go func() {
			reply, err := d.Admit(t.Context(), host, testAdmitArgs(number+2))
			assert.Check(t, err)
			replies <- reply
		}()
	}
	args := admission.FinishArgs{From: "b", Incarnation: "2", To: "1", Withdrawn: []uint64{2}}
	_, err = d.Finish(t.Context(), host, args)
	assert.NilError(t, err)
	assert.Assert(t, (<-replies).Verdict != admission.Admitted)
	pool := admission.Pool{Service: "archiv", Zone: "zlin"}
	args = admission.FinishArgs{From: "b", Incarnation: "2", To: "0", Finished: []admission.Finished{{Pool: pool, Ticket: reply.Ticket}}}
	_, err = d.Finish(t.Context(), host, args)
	assert.NilError(t, err)
	assert.Equal(t, len(replies), 0)
	args.To, args.Finished[0].End = "1", dispatch.PoolAnswered
	answer, err := d.Finish(t.Context(), host, args)
	assert.NilError(t, err)
	assert.Equal(t, answer.Incarnation, "1")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(replies) == 1 {
			return poll.Success()
		}
		return poll.Continue("the waiting request has no decision")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, (<-replies).Verdict, admission.Admitted)
}

// olderService is the RPC service of a build that does not know admission.
type olderService struct{}

// Reach is one of its methods.
func (olderService) Reach(ReachArgs, *Empty) error { return nil }

// TestOlderBuildIsRecognised guards against a host of an older build that counts as lost and is asked again and again.
func TestOlderBuildIsRecognised(t *testing.T) {
	calls := rpc.NewServer()
	assert.NilError(t, calls.RegisterName(rpcName, olderService{}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { peer.ServeRPC(t.Context(), calls, w) }))
	d := &dispatchers{pool: peer.NewPool(peer.DialFunc(transport.Dialer("")))}
	t.Cleanup(d.pool.Close)
	host := assign.Host{Name: "a", Incarnation: "1", Addr: listener.Addr().String()}
	_, err = d.Admit(t.Context(), host, testAdmitArgs(1))
	assert.Assert(t, errors.Is(err, admission.ErrOldBuild), "%v", err)
	_, err = d.Finish(t.Context(), host, admission.FinishArgs{})
	assert.Assert(t, errors.Is(err, admission.ErrOldBuild), "%v", err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = d.Admit(ctx, assign.Host{Addr: "127.0.0.1:1"}, testAdmitArgs(2))
	assert.Assert(t, err != nil && !errors.Is(err, admission.ErrOldBuild), "%v", err)
}

// BenchmarkAdmitOverTheNetwork measures the decision on one request and the message that it has ended, both hosts together.
func BenchmarkAdmitOverTheNetwork(b *testing.B) {
	calls := rpc.NewServer()
	assert.NilError(b, calls.RegisterName(rpcName, &rpcService{pools: newTestPools()}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer listener.Close()
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { peer.ServeRPC(b.Context(), calls, w) }))
	d := &dispatchers{pool: peer.NewPool(peer.DialFunc(transport.Dialer("")))}
	defer d.pool.Close()
	host := assign.Host{Name: "a", Incarnation: "1", Addr: listener.Addr().String()}
	args := testAdmitArgs(1)
	for b.Loop() {
		args.Number++
		reply, err := d.Admit(b.Context(), host, args)
		assert.NilError(b, err)
		finished := []admission.Finished{{Pool: args.Pool, Ticket: reply.Ticket, End: dispatch.PoolAnswered, Took: time.Millisecond}}
		_, err = d.Finish(b.Context(), host, admission.FinishArgs{From: "b", Incarnation: "2", To: "1", Finished: finished})
		assert.NilError(b, err)
	}
}
