package host

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/keeper"
	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/planner"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

const (
	// planEvery is the time between two looks at what the table lacks.
	planEvery = 50 * time.Millisecond
	// rankDelay is how much longer a host of the next rank leaves a change to others.
	rankDelay = 400 * time.Millisecond
	// replaceDelay is how long a lessor that leaves or is gone keeps its place: one
	// that leaves gives its lead back in that time, without cutting a request.
	replaceDelay = 1500 * time.Millisecond
	// planTimeout bounds an append of the planner and the reading of its verdict.
	planTimeout = 3 * time.Second
	// probeTimeout bounds the first contact to a backend server.
	probeTimeout = 300 * time.Millisecond
)

// attempts remembers since when this host has seen each need, and which ones
// it is working on.
type attempts struct {
	mu    sync.Mutex
	since map[string]time.Time
	busy  map[string]bool
}

func newAttempts() attempts {
	return attempts{since: make(map[string]time.Time), busy: make(map[string]bool)}
}

// due reports whether the need has stood for the delay and nobody here works on it.
func (a *attempts) due(need string, delay time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	since, seen := a.since[need]
	if !seen {
		a.since[need] = time.Now()
		since = time.Now()
	}
	return time.Since(since) >= delay && !a.busy[need]
}

// begin notes that work on a need has begun.
func (a *attempts) begin(need string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy[need] = true
}

// end notes that work on a need has ended; the need counts anew.
func (a *attempts) end(need string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.busy, need)
	delete(a.since, need)
}

// retain forgets all needs that do not stand any more.
func (a *attempts) retain(needs map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for need := range a.since {
		if !needs[need] && !a.busy[need] {
			delete(a.since, need)
		}
	}
}

// planDuty looks for what the table lacks and appends it to the log.
func (h *Host) planDuty(ctx context.Context) {
	duty.Every(ctx, planEvery, h.plan)
}

// staying returns the hosts without an operator's mark: the others shall keep no duties.
func (h *Host) staying(live []members.Host) []members.Host {
	var unmarked []members.Host
	h.view.Read(func(_ *settings.State, table *ownership.Table) {
		for _, host := range live {
			if table.Mark(record.SubjectHost, host.Name).State == record.MarkActive {
				unmarked = append(unmarked, host)
			}
		}
	})
	return unmarked
}

// need is one change that the table lacks. Subject decides which host goes first.
type need struct {
	name    string
	subject string
	zone    string
	// wait is how long the need must stand before anybody acts.
	wait time.Duration
	act  func(context.Context)
}

func (h *Host) plan(ctx context.Context) {
	if h.leaving.Load() || !h.members.Settled() {
		return
	}
	all := h.members.Live()
	live := h.staying(all)
	needs := h.needs(live, all)
	standing := make(map[string]bool, len(needs))
	for _, need := range needs {
		standing[need.name] = true
		if h.attempts.due(need.name, h.delay(need, live)) {
			h.attempts.begin(need.name)
			go func() {
				defer h.attempts.end(need.name)
				need.act(ctx)
			}()
		}
	}
	h.attempts.retain(standing)
}

// delay is how long this host leaves a need to hosts of lower rank. Hosts of the
// need's own zone come first.
func (h *Host) delay(need need, live []members.Host) time.Duration {
	var near []members.Host
	for _, host := range live {
		if host.Zone == need.zone {
			near = append(near, host)
		}
	}
	rank := members.RankOf(need.subject, h.config.Name, near)
	if rank == len(near) {
		rank += members.RankOf(need.subject, h.config.Name, live)
	}
	return need.wait + time.Duration(rank)*rankDelay
}

// needs returns what the table lacks. Live are the hosts that may take on
// duties, all those that are alive: a leaving lessor still takes part in a quorum.
func (h *Host) needs(live, all []members.Host) []need {
	var needs []need
	rates := h.allRates()
	h.view.Read(func(state *settings.State, table *ownership.Table) {
		for _, server := range planner.ToOpen(state, table) {
			needs = append(needs, h.openNeed(server, live))
		}
		for _, service := range state.Services() {
			if !service.Values.Keyed {
				continue
			}
			if plan, ok := planner.Slices(service, table); ok {
				needs = append(needs, h.sliceNeed(plan))
			} else if plan, ok := h.balancePlan(service, table, rates); ok {
				needs = append(needs, h.balanceNeed(plan))
			}
		}
		for _, session := range table.Sessions() {
			if lessors, ok := planner.ReplaceLessors(session, live); ok {
				needs = append(needs, h.lessorsNeed(session, lessors))
			}
			if recovery, ok := planner.ToRecover(session, table, all); ok {
				needs = append(needs, h.recoverNeed(recovery))
			}
		}
	})
	return needs
}

func (h *Host) sliceNeed(plan record.Plan) need {
	return need{
		name:    "plan " + plan.Service,
		subject: plan.Service,
		act: func(ctx context.Context) {
			h.append(ctx, record.Record{Kind: record.KindPlan, Plan: &plan})
		},
	}
}

func (h *Host) balanceNeed(plan record.Plan) need {
	need := h.sliceNeed(plan)
	need.name = "balance " + plan.Service
	return need
}

func (h *Host) lessorsNeed(session *ownership.Session, lessors record.Lessors) need {
	return need{
		name:    "lessors " + session.Addr,
		subject: session.Addr,
		zone:    session.Zone,
		wait:    replaceDelay,
		act: func(ctx context.Context) {
			h.append(ctx, record.Record{Kind: record.KindLessors, Lessors: &lessors})
		},
	}
}

func (h *Host) openNeed(server planner.Unopened, live []members.Host) need {
	return need{
		name:    "open " + server.Addr,
		subject: server.Addr,
		zone:    server.Zone,
		act: func(ctx context.Context) {
			h.openSession(ctx, server, live)
		},
	}
}

// openSession opens a session for a backend server that answers.
func (h *Host) openSession(ctx context.Context, server planner.Unopened, live []members.Host) {
	probe, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := h.servers.Grant(probe, server.Addr, backend.GrantRequest{})
	lessors := planner.ChooseLessors(server.Addr, server.Zone, live, nil)
	if err != nil || reply.Draining || len(lessors) == 0 {
		duty.Wait(ctx, probeTimeout)
		return
	}
	h.append(ctx, record.Record{Kind: record.KindOpen, Open: &record.Open{
		Service:     server.Service,
		Zone:        server.Zone,
		Addr:        server.Addr,
		Incarnation: reply.Incarnation,
		Lessors:     lessors,
		Previous:    server.Previous,
		Terms:       h.termsFor(server),
	}})
}

// termsFor returns the durations in force for a server that is to be opened.
func (h *Host) termsFor(server planner.Unopened) record.LeaseTerms {
	var values settings.Values
	h.view.Read(func(state *settings.State, _ *ownership.Table) {
		values = zoneValues(state, &ownership.Session{Service: server.Service, Zone: server.Zone})
	})
	return keeper.TermsOf(values)
}

// append appends a record of the planner. A refused one was overtaken by
// another host's; the next look at the table tells what is still missing.
func (h *Host) append(ctx context.Context, r record.Record) {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	h.writer.Append(ctx, r)
}
