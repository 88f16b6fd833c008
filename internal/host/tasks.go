package host

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/keeper"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/planner"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

const (
	// planInterval is the time between two comparisons of the ownership table with its desired state.
	planInterval = 50 * time.Millisecond
	// rankDelay is how much longer than the host before it a host waits before it makes a change itself.
	rankDelay = 400 * time.Millisecond
	// replaceDelay is how long a lessor that leaves or has failed stays a lessor. A leaving
	// one hands over as primary within that time, without interrupting a request.
	replaceDelay = 1500 * time.Millisecond
	// planTimeout bounds an append to the log and the wait for its result.
	planTimeout = 3 * time.Second
	// probeTimeout bounds a control call to a backend server, and is the pause after one that failed.
	probeTimeout = 300 * time.Millisecond
)

// taskTracker holds, by the name of each task, since when this host has seen it and
// whether it is running here. It is safe for concurrent use.
type taskTracker struct {
	mu        sync.Mutex
	seenSince map[string]time.Time
	running   map[string]bool
}

func newTaskTracker() taskTracker {
	return taskTracker{seenSince: make(map[string]time.Time), running: make(map[string]bool)}
}

// due reports whether the task has existed for the delay and is not running here.
func (t *taskTracker) due(task string, delay time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, seen := t.seenSince[task]
	if !seen {
		t.seenSince[task] = time.Now()
		since = time.Now()
	}
	return time.Since(since) >= delay && !t.running[task]
}

// begin marks a task as running.
func (t *taskTracker) begin(task string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[task] = true
}

// end marks a task as finished. If it is still needed, its delay starts anew.
func (t *taskTracker) end(task string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, task)
	delete(t.seenSince, task)
}

// retain removes all tasks that are not among those given, except running ones.
func (t *taskTracker) retain(tasks map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for task := range t.seenSince {
		if !tasks[task] && !t.running[task] {
			delete(t.seenSince, task)
		}
	}
}

// planLoop compares the ownership table with its desired state and appends the
// missing changes to the log.
func (h *Host) planLoop(ctx context.Context) {
	loop.Every(ctx, planInterval, h.plan)
}

// unmarkedHosts returns the hosts without an operator's mark. Marked hosts must not become lessors.
func (h *Host) unmarkedHosts(live []members.Host) []members.Host {
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

// task is one change that the ownership table lacks. All hosts see the same tasks; the
// subject decides in which order they attempt it, so that normally one host makes the change.
type task struct {
	name    string
	subject string
	zone    string
	// minAge is how long the task must have existed before any host acts.
	minAge time.Duration
	act    func(context.Context)
}

// plan starts the tasks that are due for this host.
func (h *Host) plan(ctx context.Context) {
	if h.leaving.Load() || !h.members.Settled() {
		return
	}
	all := h.members.Live()
	live := h.unmarkedHosts(all)
	tasks := h.missingChanges(live, all)
	current := make(map[string]bool, len(tasks))
	for _, task := range tasks {
		current[task.name] = true
		if h.tracker.due(task.name, h.delay(task, live)) {
			h.tracker.begin(task.name)
			go func() {
				defer h.tracker.end(task.name)
				task.act(ctx)
			}()
		}
	}
	h.tracker.retain(current)
}

// delay returns how long this host leaves a task to the hosts that rank before it. Hosts
// of the task's zone rank before all others.
func (h *Host) delay(task task, live []members.Host) time.Duration {
	var sameZone []members.Host
	for _, host := range live {
		if host.Zone == task.zone {
			sameZone = append(sameZone, host)
		}
	}
	rank := members.RankOf(task.subject, h.config.Name, sameZone)
	if rank == len(sameZone) {
		rank += members.RankOf(task.subject, h.config.Name, live)
	}
	return task.minAge + time.Duration(rank)*rankDelay
}

// missingChanges returns the changes that the ownership table lacks. live are the hosts
// that may become lessors, all also those that are marked: as lessors they still count
// for a quorum.
func (h *Host) missingChanges(live, all []members.Host) []task {
	var tasks []task
	rates := h.allRates()
	h.view.Read(func(state *settings.State, table *ownership.Table) {
		for _, server := range planner.ServersWithoutSession(state, table) {
			tasks = append(tasks, h.openTask(server, live))
		}
		for _, service := range state.Services() {
			if !service.Values.Keyed {
				continue
			}
			if plan, ok := planner.PlanSlices(service, table); ok {
				tasks = append(tasks, h.sliceTask(plan))
			} else if plan, ok := h.balancePlan(service, table, rates); ok {
				tasks = append(tasks, h.balanceTask(plan))
			}
		}
		for _, session := range table.OpenSessions() {
			if lessors, ok := planner.ReplaceLessors(session, live); ok {
				tasks = append(tasks, h.lessorsTask(session, lessors))
			}
			if recovery, ok := planner.PlanRecovery(session, table, all); ok {
				tasks = append(tasks, h.recoverTask(recovery))
			}
		}
	})
	return tasks
}

// sliceTask returns the task that appends a plan for the slices of a service.
func (h *Host) sliceTask(plan record.Plan) task {
	return task{
		name:    "plan " + plan.Service,
		subject: plan.Service,
		act: func(ctx context.Context) {
			h.append(ctx, record.Record{Kind: record.KindPlan, Plan: &plan})
		},
	}
}

// balanceTask returns the task that appends a plan which balances load.
func (h *Host) balanceTask(plan record.Plan) task {
	task := h.sliceTask(plan)
	task.name = "balance " + plan.Service
	return task
}

// lessorsTask returns the task that replaces lessors of a session.
func (h *Host) lessorsTask(session *ownership.Session, lessors record.Lessors) task {
	return task{
		name:    "lessors " + session.Addr,
		subject: session.Addr,
		zone:    session.Zone,
		minAge:  replaceDelay,
		act: func(ctx context.Context) {
			h.append(ctx, record.Record{Kind: record.KindLessors, Lessors: &lessors})
		},
	}
}

// openTask returns the task that opens a session for a backend server.
func (h *Host) openTask(server planner.ServerWithoutSession, live []members.Host) task {
	return task{
		name:    "open " + server.Addr,
		subject: server.Addr,
		zone:    server.Zone,
		act: func(ctx context.Context) {
			h.openSession(ctx, server, live)
		},
	}
}

// openSession opens a session for a backend server if the server answers and is not draining.
func (h *Host) openSession(ctx context.Context, server planner.ServerWithoutSession, live []members.Host) {
	probe, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := h.servers.Grant(probe, server.Addr, backend.GrantRequest{})
	lessors := planner.ChooseLessors(server.Addr, server.Zone, live, nil)
	if err != nil || reply.Draining || len(lessors) == 0 {
		loop.Sleep(ctx, probeTimeout)
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

// termsFor returns the lease durations in force for a server whose session is to be opened.
func (h *Host) termsFor(server planner.ServerWithoutSession) record.LeaseTerms {
	var values settings.Values
	h.view.Read(func(state *settings.State, _ *ownership.Table) {
		values = zoneValues(state, &ownership.Session{Service: server.Service, Zone: server.Zone})
	})
	return keeper.TermsOf(values)
}

// append appends a record to the log. Its result is ignored: a rejected record was
// overtaken by another host's, and the next run of plan finds what is still missing.
func (h *Host) append(ctx context.Context, r record.Record) {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	h.writer.Append(ctx, r)
}
