package edge

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/reach"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

const (
	// reachInterval is the time between two messages of a host that is cut off from all servers, or has been
	// within cutOffFor.
	reachInterval = time.Second
	// cutOffFor is how long a message that a host is cut off holds.
	cutOffFor = 2500 * time.Millisecond
)

// ReachArgs says whether a host is cut off from all servers.
type ReachArgs struct {
	// Host and Incarnation identify the host. Number orders its messages.
	Host, Incarnation string
	Number            uint64
	CutOff            bool
}

// reachSharing makes known to all hosts which ones are cut off from all servers. The leader asks it in each of its
// steps; it is not woken, so that many hosts that are cut off at once cause few plans. It is safe for concurrent use.
type reachSharing struct {
	self    assign.Host
	monitor *reach.Monitor
	plan    func() assign.Plan
	peers   *peers
	clock   func() time.Duration
	log     *eventlog.Log
	// changed gets a value when this host is found to be cut off, or no longer is.
	changed chan struct{}

	mu sync.Mutex
	// number is that of this host's last message.
	number uint64
	// others holds the last message of each other host, by name.
	others map[string]receivedReach
}

// receivedReach is a message and the time until which it holds.
type receivedReach struct {
	ReachArgs
	until time.Duration
}

func newReachSharing(self assign.Host, plan func() assign.Plan, p *peers, clock func() time.Duration, log *eventlog.Log) *reachSharing {
	return &reachSharing{
		self: self, plan: plan, peers: p, clock: clock, log: log,
		changed: make(chan struct{}, 1), others: make(map[string]receivedReach),
	}
}

// reachableServers returns the servers that a host tries to find out whether it reaches servers.
func reachableServers(f *fleet.Fleet, table *routetable.Table) []reach.Server {
	var servers []reach.Server
	for _, server := range namedServers(f, table, func(routetable.Service) bool { return true }) {
		entry := server.Entry()
		servers = append(servers, reach.Server{Addr: entry.Addr, Zone: entry.Zone})
	}
	return servers
}

// CutOff implements front.Reach.
func (r *reachSharing) CutOff(host string) bool {
	if host == r.self.Name {
		return r.monitor.CutOff()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.others[host]
	return ok && last.CutOff && r.clock() < last.until
}

// Suspect implements front.Reach.
func (r *reachSharing) Suspect() {
	r.monitor.Suspect()
}

// wake makes the loop send a change to the other hosts.
func (r *reachSharing) wake() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// run sends each change to the other hosts, and the same again while a former message holds that says otherwise.
func (r *reachSharing) run(ctx context.Context) {
	changedAt := -cutOffFor
	for ctx.Err() == nil {
		var again <-chan time.Time
		if r.monitor.CutOff() || r.clock()-changedAt < cutOffFor {
			again = time.After(reachInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-r.changed:
			changedAt = r.clock()
		case <-again:
		}
		r.sendAll(ctx)
	}
}

// sendAll sends one message to each other host.
func (r *reachSharing) sendAll(ctx context.Context) {
	r.mu.Lock()
	r.number++
	args := ReachArgs{Host: r.self.Name, Incarnation: r.self.Incarnation, Number: r.number, CutOff: r.monitor.CutOff()}
	r.mu.Unlock()
	for _, host := range r.plan().Hosts {
		if host.SameIncarnation(r.self) || host.Retired {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			if err := r.peers.reach(ctx, host, args); err != nil {
				r.log.Routine("reach", "to", host.Name, "outcome", "not sent", "cut_off", args.CutOff, "err", err.Error())
			}
		}()
	}
}

// receive takes a message of another host.
func (r *reachSharing) receive(args ReachArgs) {
	before := r.CutOff(args.Host)
	r.mu.Lock()
	last := r.others[args.Host]
	if last.Incarnation == args.Incarnation && args.Number < last.Number {
		r.mu.Unlock()
		return
	}
	r.others[args.Host] = receivedReach{args, r.clock() + cutOffFor}
	r.mu.Unlock()
	if before != args.CutOff {
		r.log.Event("reach", "host", args.Host, "cut_off", args.CutOff)
	}
}

// Reach takes another host's message of whether it reaches servers.
func (s *rpcService) Reach(args ReachArgs, _ *Empty) error {
	s.reach.receive(args)
	return nil
}

// reach sends a message of whether this host reaches servers.
func (p *peers) reach(ctx context.Context, host assign.Host, args ReachArgs) error {
	return p.pool.Call(ctx, host.Addr, rpcName+".Reach", args, &Empty{})
}
