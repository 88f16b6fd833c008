package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/content"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/front"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

const (
	// catchUpInterval is the time between two attempts to catch up, and catchUpCallTimeout the timeout of one call.
	catchUpInterval    = 50 * time.Millisecond
	catchUpCallTimeout = 300 * time.Millisecond
	// catchUpLimit is how long a host that has read the topics tries to catch up. Without an answer it goes on with what
	// it has read, so that the loss of all other hosts does not stop it.
	catchUpLimit = time.Second
	// catchUpTransferLimit replaces catchUpLimit while a large configuration is arriving.
	catchUpTransferLimit = 10 * time.Second
	// catchUpHosts is the number of hosts that are asked in one attempt.
	catchUpHosts = 3
)

// catchUp asks another host, after the start of this one, for what the topics may not tell: a configuration that is newer
// than the one in a restored log, so that a withdrawn key is not accepted again, and the servers that have announced
// only in their answers that they are leaving.
type catchUp struct {
	self    assign.Host
	plan    func() assign.Plan
	sharing *configSharing
	peers   *peers
	fleet   *fleet.Fleet
	// known reports whether this host has read a configuration and the service discovery.
	known func() bool
	clock func() time.Duration
	log   *eventlog.Log
	done  atomic.Bool
}

// run returns once another host has answered, there is none, or catchUpLimit has passed.
func (c *catchUp) run(ctx context.Context) {
	defer c.done.Store(true)
	for !c.known() && ctx.Err() == nil {
		loop.Sleep(ctx, catchUpInterval)
	}
	for began, limit := c.clock(), catchUpLimit; c.clock()-began < limit && ctx.Err() == nil; {
		plan := c.plan()
		hosts := c.candidates(plan)
		if plan.Version != 0 && len(hosts) == 0 {
			return
		}
		for _, host := range hosts[:min(catchUpHosts, len(hosts))] {
			switch err := c.ask(ctx, host); {
			case err == nil:
				return
			case errors.Is(err, content.ErrIncomplete):
				limit = catchUpTransferLimit
			}
		}
		loop.Sleep(ctx, catchUpInterval)
	}
	c.log.Event("start", "outcome", "no other host has answered, going on with the topics")
}

// candidates returns the other hosts of the plan, its leader first.
func (c *catchUp) candidates(plan assign.Plan) []assign.Host {
	var hosts []assign.Host
	for _, host := range append([]assign.Host{plan.Leader}, plan.Hosts...) {
		if host.Addr == "" || host.Name == c.self.Name || host.Retired || len(hosts) > 0 && host.Name == hosts[0].Name {
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// ask takes over what another host knows. It fails if the host does not answer, or its configuration has not arrived in time.
func (c *catchUp) ask(ctx context.Context, host assign.Host) error {
	if err := c.sharing.exchange(ctx, host); err != nil {
		c.log.Event("start", "asked", host.Name, "outcome", "no answer", "err", err.Error())
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpCallTimeout)
	defer cancel()
	leaving, err := c.peers.leavingServers(ctx, host, LeavingArgs{From: c.self.Name})
	if err != nil {
		// An older build does not have the method.
		c.log.Event("start", "asked", host.Name, "outcome", "leaving servers not known", "err", err.Error())
	}
	for _, left := range leaving {
		if server, ok := c.fleet.Server(left.ID); ok && server.Entry().Born == left.Born && server.MarkLeaving() {
			c.log.Event("server", "id", left.ID, "born", left.Born, "from", host.Name, "outcome", front.Leaving.String())
		}
	}
	return nil
}

// tableForCallers returns the configuration by which callers' requests are served. With client accounts, there is none
// until the host has caught up.
func (h *Host) tableForCallers() *routetable.Table {
	table := h.operatorRecords.Table()
	if table != nil && len(table.Accounts) > 0 && !h.catchUp.done.Load() {
		return nil
	}
	return table
}

// LeavingArgs asks a host for the servers that are leaving.
type LeavingArgs struct {
	// From is the name of the calling host.
	From string
}

// LeavingServer identifies the incarnation of a server that is leaving.
type LeavingServer struct {
	ID   fleet.ID
	Born int64
}

// LeavingReply holds the servers that the called host knows to be leaving.
type LeavingReply struct {
	Servers []LeavingServer
}

// LeavingServers returns the servers that are leaving by their entries or their answers.
func (s *rpcService) LeavingServers(_ LeavingArgs, reply *LeavingReply) error {
	for _, service := range s.fleet.Services() {
		for _, server := range s.fleet.Servers(service) {
			if entry := server.Entry(); server.Leaving() {
				reply.Servers = append(reply.Servers, LeavingServer{ID: entry.ID, Born: entry.Born})
			}
		}
	}
	return nil
}

// leavingServers asks another host for the servers that are leaving.
func (p *peers) leavingServers(ctx context.Context, host assign.Host, args LeavingArgs) ([]LeavingServer, error) {
	var reply LeavingReply
	err := p.pool.Call(ctx, host.Addr, rpcName+".LeavingServers", args, &reply)
	return reply.Servers, err
}
