package admission

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

const (
	// maxAsking bounds the requests of this host that wait for a dispatcher's decision.
	maxAsking = 512
	// maxDispatchers is the number of hosts, in order, that may be the dispatcher of a pool. With more, hosts that reach
	// different ones would have many dispatchers, none of which knows the load of the servers.
	maxDispatchers = 3
	// maxUnknownServers is the number of admissions to servers that this host does not know before it chooses by itself.
	maxUnknownServers = 3
)

// Peers calls other hosts. Errors are marked with ErrOldBuild if the host does not know the method.
type Peers interface {
	Admit(ctx context.Context, host assign.Host, args AdmitArgs) (AdmitReply, error)
	Finish(ctx context.Context, host assign.Host, args FinishArgs) (FinishReply, error)
}

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	Self  assign.Host
	Plan  func() assign.Plan
	Fleet *fleet.Fleet
	// CutOff reports whether the host with the name reaches no server.
	CutOff func(host string) bool
	Peers  Peers
	// Own are the pools whose dispatcher this host is.
	Own *Pools
	// Clock is a monotonic clock.
	Clock func() time.Duration
	Log   *eventlog.Log
}

// Client asks dispatchers for slots at servers. It is safe for concurrent use.
type Client struct {
	config   ClientConfig
	counters *Counters
	layouts  layouts
	rankings rankings
	asking   atomic.Int64
	number   atomic.Uint64

	mu    sync.Mutex
	links map[string]*link
	// sent holds the number of this host's requests at servers, by server and by the incarnation of the dispatcher that
	// has admitted them, which is empty if none has.
	sent map[string]map[string]int
}

// NewClient returns a client.
func NewClient(config ClientConfig, counters *Counters) *Client {
	return &Client{config: config, counters: counters, links: make(map[string]*link), sent: make(map[string]map[string]int)}
}

// Ask describes a request that any server of a service may execute. Times are readings of the host's clock.
type Ask struct {
	Service, Account string
	Priority         int
	// Caller is the same whenever a caller repeats the request.
	Caller         uint64
	Goal, Deadline time.Duration
	Work           time.Duration
	Excluded       []fleet.ID
}

// Outcome is the outcome of an Ask.
type Outcome int

const (
	// Alone means that the host has to choose a server by itself: the service uses no pool, or no dispatcher answers.
	Alone Outcome = iota
	// Granted means that the request may be sent to the server.
	Granted
	// Denied means that the request is refused.
	Denied
)

// Answer is the answer to an Ask.
type Answer struct {
	Outcome Outcome
	Server  *fleet.Server
	// Ticket must be passed to Finish if the outcome is Granted.
	Ticket Ticket
	// RetryAfter is the time after which a denied caller may come back.
	RetryAfter time.Duration
}

// Ticket is a place at a server.
type Ticket struct {
	pool   Pool
	number dispatch.Ticket
	server string
	// link leads to the dispatcher, or is nil if that is this host. Incarnation is that of the dispatcher.
	link        *link
	incarnation string
}

// Uses reports whether requests of the service are admitted by pools. Those that are sent without a ticket must then be
// counted with SentAlone.
func (c *Client) Uses(service string) bool {
	_, ok := c.layouts.get(c.config.Fleet, c.config.Plan(), service, c.config.Self.Zone, c.config.Clock())
	return ok
}

// Admit waits for a decision on a request. It asks the pool of this host's zone first and, if that has no room and the
// goal allows, that of one other zone.
func (c *Client) Admit(ctx context.Context, ask Ask) Answer {
	layout, ok := c.layouts.get(c.config.Fleet, c.config.Plan(), ask.Service, c.config.Self.Zone, c.config.Clock())
	if !ok {
		return Answer{}
	}
	if c.asking.Add(1) > maxAsking {
		c.asking.Add(-1)
		c.counters.add(countBusy)
		return Answer{Outcome: Denied, RetryAfter: max(min(busyRetryAfter, (ask.Deadline-c.config.Clock())/3), 0)}
	}
	defer c.asking.Add(-1)
	answer := c.askZones(ctx, layout, ask)
	if answer.Outcome == Alone {
		c.counters.add(countAlone)
	}
	return answer
}

// askZones asks the first zone of a layout, and the second one if the first has no room.
func (c *Client) askZones(ctx context.Context, layout layout, ask Ask) Answer {
	first := c.askZone(ctx, layout.zones[0], ask)
	if first.Outcome != Denied || len(layout.zones) == 1 || ctx.Err() != nil || c.config.Clock()+ask.Work > ask.Goal {
		return first
	}
	c.counters.add(countOtherZone)
	if second := c.askZone(ctx, layout.zones[1], ask); second.Outcome == Granted {
		return second
	}
	return first
}

// askZone asks the pool of a zone. Admissions to servers that this host does not know are given back.
func (c *Client) askZone(ctx context.Context, zone zonePools, ask Ask) Answer {
	pool := Pool{Service: ask.Service, Zone: zone.zone, Part: int(ask.Caller % uint64(max(zone.parts, 1)))}
	for range maxUnknownServers {
		reply, via, ok := c.askDispatchers(ctx, pool, ask)
		switch {
		case ctx.Err() != nil && (!ok || reply.Verdict != Admitted):
			return Answer{Outcome: Denied, RetryAfter: reply.RetryAfter}
		case !ok || reply.Verdict == NoServer:
			return Answer{}
		case reply.Verdict == Refused:
			return Answer{Outcome: Denied, RetryAfter: reply.RetryAfter}
		}
		ticket := Ticket{pool: pool, number: reply.Ticket, server: reply.Server, link: via, incarnation: reply.Incarnation}
		c.count(ticket.server, ticket.incarnation, 1)
		server, known := c.config.Fleet.Server(fleet.ID(reply.Server))
		if known && server.Entry().Born == reply.Born && c.config.Fleet.Usable(server) {
			return Answer{Outcome: Granted, Server: server, Ticket: ticket}
		}
		c.Finish(ticket, dispatch.PoolNotSent, 0)
		ask.Excluded = append(slices.Clone(ask.Excluded), fleet.ID(reply.Server))
	}
	return Answer{}
}

// askDispatchers asks the hosts in the order in which they are the dispatcher of the pool. It returns false if none of them
// decides. The link is nil if this host has decided itself.
func (c *Client) askDispatchers(ctx context.Context, pool Pool, ask Ask) (AdmitReply, *link, bool) {
	position := 0
	for _, host := range c.rankings.get(c.config.Plan(), pool) {
		if position == maxDispatchers || ctx.Err() != nil {
			break
		}
		if c.config.CutOff(host.Name) {
			continue
		}
		position++
		args := c.args(pool, ask, host.Incarnation)
		if host.SameIncarnation(c.config.Self) {
			if reply := c.config.Own.Admit(ctx, args); reply.Verdict != NotHere {
				return reply, nil, true
			}
			continue
		}
		via := c.link(host)
		if !via.usable() {
			continue
		}
		if reply, ok := via.admit(ctx, args); ok {
			return reply, via, true
		}
	}
	return AdmitReply{}, nil, false
}

// args returns the message for a dispatcher.
func (c *Client) args(pool Pool, ask Ask, dispatcher string) AdmitArgs {
	now := c.config.Clock()
	excluded := make([]string, len(ask.Excluded))
	for i, id := range ask.Excluded {
		excluded[i] = string(id)
	}
	return AdmitArgs{
		From: c.config.Self.Name, Incarnation: c.config.Self.Incarnation, Number: c.number.Add(1), Pool: pool,
		Account: ask.Account, Priority: ask.Priority, Caller: ask.Caller,
		GoalIn: ask.Goal - now, DeadlineIn: ask.Deadline - now, Work: ask.Work,
		Excluded: excluded, Others: c.others(pool, dispatcher),
	}
}

// others returns this host's requests at servers of the pool that the dispatcher has not admitted.
func (c *Client) others(pool Pool, dispatcher string) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var others map[string]int
	for id, byDispatcher := range c.sent {
		server, ok := c.config.Fleet.Server(fleet.ID(id))
		if !ok || server.Entry().Service != pool.Service || server.Entry().Zone != pool.Zone {
			continue
		}
		for incarnation, count := range byDispatcher {
			if incarnation == dispatcher {
				continue
			}
			if others == nil {
				others = make(map[string]int)
			}
			others[id] += count
		}
	}
	return others
}

// Finish gives back the place of a request that took the given time at the server, zero if that is unknown.
func (c *Client) Finish(ticket Ticket, end dispatch.PoolEnd, took time.Duration) {
	c.count(ticket.server, ticket.incarnation, -1)
	finished := Finished{Pool: ticket.pool, Ticket: ticket.number, End: end, Took: took}
	if ticket.link != nil {
		ticket.link.finish(finished)
		return
	}
	c.config.Own.Finish(FinishArgs{To: c.config.Self.Incarnation, Finished: []Finished{finished}})
}

// SentAlone counts a request that this host sends to a server without a ticket. The returned function must be called
// when it has ended.
func (c *Client) SentAlone(server fleet.ID) (ended func()) {
	c.count(string(server), "", 1)
	return func() { c.count(string(server), "", -1) }
}

// count changes the number of this host's requests at a server.
func (c *Client) count(server, dispatcher string, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.sent[server]
	if counts == nil {
		counts = make(map[string]int, 1)
		c.sent[server] = counts
	}
	counts[dispatcher] += change
	if counts[dispatcher] <= 0 {
		delete(counts, dispatcher)
	}
	if len(counts) == 0 {
		delete(c.sent, server)
	}
}

// link returns the link to another host. Links to incarnations that the plan no longer lists are dropped when a new one
// is made.
func (c *Client) link(host assign.Host) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.links[host.Incarnation]
	if known != nil {
		return known
	}
	plan := c.config.Plan()
	for incarnation := range c.links {
		if !slices.ContainsFunc(plan.Hosts, func(h assign.Host) bool { return h.Incarnation == incarnation }) {
			delete(c.links, incarnation)
		}
	}
	known = newLink(host, c.config, c.counters)
	c.links[host.Incarnation] = known
	return known
}
