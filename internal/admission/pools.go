package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/loop"
)

const (
	// poolSize is the largest number of servers in a pool.
	poolSize = 64
	// refreshInterval is the time between two updates of the pools' servers. Tickets also expire then.
	refreshInterval = 50 * time.Millisecond
	// maxWaiting bounds the requests that wait at this host, since each has a goroutine. Some 10 KB each stay below a
	// tenth of the memory of the smallest hosts.
	maxWaiting = 1024
	// busyRetryAfter is the time after which a caller may come back that was refused because of maxWaiting.
	busyRetryAfter = 300 * time.Millisecond
	// idleFor is how long a pool must not have been asked for to begin again like a new one: another host may have been
	// its dispatcher meanwhile.
	idleFor = time.Second
	// unusedPoolFor is how long a pool is kept that no host asks for.
	unusedPoolFor = time.Minute
)

// PoolsConfig holds the dependencies of Pools.
type PoolsConfig struct {
	// Incarnation is that of this host.
	Incarnation string
	Fleet       *fleet.Fleet
	// Clock is a monotonic clock.
	Clock func() time.Duration
	Log   *eventlog.Log
}

// Pools are the pools whose dispatcher this host is, in the view of at least one host. It is safe for concurrent use.
type Pools struct {
	config   PoolsConfig
	counters *Counters
	waiting  atomic.Int64

	mu      sync.Mutex
	leaving bool
	pools   map[Pool]*ownPool
	// asking holds the functions that withdraw the waiting requests of other hosts.
	asking map[askID]context.CancelFunc
	// withdrawn holds the requests that were withdrawn before they arrived here, with the time of that.
	withdrawn map[askID]time.Duration
}

// ownPool is a pool with the time at which it was asked for last.
type ownPool struct {
	gate    *dispatch.PoolGate
	askedAt time.Duration
}

// askID identifies a request of a host.
type askID struct {
	from, incarnation string
	number            uint64
}

// withdrawnFor is how long a withdrawal is kept whose request has not arrived.
const withdrawnFor = 5 * time.Second

// NewPools returns an object without pools. Run keeps it up to date.
func NewPools(config PoolsConfig, counters *Counters) *Pools {
	return &Pools{
		config: config, counters: counters, pools: make(map[Pool]*ownPool),
		asking: make(map[askID]context.CancelFunc), withdrawn: make(map[askID]time.Duration),
	}
}

// Run updates the pools until the context ends.
func (p *Pools) Run(ctx context.Context) {
	loop.Every(ctx, refreshInterval, func(context.Context) { p.refresh() })
}

// Leave makes this host give up its pools: waiting and later requests are referred to the next dispatcher.
func (p *Pools) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	for _, cancel := range p.asking {
		cancel()
	}
}

// Admit waits for a decision on a request. A request whose context ends is withdrawn.
func (p *Pools) Admit(ctx context.Context, args AdmitArgs) AdmitReply {
	reply := AdmitReply{Incarnation: p.config.Incarnation}
	if p.waiting.Add(1) > maxWaiting {
		p.waiting.Add(-1)
		p.counters.add(countBusy)
		reply.Verdict, reply.RetryAfter = Refused, min(busyRetryAfter, args.DeadlineIn/3)
		return reply
	}
	defer p.waiting.Add(-1)
	id := askID{args.From, args.Incarnation, args.Number}
	ctx, gate, ok := p.begin(ctx, id, args.Pool)
	if !ok {
		return reply
	}
	defer p.end(id)
	now := p.config.Clock()
	decision := gate.Acquire(ctx, dispatch.PoolItem{
		Item: dispatch.Item{
			Account: args.Account, Caller: args.Caller, Priority: args.Priority, Work: args.Work,
			Goal: now + args.GoalIn, Deadline: now + args.DeadlineIn,
		},
		Host: args.From, Others: args.Others, Excluded: args.Excluded,
	})
	if !decision.Admitted && p.isLeaving() {
		return reply
	}
	reply.Verdict = verdictOf(decision)
	reply.Server, reply.Born, reply.Ticket = decision.Server, decision.Born, decision.Ticket
	reply.RetryAfter = decision.RetryAfter
	p.counters.decided(reply.Verdict, p.config.Clock()-now)
	return reply
}

// verdictOf returns the verdict of a pool's decision.
func verdictOf(decision dispatch.PoolDecision) Verdict {
	switch {
	case decision.Admitted:
		return Admitted
	case decision.NoServer:
		return NoServer
	}
	return Refused
}

// begin registers a request that waits and returns its pool. It returns false if this host is leaving, or if the request
// has been withdrawn already.
func (p *Pools) begin(ctx context.Context, id askID, name Pool) (context.Context, *dispatch.PoolGate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, withdrawn := p.withdrawn[id]
	if p.leaving || withdrawn {
		delete(p.withdrawn, id)
		return ctx, nil, false
	}
	ctx, p.asking[id] = context.WithCancel(ctx)
	own := p.pools[name]
	if own == nil {
		own = &ownPool{gate: dispatch.NewPoolGate(p.config.Clock)}
		own.gate.SetServers(p.members(name))
		own.askedAt = p.config.Clock()
		p.pools[name] = own
		p.config.Log.Event("pool", "service", name.Service, "zone", name.Zone, "part", name.Part, "from", id.from, "outcome", "opened")
	}
	now := p.config.Clock()
	if now-own.askedAt > idleFor {
		own.gate.Restart()
	}
	own.askedAt = now
	return ctx, own.gate, true
}

// end forgets a request that has its decision.
func (p *Pools) end(id askID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel := p.asking[id]; cancel != nil {
		cancel()
		delete(p.asking, id)
	}
}

func (p *Pools) isLeaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving
}

// Finish frees tickets and withdraws requests. Tickets of an earlier incarnation of this host are ignored.
func (p *Pools) Finish(args FinishArgs) FinishReply {
	if args.To == p.config.Incarnation {
		for _, finished := range args.Finished {
			if gate := p.gate(finished.Pool); gate != nil {
				gate.Finish(finished.Ticket, finished.End, finished.Took)
			}
		}
	}
	for _, number := range args.Withdrawn {
		p.withdraw(askID{args.From, args.Incarnation, number})
	}
	return FinishReply{Incarnation: p.config.Incarnation}
}

// withdraw ends the wait of a request, or refuses it when it arrives: the two messages may overtake each other.
func (p *Pools) withdraw(id askID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel := p.asking[id]; cancel != nil {
		cancel()
		return
	}
	p.withdrawn[id] = p.config.Clock()
}

// gate returns a pool of this host, or nil.
func (p *Pools) gate(name Pool) *dispatch.PoolGate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if own := p.pools[name]; own != nil {
		return own.gate
	}
	return nil
}

// SetWidth sets the maximum number of requests at a server of a pool.
func (p *Pools) SetWidth(name Pool, server string, width int) {
	if gate := p.gate(name); gate != nil {
		gate.SetWidth(server, width)
	}
}

// refresh updates the servers of all pools and closes those that nobody asks for.
func (p *Pools) refresh() {
	now := p.config.Clock()
	p.mu.Lock()
	gates := make(map[Pool]*dispatch.PoolGate, len(p.pools))
	for name, own := range p.pools {
		if now-own.askedAt > unusedPoolFor {
			delete(p.pools, name)
			p.config.Log.Event("pool", "service", name.Service, "zone", name.Zone, "part", name.Part, "outcome", "closed")
			continue
		}
		gates[name] = own.gate
	}
	for id, at := range p.withdrawn {
		if now-at > withdrawnFor {
			delete(p.withdrawn, id)
		}
	}
	p.mu.Unlock()
	for name, gate := range gates {
		gate.SetServers(p.members(name))
	}
}

// members returns the servers of a pool as this host knows them.
func (p *Pools) members(name Pool) []dispatch.PoolServer {
	now := p.config.Clock()
	var members []dispatch.PoolServer
	for _, server := range partOf(p.config.Fleet, name) {
		entry := server.Entry()
		members = append(members, dispatch.PoolServer{
			ID: string(entry.ID), Born: entry.Born, Slots: entry.Slots,
			Cold: server.Cold(now), Last: entry.Missing, Leaving: !p.config.Fleet.Usable(server),
		})
	}
	return members
}

// Snapshot returns the numbers of admitted and waiting requests of the pools, for the metrics endpoint.
func (p *Pools) Snapshot() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	pools := make(map[string]map[string]int, len(p.pools))
	for name, own := range p.pools {
		running, queued := own.gate.Len()
		pools[name.String()] = map[string]int{"running": running, "waiting": queued}
	}
	return pools
}
