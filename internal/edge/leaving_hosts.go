package edge

import (
	"context"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// LeavesArgs says that a host is shutting down.
type LeavesArgs struct {
	Host string
}

// ShutdownReply says whether a host is shutting down.
type ShutdownReply struct {
	Leaving bool
}

// announceShutdown tells all other hosts that this one is shutting down, so that they give up no request that it has
// forwarded to them because a server is silent. A host that does not get the message asks; see askLeaving. Builds up to 85684b2
// rely on the message.
func (h *Host) announceShutdown() {
	for _, host := range h.current.Plan().Hosts {
		if host.SameIncarnation(h.self) || host.Retired {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			err := h.peers.leaves(ctx, host, LeavesArgs{Host: h.self.Name})
			if err != nil {
				h.log.Routine("leave", "to", host.Name, "outcome", "not told", "err", err.Error())
			}
		}()
	}
}

// Leaves takes another host's message that it is shutting down.
func (s *rpcService) Leaves(args LeavesArgs, _ *Empty) error {
	s.hostLeaves(args.Host)
	s.log.Routine("leave", "from", args.Host, "outcome", "told")
	return nil
}

// ShuttingDown answers another host's question whether this one is shutting down.
func (s *rpcService) ShuttingDown(_ Empty, reply *ShutdownReply) error {
	reply.Leaving = s.isLeaving()
	return nil
}

// askLeaving asks a host whether it is shutting down. Builds up to 85684b2 lack the method, which is an error.
func (p *peers) askLeaving(ctx context.Context, host assign.Host) (bool, error) {
	var reply ShutdownReply
	err := p.pool.Call(ctx, host.Addr, rpcName+".ShuttingDown", Empty{}, &reply)
	return reply.Leaving, err
}

// leaves sends to a host that this one is shutting down. Builds up to e2d5c51 lack the method.
func (p *peers) leaves(ctx context.Context, host assign.Host, args LeavesArgs) error {
	return p.pool.Call(ctx, host.Addr, rpcName+".Leaves", args, &Empty{})
}
