package poison

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// Guard combines an EvidenceStore and a Tracker for concurrent requests. It is safe for
// concurrent use.
type Guard struct {
	mu      sync.Mutex
	store   *EvidenceStore
	tracker *Tracker
	// changed gets a value when this host may have recorded new evidence.
	changed chan struct{}
	// trialEnded is closed and replaced whenever a suspect that ran alone has ended.
	trialEnded chan struct{}
}

// NewGuard returns a guard without evidence.
func NewGuard(bounds Bounds) *Guard {
	store := NewEvidenceStore(bounds)
	return &Guard{store: store, tracker: NewTracker(store), changed: make(chan struct{}, 1), trialEnded: make(chan struct{})}
}

// Changed returns a channel that gets a value when this host may have recorded new evidence itself. What
// other hosts send is not announced: each exports its own. Only one goroutine may receive from it.
func (g *Guard) Changed() <-chan struct{} {
	return g.changed
}

// signalChange announces that this host may have recorded new evidence.
func (g *Guard) signalChange() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Observe sets a function that is called with each change of the number of crashes that count
// against a request. It must not block or call the guard. Observe is called before the guard is used.
func (g *Guard) Observe(onChange func(Change)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store.onChange = onChange
}

// SendOnIf sets a function that reports whether this host sends evidence of other hosts against a request on, so that the
// loss of the host that has recorded it loses nothing. Without it, each host sends all on. It must not block or call the
// guard. SendOnIf is called before the guard is used.
func (g *Guard) SendOnIf(sendsOn func(Fingerprint) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store.sendsOn = sendsOn
}

// Attempt is one attempt to send one request to one server. Its holder must call End;
// only the first call has an effect.
type Attempt struct {
	guard  *Guard
	server Server
	number uint64
	// Alone means that nothing else may be in flight on the server during the attempt.
	Alone bool
	// Crashes is the number of crashes that counted against the request when the attempt began.
	Crashes int
}

// Begin asks whether a request may be sent to a server. It returns an attempt and true,
// or a refusal and false. While the same request runs alone elsewhere, Begin
// waits until that run, whose result decides, has ended or the context is done.
func (g *Guard) Begin(ctx context.Context, server Server, f Fingerprint) (*Attempt, outcome.Refusal, bool) {
	for {
		attempt, decision := g.TryBegin(server, f, true)
		if !decision.Wait {
			return attempt, decision.Refusal, decision.Allowed
		}
		if !g.AwaitTrial(ctx, f) {
			return nil, rejection(outcome.ReasonTooManySuspects, trialRetryAfter).Refusal, false
		}
	}
}

// TryBegin is Begin without waiting. The attempt is valid only if the decision allows it.
//
// Trials are serialized only within this guard. If several hosts send the same requests, only one of them may set
// maySendSuspect; the others are refused a request that has crashed a server.
func (g *Guard) TryBegin(server Server, f Fingerprint, maySendSuspect bool) (*Attempt, Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !maySendSuspect && g.store.Check(now, f) == Suspect {
		return nil, rejection(outcome.ReasonTooManySuspects, trialRetryAfter)
	}
	number, decision := g.tracker.Begin(now, server, f)
	return &Attempt{guard: g, server: server, number: number, Alone: decision.Alone, Crashes: decision.Crashes}, decision
}

// InTrial reports whether the request runs alone now.
func (g *Guard) InTrial(f Fingerprint) bool {
	_, active := g.trial(f)
	return active
}

// AwaitTrial waits while the request runs alone. It returns false if the context is done before.
func (g *Guard) AwaitTrial(ctx context.Context, f Fingerprint) bool {
	for {
		trialEnded, active := g.trial(f)
		if !active {
			return true
		}
		select {
		case <-trialEnded:
		case <-ctx.Done():
			return false
		}
	}
}

// trial reports whether the request runs alone, and returns a channel that is closed when a trial ends.
func (g *Guard) trial(f Fingerprint) (<-chan struct{}, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.trialEnded, g.tracker.activeTrials[f]
}

// Sent records that the request is being sent now, after its admission.
func (a *Attempt) Sent() {
	a.sent(false)
}

// SentShared is Sent for a server to which other hosts may send at the same
// time. Its crash does not count as one while the request ran alone.
func (a *Attempt) SentShared() {
	a.sent(true)
}

func (a *Attempt) sent(sharedServer bool) {
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.guard.tracker.Sent(a.server, a.number, sharedServer)
}

// End records how the attempt ended.
func (a *Attempt) End(result Result) {
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.guard.tracker.End(time.Now(), a.server, a.number, result)
	if a.Alone {
		close(a.guard.trialEnded)
		a.guard.trialEnded = make(chan struct{})
	}
}

// Check returns the suspicion against a request, without beginning an attempt.
func (g *Guard) Check(f Fingerprint) Suspicion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.Check(time.Now(), f)
}

// ServerCrashed records that a server's incarnation has crashed, and how this host has learned of it.
func (g *Guard) ServerCrashed(server Server, source Source) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.ServerCrashed(time.Now(), server, source)
	g.signalChange()
}

// ServerAlive records that the server answered a query sent at queriedAt.
func (g *Guard) ServerAlive(queriedAt time.Time, server Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.ServerAlive(queriedAt, server)
}

// EndDoubt records that a connection to the server that broke before the given time makes no crash likely; see
// Tracker.EndDoubt.
func (g *Guard) EndDoubt(before time.Time, server Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.EndDoubt(before, server)
}

// SetBlind records whether this host cannot learn of crashes, as while the service discovery is away.
func (g *Guard) SetBlind(blind bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.SetBlind(time.Now(), blind)
}

// Export returns the records that changed after the given sequence number, and the
// sequence number to pass to the next call.
func (g *Guard) Export(since uint64) ([]Record, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.Export(time.Now(), since)
}

// LastExportable returns the sequence number of the last change that Export may return.
func (g *Guard) LastExportable() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.exportable
}

// ExportDurable returns the records that are worth keeping outside the hosts; see
// EvidenceStore.ExportDurable.
func (g *Guard) ExportDurable(since uint64, imported bool) (map[Fingerprint][]Record, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.ExportDurable(time.Now(), since, imported)
}

// DurableRecords returns the records of a request that must be kept again; see EvidenceStore.DurableRecords.
func (g *Guard) DurableRecords(f Fingerprint, kept []Record, imported bool) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.DurableRecords(time.Now(), f, kept, imported)
}

// Import adds records of other hosts; the source is OtherHost or SharedState.
func (g *Guard) Import(records []Record, source Source) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store.Import(time.Now(), records, source)
}

// Configure changes the bounds.
func (g *Guard) Configure(bounds Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store.Configure(bounds)
}

// Expire removes expired evidence. It is called periodically.
func (g *Guard) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Expire(time.Now())
}

// Len returns the number of requests with evidence.
func (g *Guard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.Len()
}
