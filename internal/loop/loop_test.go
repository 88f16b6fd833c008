package loop

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		Sleep(t.Context(), time.Minute)
		assert.Equal(t, time.Since(start), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		Sleep(ctx, time.Minute)
		assert.Equal(t, time.Since(start), time.Minute+time.Second)
	})
}

// TestSleepOfNoTimeUnderTheRaceDetector guards against a crash of the test process: a timer that is due when a
// goroutine of a synctest bubble selects it corrupts the state of the race detector (Go 1.26).
func TestSleepOfNoTimeUnderTheRaceDetector(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			var group sync.WaitGroup
			for range 20 {
				group.Go(func() {
					for range 200 {
						Sleep(t.Context(), -time.Second)
					}
					Sleep(t.Context(), time.Millisecond)
				})
			}
			group.Wait()
		})
	}
}

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		start := time.Now()
		var calls []time.Duration
		Every(ctx, time.Second, func(context.Context) { calls = append(calls, time.Since(start)) })
		assert.DeepEqual(t, calls, []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second})
		assert.Equal(t, time.Since(start), 3500*time.Millisecond)
	})
}
