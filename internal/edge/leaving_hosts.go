package edge

import (
	"context"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// LeavesArgs says that a host is shutting down.
type LeavesArgs struct {
	Host string
}

// announceShutdown tells all other hosts that this one is shutting down, so that they give up no request that it has
// forwarded to them because a server is silent. A host that does not get the message goes on as before.
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

// leaves sends to a host that this one is shutting down. Builds up to e2d5c51 lack the method.
func (p *peers) leaves(ctx context.Context, host assign.Host, args LeavesArgs) error {
	return p.pool.Call(ctx, host.Addr, rpcName+".Leaves", args, &Empty{})
}
