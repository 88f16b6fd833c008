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
	"github.com/poplarcroft/poplarcroft/internal/renew"
)

// rpcName is the name of the hosts' calls to each other.
const rpcName = "Edge"

// settleTimeout bounds the wait for grants under an older plan.
const settleTimeout = 600 * time.Millisecond

// errNotSettled reports that a grant under an older plan is still under way.
var errNotSettled = errors.New("edge: a grant under an older plan is still under way")

// AdoptArgs carries a plan.
type AdoptArgs struct {
	Incarnation string
	Plan        assign.Plan
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
}

// Adopt takes a plan and returns when no grant under an older one is under way.
func (s *service) Adopt(args AdoptArgs, _ *Empty) error {
	if args.Incarnation != s.self.Incarnation {
		// A newer life of the host does nothing that the older one was asked to stop.
		return nil
	}
	s.current.AdoptOld(args.Plan)
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if !s.renewer.Settle(ctx) {
		return errNotSettled
	}
	return nil
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
	return p.pool.Call(ctx, host.Addr, rpcName+".Adopt", AdoptArgs{Incarnation: host.Incarnation, Plan: plan}, &Empty{})
}

func (p *peers) report(ctx context.Context, host assign.Host, args ReportArgs) error {
	return p.pool.Call(ctx, host.Addr, rpcName+".Report", args, &Empty{})
}

func (p *peers) suspects(ctx context.Context, host assign.Host, args SuspectsArgs) error {
	return p.pool.Call(ctx, host.Addr, rpcName+".Suspects", args, &Empty{})
}
