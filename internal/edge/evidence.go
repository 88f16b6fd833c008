package edge

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/poison"
)

const (
	// evidenceInterval is the time between two checks for evidence that was not taken and for expired
	// evidence. New evidence is sent at once.
	evidenceInterval = 250 * time.Millisecond
	// evidenceRetryInterval is the time until evidence is sent again to a host that did not take it.
	evidenceRetryInterval = time.Second
	// evidenceExpiryInterval is the time between two removals of expired evidence from the shared
	// state.
	evidenceExpiryInterval = 30 * time.Second
	// evidenceSenders is the number of hosts that send the evidence of another one against a request on. If each host did,
	// the number of messages would be the square of that of the hosts.
	evidenceSenders = 3
)

// evidenceSharing makes the evidence against requests that crash servers known to all hosts: it sends
// what this host has recorded to each host until that has taken it, also to hosts that start later,
// and keeps the evidence against requests that have crashed several servers in the shared state, which
// outlasts the loss of all hosts.
type evidenceSharing struct {
	self  assign.Host
	guard *poison.Guard
	plan  func() assign.Plan
	state *state
	peers *peers
	log   *eventlog.Log

	// kept is the sequence number up to which the shared state has the evidence, and eraKept the
	// number of restores of the log before which it was written. Only the loop uses them.
	kept, eraKept uint64
	// lost is set if a restore may have lost evidence that no living host has recorded itself.
	lost      bool
	expiredAt time.Time
	// interval is evidenceInterval, except in tests.
	interval time.Duration

	mu sync.Mutex
	// replaced holds the evidence in the shared state of requests that may have to be written again.
	replaced map[poison.Fingerprint][]poison.Record

	deliveries *poison.Deliveries
	// deliveredPlan and delivered are the plan's version and the last change of the evidence in the last call of deliverAll.
	// Only the loop uses them.
	deliveredPlan assign.Fence
	delivered     uint64
}

func newEvidenceSharing(self assign.Host, guard *poison.Guard, plan func() assign.Plan, s *state, p *peers, log *eventlog.Log) *evidenceSharing {
	e := &evidenceSharing{
		self: self, guard: guard, plan: plan, state: s, peers: p, log: log,
		deliveries: poison.NewDeliveries(guard, evidenceRetryInterval), interval: evidenceInterval,
		replaced: make(map[poison.Fingerprint][]poison.Record),
	}
	guard.SendOnIf(e.sendsOn)
	return e
}

// sendsOn reports whether this host sends the evidence of other hosts against a request on.
func (e *evidenceSharing) sendsOn(f poison.Fingerprint) bool {
	return e.plan().AmongFirst(e.self, f.String(), evidenceSenders)
}

// run shares evidence until the context ends: at once when there is new evidence, because a host that
// is killed takes with it what it has not shared.
func (e *evidenceSharing) run(ctx context.Context) {
	var keeping sync.WaitGroup
	defer keeping.Wait()
	// Keeping waits for the store, which must not hold up the messages to the other hosts.
	keeping.Go(func() {
		loop.Every(ctx, e.interval, func(ctx context.Context) {
			e.keep(ctx)
			e.removeExpired(ctx)
		})
	})
	ticker := time.NewTicker(e.interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		e.guard.Expire()
		e.deliverAll(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-e.guard.Changed():
		}
	}
}

// deliverAll starts a message to each host that lacks evidence. It does nothing if all have what there is.
func (e *evidenceSharing) deliverAll(ctx context.Context) {
	plan, last := e.plan(), e.guard.LastExportable()
	if plan.Version == e.deliveredPlan && last == e.delivered && !e.deliveries.Pending() {
		return
	}
	e.deliveredPlan, e.delivered = plan.Version, last
	listed := make(map[string]bool)
	for _, host := range plan.Hosts {
		if host.SameIncarnation(e.self) || host.Retired {
			continue
		}
		id := host.Name + "/" + host.Incarnation
		listed[id] = true
		if records, ok := e.deliveries.Begin(id); ok {
			go e.deliver(ctx, host, id, records)
		}
	}
	e.deliveries.Retain(listed)
}

// deliver sends evidence to one host, and goes on while the host takes it and there is more.
func (e *evidenceSharing) deliver(ctx context.Context, host assign.Host, id string, records []poison.Record) {
	for due := true; due; records, due = e.deliveries.Begin(id) {
		e.deliverOnce(ctx, host, id, records)
	}
}

// deliverOnce sends evidence to one host and records whether it has taken it.
func (e *evidenceSharing) deliverOnce(ctx context.Context, host assign.Host, id string, records []poison.Record) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := e.peers.suspects(ctx, host, SuspectsArgs{From: e.self.Name, Records: records})
	changed := e.deliveries.End(id, err == nil)
	switch {
	case !changed:
	case err != nil:
		e.log.Event("suspects", "to", host.Name, "records", len(records), "outcome", "not taken, sent again", "err", err.Error())
	default:
		e.log.Event("suspects", "to", host.Name, "records", len(records), "outcome", "taken")
	}
}

// read takes over the evidence against a request that the shared state holds now. The log may have carried out an older write or a
// removal late, so it may be less than what this host knows.
func (e *evidenceSharing) read(f poison.Fingerprint, records []poison.Record) {
	e.guard.Import(records, poison.SharedState)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replaced[f] = records
}

// keepAgain writes the evidence against requests again of which the shared state holds less than this host knows, if this host
// has recorded some of it itself, or leads. What cannot be written is written in a later round.
func (e *evidenceSharing) keepAgain(ctx context.Context, leads bool) {
	for f, kept := range e.takeReplaced() {
		records := e.guard.DurableRecords(f, kept, leads)
		if len(records) == 0 {
			continue
		}
		if err := e.state.writeEvidence(ctx, f, records); err != nil {
			e.log.Routine("suspects", "fingerprint", f.String(), "outcome", "not kept", "err", err.Error())
			e.putBack(f, kept)
			continue
		}
		e.log.Event("suspects", "fingerprint", f.String(), "crashes", len(records), "before", len(kept), "outcome", "kept again")
	}
}

// takeReplaced returns what read has noted since the last call.
func (e *evidenceSharing) takeReplaced() map[poison.Fingerprint][]poison.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	replaced := e.replaced
	e.replaced = make(map[poison.Fingerprint][]poison.Record)
	return replaced
}

// putBack notes evidence again, unless newer one has been read.
func (e *evidenceSharing) putBack(f poison.Fingerprint, kept []poison.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, newer := e.replaced[f]; !newer {
		e.replaced[f] = kept
	}
}

// keep writes the evidence to the shared state that is missing there.
func (e *evidenceSharing) keep(ctx context.Context) {
	leads := e.plan().Leader.SameIncarnation(e.self)
	if e.keepNew(ctx, leads) {
		e.keepAgain(ctx, leads)
	}
}

// keepNew writes the new evidence that this host has recorded to the shared state. A restore of the log
// may have lost evidence: then each host writes its own again, and the leader all. What cannot be
// written is written in a later round, and it returns false.
func (e *evidenceSharing) keepNew(ctx context.Context, leads bool) bool {
	if era := e.state.NextVersion().Era(); era != e.eraKept {
		e.kept, e.eraKept, e.lost = 0, era, true
	}
	if e.lost && leads {
		e.kept = 0
	}
	durable, next := e.guard.ExportDurable(e.kept, e.lost && leads)
	for fingerprint, records := range durable {
		if err := e.state.writeEvidence(ctx, fingerprint, records); err != nil {
			e.log.Routine("suspects", "fingerprint", fingerprint.String(), "outcome", "not kept", "err", err.Error())
			return false
		}
		e.log.Event("suspects", "fingerprint", fingerprint.String(), "crashes", len(records), "outcome", "kept")
		e.forgetReplaced(fingerprint)
	}
	e.kept = next
	e.lost = e.lost && !leads
	return true
}

// forgetReplaced forgets what the shared state held against a request before its evidence was written.
func (e *evidenceSharing) forgetReplaced(f poison.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.replaced, f)
}

// removeExpired removes evidence from the shared state that no longer counts, on the leader.
func (e *evidenceSharing) removeExpired(ctx context.Context) {
	if time.Since(e.expiredAt) < evidenceExpiryInterval || !e.plan().Leader.SameIncarnation(e.self) {
		return
	}
	e.expiredAt = time.Now()
	if err := e.state.removeExpiredEvidence(ctx); err != nil {
		e.log.Routine("suspects", "outcome", "expired evidence not removed", "err", err.Error())
	}
}

// logEvidence logs a change of the number of crashes that count against a request. A server that ends
// may leave many requests with one crash, of which each host learns, so these lines are routine.
func (h *Host) logEvidence(c poison.Change) {
	outcome := "crash"
	if c.After < c.Before {
		outcome = "cleared"
	}
	write := h.log.Event
	if max(c.Before, c.After) == 1 && c.Source == poison.OtherHost {
		write = h.log.Routine
	}
	write("evidence", "fingerprint", c.Fingerprint.String(), "server", c.Server.Incarnation, "addr", c.Server.Addr,
		"source", string(c.Source), "outcome", outcome, "before", c.Before, "after", c.After)
}
