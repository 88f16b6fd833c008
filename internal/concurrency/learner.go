// Package concurrency learns, for each incarnation of a backend server, its lasting speed and the number of concurrent
// requests that it takes well, from the time that requests take there.
//
// The host that sends all requests to a server feeds the Learner: the primary of a keyed service (package front). The
// gate in front of the server follows Width, and the leader divides keys by Speeds. What is learned is kept in memory
// only: a host that has just become primary knows nothing and starts at the full width.
//
// Three estimates are kept apart, because they need different answers:
//   - the lasting speed (speed.go) is a median over many seconds, which neither noise nor a slow time of some seconds moves;
//   - the latency curve (curve.go) says how much longer a request takes for each further request that the server has. The
//     width is the smallest one with nearly the best throughput by this curve;
//   - a slow time (spell.go) is a time in which most requests take several times as long as they usually do there.
//
// Wrong estimates cost throughput and never correctness: the width is at least 1 and at most that of a server of which
// nothing is known. The package has no goroutines and no clock; times are readings of the caller's monotonic clock.
package concurrency

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// extraWidth is the number of requests beyond the slots that a server gets, so that one waits there when a slot
	// becomes free.
	extraWidth = 1
	// maxServers and maxKinds bound the memory. When one is reached, everything is learned anew.
	maxServers = 4096
	maxKinds   = 4096
	// forgetAfter is how long the estimates of a server are kept that gets no requests.
	forgetAfter = 10 * time.Minute
)

// Server identifies one incarnation of a server.
type Server struct {
	ID   string
	Born int64
}

// Kind is a kind of requests that take a similar time. Different kinds are compared by the goal, which is the same on
// all hosts.
type Kind struct {
	Service, Route string
	// Goal is the time in which a request should be answered, above zero.
	Goal time.Duration
}

// Change is a change of the width of a server's gate.
type Change struct {
	Server  Server
	Service string
	// Width is the new width and Full that of a server of which nothing is known.
	Width, Full int
	// Slow says that the server is in a slow time.
	Slow bool
}

// Speed is what is known about the speed of a server.
type Speed struct {
	Server Server
	// Lasting is the time that requests lastingly take there in relation to their goal, per slot that the server makes
	// use of.
	Lasting float64
	// Passing is the time that requests have taken in the last seconds in relation to what they lastingly take.
	Passing float64
}

// Learner holds the estimates of all servers. It is safe for concurrent use.
type Learner struct {
	// OnChange, if set, is called for changes of a width, for each server at most once per reportInterval. It must not
	// block or call the Learner.
	OnChange func(Change)

	mu       sync.Mutex
	servers  map[Server]*server
	kinds    map[Kind]*centre
	services map[string]*centre
	counters counters
	sweptAt  time.Duration
}

// Request is a request at a server.
type Request struct {
	server   *server
	kind     Kind
	expected float64
	// started says that the server executes the request, since startedAt. Before, it waits there for a slot, which says
	// nothing about the server's speed.
	started   bool
	startedAt time.Duration
	// level is the number of requests that ran at the server when this one started, itself included.
	level int
	ended bool
}

// start records that the server has begun to execute the request.
func (r *Request) start(level int, now time.Duration) {
	r.started, r.startedAt, r.level = true, now, level
}

// Begin records that a request is sent to a server with the given number of slots. End must follow.
func (l *Learner) Begin(id Server, slots int, kind Kind, now time.Duration) *Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(id, kind.Service, slots, now)
	r := &Request{server: s, kind: kind, expected: l.expected(s, kind)}
	s.begin(r, now)
	return r
}

// End records the end of a request. Answered says that the server has executed it and answered, so that its time counts.
func (l *Learner) End(r *Request, answered bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	level := r.server.end(r, now)
	if !answered || !r.started || now <= r.startedAt {
		return
	}
	ratio := math.Log(float64(now-r.startedAt) / float64(r.kind.Goal))
	ratio -= l.kindOffset(r.kind, ratio)
	r.server.sample(r, level, ratio, now)
}

// Width returns the number of requests that the server may have now. Queued says whether requests wait for it.
func (l *Learner) Width(id Server, slots int, queued bool, now time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil {
		return max(slots, 1) + extraWidth
	}
	width := s.chooseWidth(max(slots, 1), queued, now)
	l.report(s, now)
	return width
}

// report counts a change of the server's width and passes it on.
func (l *Learner) report(s *server, now time.Duration) {
	change := Change{Server: s.id, Service: s.service, Width: s.width, Full: s.slots + extraWidth, Slow: s.spell.slow}
	if change == s.reported || now-s.reportedAt < reportInterval {
		return
	}
	l.counters.count(s.reported, change)
	s.reported, s.reportedAt = change, now
	if l.OnChange != nil {
		l.OnChange(change)
	}
}

// Speeds returns the speeds of the servers that have had requests lately and of which enough is known.
func (l *Learner) Speeds(now time.Duration) []Speed {
	l.mu.Lock()
	defer l.mu.Unlock()
	var speeds []Speed
	for id, s := range l.servers {
		if speed, ok := s.currentSpeed(now); ok {
			speeds = append(speeds, Speed{Server: id, Lasting: speed.Lasting, Passing: speed.Passing})
		}
	}
	slices.SortFunc(speeds, func(a, b Speed) int {
		return cmp.Or(cmp.Compare(a.Server.ID, b.Server.ID), cmp.Compare(a.Server.Born, b.Server.Born))
	})
	return speeds
}

// server returns the estimates of a server. The caller holds the lock.
func (l *Learner) server(id Server, service string, slots int, now time.Duration) *server {
	l.sweep(now)
	if l.servers == nil || len(l.servers) >= maxServers {
		l.servers = make(map[Server]*server)
	}
	s := l.servers[id]
	if s == nil {
		s = newServer(id, service, max(slots, 1), now)
		l.servers[id] = s
	}
	s.usedAt = now
	return s
}

// sweep forgets the servers that have not been used for long. The caller holds the lock.
func (l *Learner) sweep(now time.Duration) {
	if now-l.sweptAt < forgetAfter/10 {
		return
	}
	l.sweptAt = now
	for id, s := range l.servers {
		if now-s.usedAt > forgetAfter {
			delete(l.servers, id)
		}
	}
}

// kindOffset records the logarithm of a time in relation to its goal, and returns by how much requests of the kind usually
// exceed those of their service. The caller holds the lock.
func (l *Learner) kindOffset(kind Kind, ratio float64) float64 {
	if l.kinds == nil || len(l.kinds) >= maxKinds {
		l.kinds, l.services = make(map[Kind]*centre), make(map[string]*centre)
	}
	if l.kinds[kind] == nil {
		l.kinds[kind] = &centre{}
	}
	if l.services[kind.Service] == nil {
		l.services[kind.Service] = &centre{}
	}
	l.kinds[kind].add(ratio)
	l.services[kind.Service].add(ratio)
	return l.kinds[kind].value - l.services[kind.Service].value
}

// expected returns the time that a request of the kind usually takes at the server, in seconds, or zero if that is not
// known. The caller holds the lock.
func (l *Learner) expected(s *server, kind Kind) float64 {
	ofKind, ofService := l.kinds[kind], l.services[kind.Service]
	if ofKind == nil || ofKind.samples < minCentreSamples {
		return 0
	}
	ratio := ofKind.value
	if lasting, ok := s.speed.value(); ok {
		ratio += lasting - ofService.value
	}
	return kind.Goal.Seconds() * math.Exp(ratio)
}
