package limit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkGate measures an admission and its release without contention for slots.
func BenchmarkGate(b *testing.B) {
	gate := NewGate(Config{Slots: 1 << 20, QueueLimit: 64}, time.Now())
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			permit, _, _ := gate.Acquire(b.Context(), "a", deadline)
			permit.Release(true)
		}
	})
}

// BenchmarkGateWithQueue measures it with 64 requests that wait for 4 slots.
func BenchmarkGateWithQueue(b *testing.B) {
	gate := NewGate(Config{Slots: 4, QueueLimit: 128}, time.Now())
	deadline := time.Now().Add(time.Hour)
	var group sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(b.N))
	b.ReportAllocs()
	for i := range 68 {
		group.Go(func() {
			flow := string(rune('a' + i%16))
			for left.Add(-1) >= 0 {
				permit, _, ok := gate.Acquire(b.Context(), flow, deadline)
				if ok {
					permit.Release(true)
				}
			}
		})
	}
	group.Wait()
}

// keyResult is what the requests of one key met with.
type keyResult struct {
	served, refused int
	waits           []time.Duration
}

// overload offers requests of one hot key at ten times the server's capacity
// and of one cold key at a twentieth of it, and returns what the cold key met with.
func overload(t *testing.T, flowOf func(key string) string) (cold keyResult) {
	const (
		service  = 20 * time.Millisecond
		duration = 20 * time.Second
	)
	random := rand.New(rand.NewPCG(3, 3))
	gate := NewGate(Config{Slots: 4, QueueLimit: 64}, time.Now())
	var group sync.WaitGroup
	var mu sync.Mutex
	arrive := func(key string, note func(wait time.Duration, ok bool)) {
		group.Go(func() {
			began := time.Now()
			permit, _, ok := gate.Acquire(t.Context(), flowOf(key), began.Add(time.Second))
			mu.Lock()
			note(time.Since(began), ok)
			mu.Unlock()
			if ok {
				time.Sleep(service)
				permit.Release(true)
			}
		})
	}
	noteCold := func(wait time.Duration, ok bool) {
		if !ok {
			cold.refused++
			return
		}
		cold.served++
		cold.waits = append(cold.waits, wait)
	}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(500*time.Microsecond)))
		if random.IntN(200) == 0 {
			arrive("cold", noteCold)
		} else {
			arrive("hot", func(time.Duration, bool) {})
		}
	}
	group.Wait()
	return cold
}

// TestColdKeyBesideAHotOne prints what a cold key meets with beside a hot one,
// by the fair queue and by a first-in-first-out queue.
func TestColdKeyBesideAHotOne(t *testing.T) {
	for name, flowOf := range map[string]func(string) string{
		"fair": func(key string) string { return key },
		"fifo": func(string) string { return "all" },
	} {
		synctest.Test(t, func(t *testing.T) {
			cold := overload(t, flowOf)
			slices.SortFunc(cold.waits, cmp.Compare)
			p99 := cold.waits[len(cold.waits)*99/100]
			t.Logf("%s: cold key served %d, refused %d, wait p50 %v, p99 %v", name,
				cold.served, cold.refused, cold.waits[len(cold.waits)/2], p99)
			if name == "fair" {
				assert.Equal(t, cold.refused, 0)
			}
		})
	}
}
