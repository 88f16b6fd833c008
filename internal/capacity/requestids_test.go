package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// BenchmarkRequestIDs reports the heap memory that the request-ID store needs for each finished request with an answer of
// 100 bytes.
func BenchmarkRequestIDs(b *testing.B) {
	for _, count := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("ids=%d", count), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				store := fillStore(b, count)
				b.ReportMetric((heapBytes()-before)/float64(count), "heap-B/id")
				runtime.KeepAlive(store)
			}
		})
	}
}

// fillStore returns a request-ID store with the number of finished requests.
func fillStore(b *testing.B, count int) *idempotency.Store {
	b.Helper()
	store := idempotency.NewStore("h1", idempotency.Bounds{Retention: time.Hour})
	now := time.Now()
	for number := range count {
		id := idempotency.ID{Service: "revize", Key: fmt.Sprintf("hala-%d", number), Request: string(record.NewID())}
		decision := store.Claim(now, id, idempotency.DigestOf("POST", "/", nil))
		assert.Equal(b, decision.Kind, idempotency.KindNew)
		answer := idempotency.Answer{Status: 200, Body: make([]byte, 100)}
		store.Finish(now, id, 1, idempotency.Result{State: idempotency.StateDone, Answer: answer})
	}
	return store
}
