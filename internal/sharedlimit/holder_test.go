package sharedlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTestHolder returns a holder with a share of a limit, asked for and answered at start.
func newTestHolder(t *testing.T, limit Limit, g Grant, start time.Duration) *Holder {
	t.Helper()
	h := NewHolder("h1", "1")
	h.Take("x", limit, false, start)
	answerOnce(t, h, g, start)
	return h
}

func answerOnce(t *testing.T, h *Holder, g Grant, now time.Duration) Ask {
	t.Helper()
	leader := Leader{Incarnation: "L", Plan: 1}
	ask, due := h.Ask(leader, false, now)
	assert.Assert(t, due)
	h.Answered(ask.Sequence, "L", Answer{Lease: 10 * time.Second, Settled: true, Grants: map[string]Grant{"x": g}}, leader, now)
	return ask
}

// takeAll takes tokens until there is none and returns their number.
func takeAll(h *Holder, limit Limit, now time.Duration) int {
	n := 0
	for h.Take("x", limit, true, now) == Taken {
		n++
	}
	return n
}

// TestShareEndsWithItsLease guards against a host that is cut off and goes on using a share that others have by then.
func TestShareEndsWithItsLease(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	h := newTestHolder(t, limit, Grant{Fraction: 0.1}, time.Minute)
	assert.Equal(t, takeAll(h, limit, time.Minute+10*time.Second-1), 10)
	assert.Equal(t, h.Take("x", limit, true, time.Minute+10*time.Second), NoShare)
}

// TestLoweredLimitBindsAtOnce guards against tokens of a higher limit that are used after the limit was lowered.
func TestLoweredLimitBindsAtOnce(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	h := newTestHolder(t, limit, Grant{Fraction: 0.5}, time.Minute)
	h.Take("x", limit, true, time.Minute+5*time.Second)
	lowered := Limit{Rate: 10, Burst: 10}
	assert.Equal(t, takeAll(h, lowered, time.Minute+5*time.Second), 5)
	assert.Equal(t, takeAll(h, lowered, time.Minute+6*time.Second), 5)
}

// TestRefusedRequestsAreSpread guards against refused requests that all come back for the same token.
func TestRefusedRequestsAreSpread(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 20}
	h := newTestHolder(t, limit, Grant{Fraction: 0.5, Exhausted: true}, time.Minute)
	for i := range 5 {
		assert.Equal(t, h.RetryAfter("x", time.Minute), time.Duration(i+1)*100*time.Millisecond)
	}
	for range 1000 {
		assert.Assert(t, h.RetryAfter("x", time.Minute) <= maxRetryAfter)
	}
}

// TestAsksAreBounded guards against a host under a flood that sends an ask for each refused request.
func TestAsksAreBounded(t *testing.T) {
	for _, test := range []struct {
		grant   Grant
		highest int
	}{{Grant{Fraction: 0.1}, 100}, {Grant{Fraction: 0.1, Exhausted: true}, 21}} {
		limit := Limit{Rate: 10, Burst: 10}
		h := newTestHolder(t, limit, test.grant, time.Minute)
		asks := 0
		for now := time.Minute; now < time.Minute+10*time.Second; now += time.Millisecond {
			h.Take("x", limit, false, now)
			if _, due := h.Ask(Leader{Incarnation: "L", Plan: 1}, false, now); due {
				asks++
				h.Answered(h.sequence, "L", Answer{Lease: 10 * time.Second, Settled: true, Grants: map[string]Grant{"x": test.grant}},
					Leader{Incarnation: "L", Plan: 1}, now)
			}
		}
		assert.Assert(t, asks <= test.highest, "%d", asks)
	}
}

// TestAskOfAnotherBuildOrAFaultyHost guards against values that no correct host sends.
func TestAskOfAnotherBuildOrAFaultyHost(t *testing.T) {
	a := NewAllocator("L", DefaultTiming)
	view := View{Leader: "L", Term: 1, First: true, Verified: time.Minute, Hosts: []Member{{"h1", "1"}, {"h2", "1"}}}
	a.Observe(view, time.Minute)
	nan := 0.0
	nan /= nan
	for i, need := range []Need{{}, {Demand: nan, Held: nan, Want: nan, Refill: nan, Surplus: nan, Useful: nan}, {Demand: -1, Held: -1, Want: -5}, {Demand: 1e300, Want: 1e300, Surplus: 1e300, Refill: 1e300}} {
		answer, err := a.Answer(Ask{Host: "h1", Incarnation: "1", Leader: "L", Plan: 1, Sequence: uint64(i + 1), Needs: map[string]Need{"x": need}}, time.Minute)
		assert.NilError(t, err)
		grant := answer.Grants["x"]
		assert.Assert(t, grant.Fraction >= 0 && grant.Fraction <= SettledTotal && grant.Tokens >= 0 && grant.Tokens <= 1, "%+v: %+v", need, grant)
	}
	answer, err := a.Answer(Ask{Host: "h2", Incarnation: "1", Leader: "L", Plan: 1, Sequence: 1, Needs: map[string]Need{"x": {Demand: 0.1, Refill: 1}}}, time.Minute)
	assert.NilError(t, err)
	assert.Assert(t, answer.Grants["x"].Fraction >= 0)
}
