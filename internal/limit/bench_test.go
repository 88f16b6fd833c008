package limit

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkLimiter measures one admission and release with 68 concurrent requests of
// 16 flows, with free slots and with a queue.
func BenchmarkLimiter(b *testing.B) {
	for name, slots := range map[string]int{"free": 1 << 20, "queue": 4} {
		b.Run(name, func(b *testing.B) {
			limiter := NewLimiter(Config{Slots: slots, QueueLimit: 128}, time.Now())
			deadline := time.Now().Add(time.Hour)
			var group sync.WaitGroup
			var left atomic.Int64
			left.Store(int64(b.N))
			b.ReportAllocs()
			for i := range 68 {
				group.Go(func() {
					for left.Add(-1) >= 0 {
						permit, _, _ := limiter.Acquire(b.Context(), string(rune('a'+i%16)), deadline)
						permit.Release(true)
					}
				})
			}
			group.Wait()
		})
	}
}

// overload offers requests of a hot key at ten times the server's capacity and of a
// cold (rarely used) key at a twentieth of it. It returns the sorted queueing times
// of the cold key's admitted requests and the number of its rejected ones.
func overload(t *testing.T, flowOf func(key string) string) (waits []time.Duration, rejected int) {
	const (
		service  = 20 * time.Millisecond
		duration = 20 * time.Second
	)
	random := rand.New(rand.NewPCG(3, 3))
	limiter := NewLimiter(Config{Slots: 4, QueueLimit: 64}, time.Now())
	var group sync.WaitGroup
	var mu sync.Mutex
	record := func(wait time.Duration, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if ok {
			waits = append(waits, wait)
		} else {
			rejected++
		}
	}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(500*time.Microsecond)))
		key := "hot"
		if random.IntN(200) == 0 {
			key = "cold"
		}
		group.Go(func() {
			startedAt := time.Now()
			permit, _, ok := limiter.Acquire(t.Context(), flowOf(key), startedAt.Add(time.Second))
			if key == "cold" {
				record(time.Since(startedAt), ok)
			}
			if ok {
				time.Sleep(service)
				permit.Release(true)
			}
		})
	}
	group.Wait()
	slices.Sort(waits)
	return waits, rejected
}

// TestColdKeyBesideAHotOne prints the queueing times and rejections of a cold key
// beside a hot one, with the fair queue and with a FIFO queue, and checks that the
// fair queue rejects none of the cold key's requests.
func TestColdKeyBesideAHotOne(t *testing.T) {
	for name, flowOf := range map[string]func(string) string{
		"fair": func(key string) string { return key },
		"fifo": func(string) string { return "all" },
	} {
		synctest.Test(t, func(t *testing.T) {
			waits, rejected := overload(t, flowOf)
			t.Logf("%s: cold key served %d, refused %d, wait p50 %v, p99 %v", name,
				len(waits), rejected, waits[len(waits)/2], waits[len(waits)*99/100])
			assert.Assert(t, name != "fair" || rejected == 0)
		})
	}
}
