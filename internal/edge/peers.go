package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/leader"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/relay"
	"github.com/poplarcroft/poplarcroft/internal/renew"
)

// rpcName is the name of the hosts' calls to each other.
const rpcName = "Edge"

// settleTimeout bounds the wait for grants under an older plan.
const settleTimeout = 600 * time.Millisecond

// learnTimeout bounds the wait for a plan that a host is about to read by itself. Plans are
// long, and most hosts have them before the leader asks.
const learnTimeout = 150 * time.Millisecond

// errNotSettled reports that a grant under an older plan is still under way.
var errNotSettled = errors.New("edge: a grant under an older plan is still under way")

// AdoptArgs asks a host to act by a plan, or a newer one.
type AdoptArgs struct {
	Incarnation string
	Version     assign.Fence
	// Plan is the plan itself where the host has not read it, or nil.
	Plan *assign.Plan
}

// AdoptReply says whether the host acts by the plan.
type AdoptReply struct {
	// Unknown says that the host needs to be given the plan.
	Unknown bool
}

// ReportArgs tells the leader what a host sees.
type ReportArgs struct {
	Host string
	// Rates holds the request rates of the keys whose servers the host sends to.
	Rates map[string]map[keyrange.Key]keyrange.CentiRate
	Lost  []renew.Lost
	// Slowness holds the servers that the host has judged of late, in hundredths.
	Slowness map[string]int
}

// SuspectsArgs carries evidence against requests.
type SuspectsArgs struct {
	Records []poison.Record
}

// Empty is an answer without content.
type Empty struct{}

// service answers other hosts.
type service struct {
	self    assign.Host
	current *assign.Current
	renewer *renew.Renewer
	leader  *leader.Leader
	guard   *poison.Guard
	relay   *relay.Relay
}

// Read tells what this host has read of a topic.
func (s *service) Read(args relay.Ask, reply *relay.Reply) error {
	*reply = s.relay.Serve(context.Background(), args)
	return nil
}

// Adopt returns when this host has a plan, and no grant under an older one is under way.
func (s *service) Adopt(args AdoptArgs, reply *AdoptReply) error {
	if args.Incarnation != s.self.Incarnation {
		// A newer life of the host does nothing that the older one was asked to stop.
		return nil
	}
	if args.Plan != nil {
		plan := *args.Plan
		plan.Version = args.Version
		s.current.AdoptOld(plan)
	}
	if !s.learned(args.Version) {
		reply.Unknown = true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if !s.renewer.Settle(ctx) {
		return errNotSettled
	}
	return nil
}

// learned waits for a moment for a plan that is at least as new as the version.
func (s *service) learned(version assign.Fence) bool {
	ctx, cancel := context.WithTimeout(context.Background(), learnTimeout)
	defer cancel()
	for {
		plan, changed := s.current.Watch()
		if plan.Version >= version {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Report takes what a host has seen.
func (s *service) Report(args ReportArgs, _ *Empty) error {
	s.leader.Report(args.Host, leader.Report{Rates: args.Rates, Slowness: args.Slowness}, args.Lost)
	return nil
}

// Suspects takes evidence against requests.
func (s *service) Suspects(args SuspectsArgs, _ *Empty) error {
	s.guard.Import(args.Records)
	return nil
}

// peers calls other hosts.
type peers struct {
	pool *peer.Pool
}

// Adopt implements leader.Peers.
func (p *peers) Adopt(ctx context.Context, host assign.Host, plan assign.Plan) error {
	args := AdoptArgs{Incarnation: host.Incarnation, Version: plan.Version}
	var reply AdoptReply
	if err := p.pool.Call(ctx, host.Addr, rpcName+".Adopt", args, &reply); err != nil || !reply.Unknown {
		return err
	}
	args.Plan = &plan
	reply = AdoptReply{}
	if err := p.pool.Call(ctx, host.Addr, rpcName+".Adopt", args, &reply); err != nil {
		return err
	}
	if reply.Unknown {
		return errors.AssertionFailedf("host %s does not take plan %d", host.Name, plan.Version)
	}
	return nil
}

// read asks another host what it has read of a topic.
func (p *peers) read(ctx context.Context, host relay.Host, ask relay.Ask) (relay.Reply, error) {
	var reply relay.Reply
	err := p.pool.Call(ctx, host.Addr, rpcName+".Read", ask, &reply)
	return reply, err
}

func (p *peers) report(ctx context.Context, host assign.Host, args ReportArgs) error {
	return p.pool.Call(ctx, host.Addr, rpcName+".Report", args, &Empty{})
}

func (p *peers) suspects(ctx context.Context, host assign.Host, args SuspectsArgs) error {
	return p.pool.Call(ctx, host.Addr, rpcName+".Suspects", args, &Empty{})
}
