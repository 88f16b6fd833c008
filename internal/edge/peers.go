package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/admission"
	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/concurrency"
	"github.com/poplarcroft/poplarcroft/internal/content"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/front"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/leader"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/relay"
	"github.com/poplarcroft/poplarcroft/internal/renew"
)

// rpcName is the name of the RPC service that hosts offer to each other.
const rpcName = "Edge"

// settleTimeout is how long Adopt waits at most for renewals under an older plan to end.
const settleTimeout = 600 * time.Millisecond

// planWaitTimeout is how long Adopt waits for a plan that this host may be about to read from the
// topic. Plans are large and most hosts have read them before the leader calls, so the leader
// sends a plan only to hosts that still lack it after this time.
const planWaitTimeout = 150 * time.Millisecond

// errNotSettled reports that a renewal under an older plan was still in progress after settleTimeout.
var errNotSettled = errors.New("edge: a renewal under an older plan is still in progress")

// AdoptArgs asks a host to act by the given plan or a newer one.
type AdoptArgs struct {
	// Incarnation is the incarnation of the host that is called.
	Incarnation string
	// Version is the version of the plan, also if the plan itself is not sent.
	Version assign.Fence
	// Plan is the plan itself if the host has not read it, and otherwise nil.
	Plan *assign.Plan
}

// AdoptReply says whether the host acts by the plan.
type AdoptReply struct {
	// Unknown says that the host does not have the plan and that the leader must send it.
	Unknown bool
	// Incarnation is the incarnation that answers. If it is not the one that was called, that one has ended: a host begins to
	// listen before it registers, and only one process can listen at its address. Builds up to 3399b6a do not send it.
	Incarnation string
}

// PlanArgs asks a host for the plan that it acts by.
type PlanArgs struct {
	// Known is the version of the newest plan that the asking host knows hosts to act by.
	Known assign.Fence
}

// PlanReply is the answer of one incarnation of a host.
type PlanReply struct {
	Incarnation string
	// Version is the version of the host's plan. Plan is that plan if it is newer than the known
	// one, and otherwise nil.
	Version assign.Fence
	Plan    *assign.Plan
}

// ReportArgs reports to the leader what a host has observed.
type ReportArgs struct {
	Host string
	// Incarnation is the incarnation of the host, and Plan the version of the plan that it acts by. Builds up to 3399b6a do not
	// send them.
	Incarnation string
	Plan        assign.Fence
	// Announcement says that the message tells no loads, since the host has just started or reports only its connections. A leader of a
	// build that does not know the field takes the message for a report.
	Announcement bool
	// Connections is the number of the newest connection to a server that the host has opened. Builds up to 2aff23a do not send it.
	Connections continuity.Number
	// Rates holds the request rate of each key, by service, of the requests that the host itself
	// sends to servers.
	Rates map[string]map[keyrange.Key]keyrange.CentiRate
	// Lost holds the grants that the host can't renew any more. A leader of a build up to 2aff23a does not read them in announcements.
	Lost []renew.Lost
	// Slowness holds, by ID, the slowness in hundredths of the servers of which the host has
	// recent samples.
	Slowness map[string]int
	// Limits holds, by ID, the limits that servers name, in requests per second.
	Limits map[string]float64
	// Speeds holds the speeds of the servers whose primary the host is. A build that does not know the
	// field sends none, and the leader then goes by Slowness.
	Speeds []concurrency.Speed
}

// SuspectsArgs carries evidence against suspect requests.
type SuspectsArgs struct {
	// From is the name of the host that sends the evidence.
	From    string
	Records []poison.Record
}

// FactArgs says what an answer has shown about a server.
type FactArgs struct {
	// From is the name of the host that got the answer.
	From string
	// ID and Born identify the incarnation of the server.
	ID   fleet.ID
	Born int64
	Fact front.Fact
}

// Empty is a reply without content.
type Empty struct{}

// rpcService implements the RPC methods that other hosts call.
type rpcService struct {
	self    assign.Host
	current *assign.Current
	renewer *renew.Renewer
	leader  *leader.Leader
	guard   *poison.Guard
	fleet   *fleet.Fleet
	relay   *relay.Relay
	// contents holds the large values that other hosts may fetch, and fetches theirs.
	contents *content.Fetcher
	records  *operatorRecords
	reach    *reachSharing
	pools    *admission.Pools
	shares   *shareLeasing
	// hostLeaves is called with the name of a host that is shutting down.
	hostLeaves func(name string)
	// isLeaving reports whether this host is shutting down.
	isLeaving func() bool
	log       *eventlog.Log
}

// Read serves what this host, as a relay, has read of a topic.
func (s *rpcService) Read(args relay.Ask, reply *relay.Reply) error {
	*reply = s.relay.Serve(context.Background(), args)
	return nil
}

// Chunks serves parts of large values.
func (s *rpcService) Chunks(args content.ChunksArgs, reply *content.ChunksReply) (err error) {
	*reply, err = s.contents.Store.Serve(args)
	return err
}

// Adopt returns when this host acts by the plan and no renewal under an older one is in progress, so
// that the leader can rely on it not to renew grants that the plan has dropped.
func (s *rpcService) Adopt(args AdoptArgs, reply *AdoptReply) error {
	reply.Incarnation = s.self.Incarnation
	if args.Incarnation != s.self.Incarnation {
		// The call came to the address of the incarnation that it is for, where this one listens now.
		return nil
	}
	if args.Plan != nil {
		plan := *args.Plan
		plan.Version = args.Version
		s.current.AdoptOfUnknownAge(plan)
	}
	if !s.awaitPlan(args.Version) {
		reply.Unknown = true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if !s.renewer.AwaitStaleCalls(ctx) {
		return errNotSettled
	}
	return nil
}

// awaitPlan waits for a plan that is at least as new as the version. It returns false if there is
// none within planWaitTimeout.
func (s *rpcService) awaitPlan(version assign.Fence) bool {
	ctx, cancel := context.WithTimeout(context.Background(), planWaitTimeout)
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

// Plan returns the plan that this host acts by if it is newer than the one that the caller knows.
func (s *rpcService) Plan(args PlanArgs, reply *PlanReply) error {
	plan := s.current.ActedBy()
	reply.Incarnation = s.self.Incarnation
	reply.Version = plan.Version
	if plan.Version > args.Known {
		reply.Plan = &plan
	}
	return nil
}

// Report passes a host's report on to the leader.
func (s *rpcService) Report(args ReportArgs, _ *Empty) error {
	args.passTo(s.leader)
	return nil
}

// Suspects adds another host's evidence against suspect requests.
func (s *rpcService) Suspects(args SuspectsArgs, _ *Empty) error {
	s.guard.Import(args.Records, poison.OtherHost)
	s.log.Routine("suspects", "from", args.From, "records", len(args.Records), "outcome", "received")
	return nil
}

// Fact takes over what an answer to another host has shown about a server. A host that leads moves the
// keys of a server that is leaving; a host with a small share of a limit might not learn for long that it has
// ended.
func (s *rpcService) Fact(args FactArgs, _ *Empty) error {
	server, ok := s.fleet.Server(args.ID)
	if !ok || server.Entry().Born != args.Born {
		return nil
	}
	changed := false
	switch args.Fact {
	case front.LimitEnded:
		changed = server.ClearLimit()
	case front.Leaving:
		changed = server.MarkLeaving()
		s.leader.Wake()
	}
	if changed {
		s.log.Event("server", "id", args.ID, "born", args.Born, "from", args.From, "outcome", args.Fact.String())
	}
	return nil
}

// peers calls other hosts.
type peers struct {
	pool *peer.Pool
}

// Adopt implements leader.Peers. It calls the host without the plan first, and sends the plan only
// if the host does not have it.
func (p *peers) Adopt(ctx context.Context, host assign.Host, plan assign.Plan) (incarnation string, err error) {
	args := AdoptArgs{Incarnation: host.Incarnation, Version: plan.Version}
	var reply AdoptReply
	if err := p.pool.Call(ctx, host.Addr, rpcName+".Adopt", args, &reply); err != nil || !reply.Unknown {
		return reply.Incarnation, err
	}
	args.Plan = &plan
	reply = AdoptReply{}
	if err := p.pool.Call(ctx, host.Addr, rpcName+".Adopt", args, &reply); err != nil {
		return "", err
	}
	if reply.Unknown {
		return "", errors.AssertionFailedf("host %s reports plan %d as unknown after it was sent", host.Name, plan.Version)
	}
	return reply.Incarnation, nil
}

// NewerPlan implements leader.Peers.
func (p *peers) NewerPlan(ctx context.Context, host assign.Host, known assign.Fence) (leader.PeerPlan, error) {
	var reply PlanReply
	if err := p.pool.Call(ctx, host.Addr, rpcName+".Plan", PlanArgs{Known: known}, &reply); err != nil {
		return leader.PeerPlan{}, err
	}
	if reply.Plan != nil {
		reply.Plan.Version = reply.Version
	}
	return leader.PeerPlan{Incarnation: reply.Incarnation, Newer: reply.Plan}, nil
}

// read asks another host, the relay, for what it has read of a topic.
func (p *peers) read(ctx context.Context, host relay.Host, ask relay.Ask) (relay.Reply, error) {
	var reply relay.Reply
	err := p.pool.Call(ctx, host.Addr, rpcName+".Read", ask, &reply)
	return reply, err
}

// chunks asks the host at an address for parts of large values.
func (p *peers) chunks(ctx context.Context, addr string, args content.ChunksArgs) (content.ChunksReply, error) {
	var reply content.ChunksReply
	err := p.pool.Call(ctx, addr, rpcName+".Chunks", args, &reply)
	return reply, err
}

// report sends a report to the leader.
func (p *peers) report(ctx context.Context, host assign.Host, args ReportArgs) error {
	return p.pool.Call(ctx, host.Addr, rpcName+".Report", args, &Empty{})
}

// fact sends to a host what an answer has shown about a server.
func (p *peers) fact(ctx context.Context, host assign.Host, args FactArgs) error {
	return p.pool.Call(ctx, host.Addr, rpcName+".Fact", args, &Empty{})
}

// suspects sends evidence against suspect requests to a host.
func (p *peers) suspects(ctx context.Context, host assign.Host, args SuspectsArgs) error {
	return p.pool.Call(ctx, host.Addr, rpcName+".Suspects", args, &Empty{})
}
