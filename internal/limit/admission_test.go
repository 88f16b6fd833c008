package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

var (
	start     = time.Unix(1000, 0)
	warmSince = start.Add(-time.Hour)
	limits    = Config{Slots: 4, ColdStartSlots: 1, ColdStartTime: 3 * time.Second, QueueLimit: 8}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestSlotsDuringColdStart(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want int
	}{
		{-time.Second, 1}, {0, 1}, {999 * time.Millisecond, 1}, {time.Second, 2},
		{2 * time.Second, 3}, {2999 * time.Millisecond, 3}, {3 * time.Second, 4}, {time.Hour, 4},
	} {
		assert.Equal(t, limits.SlotsAt(c.age), c.want, "age %v", c.age)
	}
	assert.Equal(t, Config{Slots: 2, ColdStartSlots: 9, ColdStartTime: time.Second}.SlotsAt(0), 2)
	assert.Equal(t, Config{Slots: -1}.SlotsAt(0), 0)
}

// offer offers a request and returns its immediate decision. The zero decision
// means that the request was queued.
func offer(t *testing.T, a *AdmissionController, now time.Time, flow string, wait time.Duration) Decision {
	t.Helper()
	ticket, decisions := a.Offer(now, Request{Flow: flow, Deadline: now.Add(wait)})
	for _, decision := range decisions {
		if decision.Ticket == ticket {
			return decision
		}
	}
	return Decision{}
}

func TestRefusals(t *testing.T) {
	second := Result{Executed: true, Took: time.Second}
	for name, c := range map[string]struct {
		prepare func(a *AdmissionController)
		wait    time.Duration
		reason  outcome.Reason
		after   time.Duration
	}{
		"no slots at all": {
			func(a *AdmissionController) { a.Configure(start, Config{}) },
			time.Second, outcome.ReasonOverloaded, minRetryAfter,
		},
		"deadline passed": {
			func(*AdmissionController) {},
			0, outcome.ReasonDeadline, minRetryAfter,
		},
		"wait beyond the deadline": {
			func(a *AdmissionController) {
				ticket, _ := a.Offer(start, Request{Flow: "a", Deadline: at(time.Minute)})
				a.Finish(start, ticket, second)
				fill(a, 4+4)
			},
			time.Second, outcome.ReasonOverloaded, 1250 * time.Millisecond,
		},
		"warming": {
			func(a *AdmissionController) {
				ticket, _ := a.Offer(start, Request{Flow: "a", Deadline: at(time.Minute)})
				a.Finish(start, ticket, second)
				a.Reset(start)
				fill(a, 1)
				a.observeServiceTime(time.Second)
			},
			time.Second, outcome.ReasonWarming, time.Second,
		},
		"queue full": {
			func(a *AdmissionController) { fill(a, 4+8) },
			time.Minute, outcome.ReasonOverloaded, minRetryAfter,
		},
		"inherited": {
			func(a *AdmissionController) {
				a.Inherit(start, 3, at(time.Minute))
				fill(a, 1)
				a.observeServiceTime(time.Second)
			},
			time.Second, outcome.ReasonOverloaded, time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAdmissionController(limits, warmSince)
			c.prepare(a)
			decision := offer(t, a, start, "a", c.wait)
			assert.Equal(t, decision.Admitted, false)
			assert.Equal(t, decision.Refusal.Outcome, outcome.NotRun)
			assert.Equal(t, decision.Refusal.Reason, c.reason)
			assert.Equal(t, decision.Refusal.RetryAfter, c.after)
		})
	}
}

// fill offers requests of one flow.
func fill(a *AdmissionController, count int) {
	for range count {
		a.Offer(start, Request{Flow: "a", Deadline: at(time.Minute)})
	}
}

func TestHotFlowDoesNotStarveOthers(t *testing.T) {
	a := NewAdmissionController(Config{Slots: 1, QueueLimit: 4}, warmSince)
	running, _ := a.Offer(start, Request{Flow: "hot", Deadline: at(time.Minute)})
	for range 4 {
		a.Offer(start, Request{Flow: "hot", Deadline: at(time.Minute)})
	}
	cold, decisions := a.Offer(start, Request{Flow: "cold", Deadline: at(time.Minute)})
	assert.Equal(t, len(decisions), 1, "the newest hot request is evicted")
	assert.Equal(t, decisions[0].Refusal.Reason, outcome.ReasonOverloaded)

	first := a.Finish(start, running, Result{})
	second := a.Finish(start, first[0].Ticket, Result{})
	assert.Equal(t, second[0].Ticket, cold, "flows are served in turn: one hot request, then the cold one")
	assert.Assert(t, !offer(t, a, start, "hot", time.Minute).Admitted)
}

func TestRequestThatMustRunAloneRunsAlone(t *testing.T) {
	a := NewAdmissionController(limits, warmSince)
	fill(a, 2)
	alone, decisions := a.Offer(start, Request{Flow: "s", Deadline: at(time.Minute), Alone: true})
	assert.Equal(t, len(decisions), 0, "two others are in execution")
	next, decisions := a.Offer(start, Request{Flow: "b", Deadline: at(time.Minute)})
	assert.Equal(t, len(decisions), 0, "later requests wait behind the one that must run alone")
	assert.Equal(t, len(a.Finish(start, 1, Result{})), 0)
	assert.DeepEqual(t, a.Finish(start, 2, Result{}), []Decision{{Ticket: alone, Admitted: true}})
	assert.DeepEqual(t, a.Finish(start, alone, Result{}), []Decision{{Ticket: next, Admitted: true}})
}

func TestShedRequestLowersSlotsUntilRecovery(t *testing.T) {
	a := NewAdmissionController(limits, warmSince)
	fill(a, 4)
	a.Finish(start, 4, Result{Shed: true})
	a.Finish(start, 3, Result{Shed: true})
	assert.Equal(t, a.Stats(start).Slots, 2)
	executed := 0
	for ; executed < 100 && a.Stats(start).Slots < limits.Slots; executed++ {
		a.Finish(start, a.runningTickets()[0], Result{Executed: true, Took: time.Millisecond})
		fill(a, 1)
	}
	assert.Equal(t, executed, requestsPerRestoredSlot*(2+3))
}

func TestUnansweredRequestsRaiseTheServiceTime(t *testing.T) {
	a := NewAdmissionController(limits, warmSince)
	fill(a, 3)
	a.Finish(start, 1, Result{Executed: true, Took: 80 * time.Millisecond})
	a.Finish(start, 2, Result{Took: time.Millisecond})
	assert.Equal(t, a.Stats(start).Service, 80*time.Millisecond, "an unanswered request shorter than the average is no sample")
	a.Finish(start, 3, Result{Took: 880 * time.Millisecond})
	assert.Equal(t, a.Stats(start).Service, 180*time.Millisecond)
}

func TestRequestThatMustRunAloneDoesNotBlockOthersWhileInheritedRequestsRun(t *testing.T) {
	a := NewAdmissionController(limits, warmSince)
	a.Inherit(start, 1, at(time.Second))
	suspect, decisions := a.Offer(start, Request{Flow: "s", Deadline: at(time.Minute), Alone: true})
	assert.Equal(t, len(decisions), 0)
	assert.Assert(t, offer(t, a, start, "b", time.Minute).Admitted)
	assert.Equal(t, len(a.Advance(at(time.Second))), 0, "the request that must run alone waits for the running one")
	assert.Assert(t, !offer(t, a, at(time.Second), "c", time.Minute).Admitted)
	assert.DeepEqual(t, a.Finish(at(time.Second), suspect+1, Result{}), []Decision{{Ticket: suspect, Admitted: true}})
}

func TestInheritedSlots(t *testing.T) {
	a := NewAdmissionController(limits, warmSince)
	a.Inherit(start, limits.Slots, at(5*time.Second))
	waits, _ := a.Offer(start, Request{Flow: "a", Deadline: at(time.Minute)})
	assert.Equal(t, len(a.ObserveInFlight(start, start, 4)), 0)
	decisions := a.ObserveInFlight(start, start, 3)
	assert.DeepEqual(t, decisions, []Decision{{Ticket: waits, Admitted: true}})

	a.ObserveInFlight(at(time.Second), at(time.Second), 3)
	assert.Equal(t, a.Stats(start).Inherited, 2, "this host's own arrived request is subtracted")
	a.ObserveInFlight(at(time.Second), at(time.Second), 9)
	assert.Equal(t, a.Stats(start).Inherited, 2, "the inherited number never rises")
	a.Advance(at(5 * time.Second))
	assert.Equal(t, a.Stats(start).Inherited, 0)
}

func TestResetKeepsSlotsOfRequestsOnTheFormerIncarnation(t *testing.T) {
	a := NewAdmissionController(limits, warmSince)
	fill(a, 2)
	lost := a.Reset(start)
	assert.Equal(t, len(lost), 2)
	waits, decisions := a.Offer(start, Request{Flow: "a", Deadline: at(time.Minute)})
	assert.Equal(t, len(decisions), 0)
	assert.Equal(t, len(a.Finish(start, lost[0], Result{})), 0)
	decisions = a.Finish(start, lost[1], Result{})
	assert.DeepEqual(t, decisions, []Decision{{Ticket: waits, Admitted: true}})
}

// TestAdmissionKeepsItsLimits applies random operations and checks that an admission
// never makes the requests in execution exceed the slots, that a request which must run
// alone does, that the queue is bounded, and that no request is decided twice.
func TestAdmissionKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		config := limits
		coldSince := start
		a := NewAdmissionController(config, coldSince)
		decided := map[Ticket]Decision{}
		offered := []Ticket{}
		running := map[Ticket]bool{}
		aloneTickets := map[Ticket]bool{}
		inherited := 0
		record := func(decisions []Decision) {
			for _, decision := range decisions {
				_, twice := decided[decision.Ticket]
				assert.Assert(t, !twice, "decided twice")
				decided[decision.Ticket] = decision
				if decision.Admitted {
					running[decision.Ticket] = true
					for ticket := range running {
						assert.Assert(t, !aloneTickets[ticket] || len(running)+inherited == 1, "a request that must run alone runs beside others")
					}
					assert.Assert(t, len(running)+inherited <= config.SlotsAt(now.Sub(coldSince)))
				} else {
					assert.Equal(t, decision.Refusal.Outcome, outcome.NotRun)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				flow := rapid.SampledFrom([]string{"a", "a", "a", "b", "c"}).Draw(t, "flow")
				wait := time.Duration(rapid.IntRange(-10, 4000).Draw(t, "wait")) * time.Millisecond
				alone := rapid.IntRange(0, 4).Draw(t, "alone") == 0
				ticket, decisions := a.Offer(now, Request{Flow: flow, Deadline: now.Add(wait), Alone: alone})
				if alone {
					aloneTickets[ticket] = true
				}
				offered = append(offered, ticket)
				record(decisions)
			},
			"finish": func(t *rapid.T) {
				for _, ticket := range offered {
					if running[ticket] {
						delete(running, ticket)
						shed := rapid.IntRange(0, 4).Draw(t, "shed") == 0
						record(a.Finish(now, ticket, Result{Executed: true, Shed: shed, Took: 50 * time.Millisecond}))
						return
					}
				}
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				record(a.Advance(now))
			},
			"reset": func(t *rapid.T) {
				a.Reset(now)
				coldSince, inherited = now, 0
			},
			"configure": func(t *rapid.T) {
				config.Slots = rapid.IntRange(1, 6).Draw(t, "slots")
				record(a.Configure(now, config))
			},
			"inherit": func(t *rapid.T) {
				inherited = rapid.IntRange(0, 2).Draw(t, "inherited")
				record(a.Inherit(now, inherited, now.Add(time.Hour)))
			},
			"": func(t *rapid.T) {
				stats := a.Stats(now)
				assert.Assert(t, stats.Queued <= config.QueueLimit)
				assert.Equal(t, stats.Running, len(running))
				assert.Equal(t, stats.Queued, len(offered)-len(decided))
			},
		})
	})
}
