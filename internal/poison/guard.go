package poison

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// Guard is a memory and a tracker for concurrent requests. It is safe for
// concurrent use.
type Guard struct {
	mu      sync.Mutex
	memory  *Memory
	tracker *Tracker
	// ended is closed and replaced when a trial has ended.
	ended chan struct{}
}

// NewGuard returns a guard without evidence.
func NewGuard(bounds Bounds) *Guard {
	memory := NewMemory(bounds)
	return &Guard{memory: memory, tracker: NewTracker(memory), ended: make(chan struct{})}
}

// Pass is the permission to send one request to one server. Its holder must
// call End; only the first call has an effect.
type Pass struct {
	guard  *Guard
	server Server
	number uint64
	// Alone says that nothing else may be in flight on the server meanwhile.
	Alone bool
}

// Begin asks whether a request may be sent to a server. Where the same request
// is being tried, it waits for the end of that until the context ends.
func (g *Guard) Begin(ctx context.Context, server Server, f Fingerprint) (*Pass, outcome.Refusal, bool) {
	for {
		pass, start, ended := g.begin(server, f)
		if !start.Wait {
			return pass, start.Refusal, start.Allowed
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, refuse(outcome.ReasonTooManySuspects, retryTrialAfter).Refusal, false
		}
	}
}

func (g *Guard) begin(server Server, f Fingerprint) (*Pass, Start, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	number, start := g.tracker.Begin(time.Now(), server, f)
	return &Pass{guard: g, server: server, number: number, Alone: start.Alone}, start, g.ended
}

// Sent tells that the request is being sent now, after it has got its slot.
func (p *Pass) Sent() {
	p.sent(false)
}

// SentInCompany tells the same of a server that other hosts send to as well.
// Its death then proves less against the request.
func (p *Pass) SentInCompany() {
	p.sent(true)
}

func (p *Pass) sent(company bool) {
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	p.guard.tracker.Sent(p.server, p.number, company)
}

// End tells how the request ended.
func (p *Pass) End(ending Ending) {
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	p.guard.tracker.End(time.Now(), p.server, p.number, ending)
	if p.Alone {
		close(p.guard.ended)
		p.guard.ended = make(chan struct{})
	}
}

// Check returns the evidence against a request, for a host that only passes it on.
func (g *Guard) Check(f Fingerprint) Suspicion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.memory.Check(time.Now(), f)
}

// ServerDied notes that a server's incarnation has ended.
func (g *Guard) ServerDied(server Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.ServerDied(time.Now(), server)
}

// ServerAlive notes an answer to a question asked at the given time.
func (g *Guard) ServerAlive(asked time.Time, server Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.ServerAlive(asked, server)
}

// Export returns the records that changed after the given number, and the
// number to give next time.
func (g *Guard) Export(since uint64) ([]Record, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.memory.Export(time.Now(), since)
}

// Import takes in records of other hosts.
func (g *Guard) Import(records []Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memory.Import(time.Now(), records)
}

// Configure changes the bounds.
func (g *Guard) Configure(bounds Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memory.Configure(bounds)
}

// Expire forgets what is no longer needed. It is called now and then.
func (g *Guard) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Expire(time.Now())
}

// Len returns the number of requests with evidence.
func (g *Guard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.memory.Len()
}
