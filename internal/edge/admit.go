package edge

import (
	"context"
	"net/rpc"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/admission"
	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/peer"
)

// Admit waits for the decision of this host, as the dispatcher of a pool, on a request of another host. net/rpc runs each
// call in a goroutine of its own; the pools bound their number.
func (s *rpcService) Admit(args admission.AdmitArgs, reply *admission.AdmitReply) error {
	*reply = s.pools.Admit(context.Background(), args)
	return nil
}

// Finish frees tickets of another host and withdraws requests that it no longer waits for.
func (s *rpcService) Finish(args admission.FinishArgs, reply *admission.FinishReply) error {
	*reply = s.pools.Finish(args)
	return nil
}

// dispatchers calls the dispatchers of pools. It has connections of its own, because calls that wait for a decision end
// with their connection, which the loss of any other message would close.
type dispatchers struct {
	pool *peer.Pool
}

// Admit implements admission.Peers.
func (d *dispatchers) Admit(ctx context.Context, host assign.Host, args admission.AdmitArgs) (admission.AdmitReply, error) {
	var reply admission.AdmitReply
	err := d.pool.Call(ctx, host.Addr, rpcName+".Admit", args, &reply)
	return reply, markOldBuild(err)
}

// Finish implements admission.Peers.
func (d *dispatchers) Finish(ctx context.Context, host assign.Host, args admission.FinishArgs) (admission.FinishReply, error) {
	var reply admission.FinishReply
	err := d.pool.Call(ctx, host.Addr, rpcName+".Finish", args, &reply)
	return reply, markOldBuild(err)
}

// unknownMethod is how net/rpc begins its answer to a call of a method that is not registered.
const unknownMethod = "rpc: can't find"

// markOldBuild marks the error of a call to a host that does not know the method.
func markOldBuild(err error) error {
	var remote rpc.ServerError
	if errors.As(err, &remote) && strings.HasPrefix(string(remote), unknownMethod) {
		return errors.Mark(err, admission.ErrOldBuild)
	}
	return err
}
