package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

var (
	signOff   = Request{Keyed: true}
	lookup    = Request{Keyed: true, Idempotent: true}
	catalogue = Request{Idempotent: true}
)

func TestDecisions(t *testing.T) {
	const timeLeft = time.Second
	notRun := func(reason outcome.Reason) outcome.Refusal {
		return outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, RetryAfter: time.Millisecond}
	}
	unknown := outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ReasonAnswerLost}
	for name, c := range map[string]struct {
		request Request
		failure Failure
		budget  bool
		want    Action
		reason  outcome.Reason
	}{
		"sign-off without an answer":       {signOff, Failure{unknown, 1, 0, timeLeft, true}, true, GiveUp, outcome.ReasonAnswerLost},
		"lookup without an answer":         {lookup, Failure{unknown, 1, 0, timeLeft, true}, true, RetrySame, ""},
		"catalogue without an answer":      {catalogue, Failure{unknown, 1, 0, timeLeft, true}, true, RetryOther, ""},
		"catalogue, no other server":       {catalogue, Failure{unknown, 1, 0, timeLeft, false}, true, RetrySame, ""},
		"no budget, may have run":          {catalogue, Failure{unknown, 1, 0, timeLeft, true}, false, GiveUp, outcome.ReasonRetryBudget},
		"no budget, did not run":           {catalogue, Failure{notRun(outcome.ReasonOverloaded), 1, 0, timeLeft, true}, false, GiveUp, outcome.ReasonRetryBudget},
		"too many sends":                   {catalogue, Failure{unknown, 3, 0, timeLeft, true}, true, GiveUp, outcome.ReasonAnswerLost},
		"deadline too near":                {catalogue, Failure{unknown, 1, 0, minRemaining - 1, true}, true, GiveUp, outcome.ReasonAnswerLost},
		"sign-off, owner not known":        {signOff, Failure{notRun(outcome.ReasonNoOwner), 0, 0, timeLeft, false}, false, FindOwner, ""},
		"sign-off, primary changed":        {signOff, Failure{notRun(outcome.ReasonNotLead), 0, 50, timeLeft, false}, false, FindOwner, ""},
		"sign-off, owner lost":             {signOff, Failure{notRun(outcome.ReasonUnreachable), 0, 3, timeLeft, false}, false, FindOwner, ""},
		"owner unknown until the deadline": {signOff, Failure{notRun(outcome.ReasonNoOwner), 0, 9, maxBackoff / 2, false}, true, GiveUp, outcome.ReasonNoOwner},
		"catalogue server unreachable":     {catalogue, Failure{notRun(outcome.ReasonUnreachable), 0, 1, timeLeft, true}, true, RetryOther, ""},
		"unreachable, no budget":           {catalogue, Failure{notRun(outcome.ReasonUnreachable), 0, 1, timeLeft, true}, false, GiveUp, outcome.ReasonRetryBudget},
		"sign-off shed by the owner":       {signOff, Failure{notRun(outcome.ReasonOverloaded), 0, 0, timeLeft, true}, true, GiveUp, outcome.ReasonOverloaded},
		"catalogue shed by a cold server":  {catalogue, Failure{notRun(outcome.ReasonWarming), 0, 0, timeLeft, true}, true, RetryOther, ""},
		"booking not divided by key, shed": {Request{}, Failure{notRun(outcome.ReasonOverloaded), 0, 0, timeLeft, true}, true, RetryOther, ""},
		"poison":                           {catalogue, Failure{notRun(outcome.ReasonPoison), 0, 0, timeLeft, true}, true, GiveUp, outcome.ReasonPoison},
		"deadline passed in the queue":     {catalogue, Failure{notRun(outcome.ReasonDeadline), 0, 0, timeLeft, true}, true, GiveUp, outcome.ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			decision := Decide(c.request, c.failure, func() bool { return c.budget }, 0.5)
			assert.Equal(t, decision.Action.String(), c.want.String())
			assert.Equal(t, decision.Refusal.Reason, c.reason)
			if c.want == GiveUp {
				assert.Equal(t, decision.Refusal.Outcome, c.failure.Refusal.Outcome, "giving up keeps the outcome")
			}
		})
	}
}

func TestOwnerLookupBackoffIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failure := Failure{
			Refusal:      outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ReasonNoOwner},
			OwnerLookups: rapid.IntRange(0, 1000).Draw(t, "owner lookups"),
			Remaining:    time.Duration(rapid.IntRange(0, 5000).Draw(t, "remaining")) * time.Millisecond,
		}
		jitter := rapid.Float64Range(0, 0.999).Draw(t, "jitter")
		// An owner lookup must not take from the retry budget.
		decision := Decide(signOff, failure, func() bool { panic("asked") }, jitter)
		assert.Assert(t, decision.Backoff <= maxBackoff)
		if decision.Action == FindOwner {
			assert.Assert(t, decision.Backoff >= initialBackoff/2)
			assert.Assert(t, decision.Backoff+minRemaining <= failure.Remaining)
		}
	})
}

func TestBudgetBoundsRetriesToItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		budget := NewBudget(percent)
		requests, retries := 0, 0
		for _, request := range rapid.SliceOfN(rapid.Bool(), 0, 2000).Draw(t, "calls") {
			if request {
				requests++
				budget.CountRequest()
			} else if budget.Take() {
				retries++
			}
			assert.Assert(t, retries*100 <= requests*percent, "%d retries of %d requests", retries, requests)
		}
	})
}

func TestHedges(t *testing.T) {
	for name, c := range map[string]struct {
		request   Request
		after     time.Duration
		remaining time.Duration
		want      bool
	}{
		"catalogue":              {catalogue, 50 * time.Millisecond, time.Second, true},
		"not set":                {catalogue, 0, time.Second, false},
		"too late to help":       {catalogue, 50 * time.Millisecond, 50 * time.Millisecond, false},
		"only the owner can run": {lookup, 50 * time.Millisecond, time.Second, false},
		"not idempotent":         {Request{}, 50 * time.Millisecond, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := HedgeAfter(c.request, c.after, c.remaining)
			assert.Equal(t, ok, c.want)
		})
	}
}

// outage simulates requests during a full outage, in which every attempt ends without
// an answer, and returns the number of attempts that reach the servers.
func outage(requests int, request Request, decide func(Failure) Decision, countRequest func()) (sends int) {
	for range requests {
		countRequest()
		failure := Failure{
			Refusal:     outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ReasonAnswerLost},
			Remaining:   time.Second,
			OtherServer: !request.Keyed,
		}
		for {
			sends++
			failure.Sends++
			if decide(failure).Action == GiveUp {
				break
			}
		}
	}
	return sends
}

// TestOutageAmplification checks that in a full outage the attempts per request stay
// within the retry budget. It prints them, also for a plain limit of three attempts.
func TestOutageAmplification(t *testing.T) {
	const requests = 10_000
	for _, request := range []Request{catalogue, lookup, signOff} {
		for _, percent := range []int{0, 5, 10} {
			budget := NewBudget(percent)
			decide := func(f Failure) Decision { return Decide(request, f, budget.Take, 0) }
			sends := outage(requests, request, decide, budget.CountRequest)
			t.Logf("%+v, %d%%: %.3f sends per request", request, percent, float64(sends)/requests)
			assert.Assert(t, sends*100 <= requests*(100+percent), "%d sends", sends)
		}
	}
	always := func(f Failure) Decision { return Decide(catalogue, f, func() bool { return true }, 0) }
	t.Logf("three attempts: %.3f sends per request", float64(outage(requests, catalogue, always, func() {}))/requests)
}
