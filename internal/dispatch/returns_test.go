package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fullQueue returns a queue of one slot with a request at the server, and requests of 100 ms that fill it for ten seconds.
func fullQueue() *Queue {
	q := NewQueue(1)
	q.Offer(item(1, 400*ms, 9*time.Second), 0)
	q.updateMeanWork(100 * ms)
	for range 99 {
		q.Offer(item(1, 20*time.Second, 60*time.Second), 0)
	}
	return q
}

// TestRefusedCallersComeBackOneAfterAnother guards against callers that are told the same time and come back together.
func TestRefusedCallersComeBackOneAfterAnother(t *testing.T) {
	var s returnSchedule
	times := make(map[time.Duration]int)
	for i := range 5 {
		refused := item(1, time.Second, 9*time.Second)
		refused.Caller = uint64(i + 1)
		after := s.refuse(refused, 1, 0, 0)
		assert.Assert(t, after <= maxRetryAfter, "%v", after)
		times[after]++
	}
	assert.Equal(t, len(times), 5)
}

// TestRetryTimesFollowThePriority guards against urgent callers that are sent behind others which were refused earlier.
func TestRetryTimesFollowThePriority(t *testing.T) {
	var s returnSchedule
	var lowest time.Duration
	for i := range 10 {
		low := item(2, time.Second, 9*time.Second)
		low.Caller = uint64(100 + i)
		lowest = s.refuse(low, 1, 0, 0)
	}
	urgent := item(0, time.Second, 9*time.Second)
	urgent.Caller = 1
	after := s.refuse(urgent, 1, 0, 0)
	assert.Assert(t, after < lowest && after <= 300*ms, "%v, %v", after, lowest)
	another := item(2, time.Second, 9*time.Second)
	another.Caller = 2
	assert.Assert(t, s.refuse(another, 1, 0, 0) > lowest)
}

// TestRetryTimeIsWithinAThirdOfTheCallersTime guards against times that callers don't honour.
func TestRetryTimeIsWithinAThirdOfTheCallersTime(t *testing.T) {
	for _, left := range []time.Duration{0, 30 * ms, 300 * ms, 900 * ms, time.Minute} {
		var s returnSchedule
		for i := range 50 {
			refused := item(1, time.Second, left)
			refused.Caller = uint64(i + 1)
			after := s.refuse(refused, 1, 5*time.Second, 0)
			assert.Assert(t, after <= left/3, "%v of %v", after, left)
		}
	}
}

// TestCallerThatKeepsItsTimeGoesBeforeNewOnes guards against callers that keep their time and are refused again, and
// against an advantage for those that come back earlier or repeatedly.
func TestCallerThatKeepsItsTimeGoesBeforeNewOnes(t *testing.T) {
	for name, test := range map[string]struct {
		early time.Duration
		first bool
	}{"at its time": {0, true}, "too early": {60 * ms, false}} {
		t.Run(name, func(t *testing.T) {
			q := fullQueue()
			refused := item(1, 30*time.Second, 6*time.Second)
			refused.Caller = 7
			ticket, decisions := q.Offer(refused, 0)
			assert.Equal(t, len(decisions), 1)
			assert.Equal(t, decisions[0].Ticket, ticket)
			now := decisions[0].RetryAfter - test.early
			back := item(1, 20*time.Second, 60*time.Second)
			back.Caller = 7
			ticket, _ = q.Offer(back, now)
			decisions = q.Finish(100*ms, now)
			assert.Equal(t, decisions[0].Ticket == ticket, test.first)
		})
	}
}

// TestEarlyReturnKeepsItsTime guards against callers that get a better time by asking more often.
func TestEarlyReturnKeepsItsTime(t *testing.T) {
	var s returnSchedule
	refused := item(1, time.Second, 9*time.Second)
	refused.Caller = 7
	refused.Work = 300 * ms
	first := s.refuse(refused, 1, 0, 0)
	for now := 50 * ms; now < first-earlyReturn; now += 50 * ms {
		assert.Assert(t, !s.arrive(refused, now))
		assert.Equal(t, s.refuse(refused, 1, 0, now), max(first-now, minRetryAfter))
	}
	assert.Assert(t, s.arrive(refused, first))
	assert.Assert(t, !s.arrive(refused, first))
}
