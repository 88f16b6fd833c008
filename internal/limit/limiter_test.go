package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

var single = Config{Slots: 1, QueueLimit: 8}

func TestLimiterReusesSlotsAndKeepsTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewLimiter(Config{Slots: 4, QueueLimit: 100}, time.Now())
		var group sync.WaitGroup
		var running, highest, served atomic.Int64
		for range 100 {
			group.Go(func() {
				permit, _, ok := limiter.Acquire(t.Context(), "a", time.Now().Add(time.Minute))
				if !ok {
					return
				}
				highest.Store(max(highest.Load(), running.Add(1)))
				time.Sleep(10 * time.Millisecond)
				running.Add(-1)
				served.Add(1)
				permit.Release(true)
				permit.Release(true)
			})
		}
		group.Wait()
		assert.Equal(t, served.Load(), int64(100))
		assert.Equal(t, highest.Load(), int64(4))
		assert.Equal(t, limiter.Stats().Service, 10*time.Millisecond)
	})
}

func TestLimiterRejectsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewLimiter(single, time.Now())
		held, _, ok := limiter.Acquire(t.Context(), "a", time.Now().Add(time.Minute))
		assert.Assert(t, ok)
		startedAt := time.Now()
		_, refusal, ok := limiter.Acquire(t.Context(), "a", startedAt.Add(time.Second))
		assert.Assert(t, !ok)
		assert.Equal(t, refusal.Reason, outcome.ReasonDeadline)
		assert.Equal(t, time.Since(startedAt), time.Second)
		held.Release(true)
		assert.Equal(t, limiter.Stats().Running, 0)
	})
}

func TestLimiterRemovesACancelledRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewLimiter(single, time.Now())
		held, _, _ := limiter.Acquire(t.Context(), "a", time.Now().Add(time.Minute))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, refusal, ok := limiter.Acquire(ctx, "a", time.Now().Add(time.Minute))
		assert.Assert(t, !ok)
		assert.Equal(t, refusal.Outcome, outcome.NotRun)
		assert.Equal(t, limiter.Stats().Queued, 0)
		held.Release(false)
	})
}

func TestCancelledRequestThatMustRunAloneUnblocksTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewLimiter(Config{Slots: 2, QueueLimit: 8}, time.Now())
		startedAt := time.Now()
		held, _, _ := limiter.Acquire(t.Context(), "a", startedAt.Add(time.Hour))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go limiter.AcquireFor(ctx, Request{Flow: "a", Deadline: startedAt.Add(time.Hour), Alone: true})
		synctest.Wait()
		_, _, ok := limiter.Acquire(t.Context(), "b", startedAt.Add(time.Hour))
		assert.Assert(t, ok)
		assert.Equal(t, time.Since(startedAt), time.Second)
		held.Release(true)
	})
}

func TestLimiterAdmitsWhenTheColdStartAddsASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewLimiter(Config{Slots: 2, ColdStartSlots: 1, ColdStartTime: 4 * time.Second, QueueLimit: 1}, time.Now())
		startedAt := time.Now()
		for range 2 {
			_, _, ok := limiter.Acquire(t.Context(), "a", startedAt.Add(time.Minute))
			assert.Assert(t, ok)
		}
		assert.Equal(t, time.Since(startedAt), 4*time.Second)
	})
}

func TestDrainingLetsRequestsInExecutionFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewLimiter(single, time.Now())
		held, _, _ := limiter.Acquire(t.Context(), "a", time.Now().Add(time.Minute))
		refusalAtEnd := outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ReasonNotLead}
		limiter.Drain(refusalAtEnd)
		_, refusal, ok := limiter.Acquire(t.Context(), "a", time.Now().Add(time.Minute))
		assert.Assert(t, !ok)
		assert.DeepEqual(t, refusal, refusalAtEnd)
		select {
		case <-held.ServerLost():
			t.Fatal("Drain closed the ServerLost channel of a request in execution")
		default:
			held.Release(true)
		}
	})
}

func TestCloseNotifiesPermitHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewLimiter(single, time.Now())
		held, _, _ := limiter.Acquire(t.Context(), "a", time.Now().Add(time.Minute))
		refusalAtEnd := outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ReasonNotLead}
		go func() {
			time.Sleep(time.Second)
			limiter.Close(refusalAtEnd)
		}()
		startedAt := time.Now()
		_, refusal, ok := limiter.Acquire(t.Context(), "a", startedAt.Add(time.Minute))
		assert.Assert(t, !ok)
		assert.DeepEqual(t, refusal, refusalAtEnd)
		assert.Equal(t, time.Since(startedAt), time.Second)
		<-held.ServerLost()
		held.Release(false)
		_, refusal, ok = limiter.Acquire(t.Context(), "a", startedAt.Add(time.Minute))
		assert.Assert(t, !ok)
		assert.DeepEqual(t, refusal, refusalAtEnd)
	})
}
