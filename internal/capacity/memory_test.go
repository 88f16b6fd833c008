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

// BenchmarkRequestIDs reports the memory of remembered request IDs with an answer of 100 bytes.
func BenchmarkRequestIDs(b *testing.B) {
	for _, count := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("ids=%d", count), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				memory := remember(b, count)
				b.ReportMetric((heapBytes()-before)/float64(count), "heap-B/id")
				runtime.KeepAlive(memory)
			}
		})
	}
}

// remember returns a memory of requests that ran.
func remember(b *testing.B, count int) *idempotency.Memory {
	b.Helper()
	memory := idempotency.NewMemory("h1", idempotency.Bounds{Retention: time.Hour})
	now := time.Now()
	for number := range count {
		id := idempotency.ID{Service: "revize", Key: fmt.Sprintf("hala-%d", number), Request: string(record.NewID())}
		verdict := memory.Claim(now, id, idempotency.DigestOf("POST", "/", nil))
		assert.Equal(b, verdict.Kind, idempotency.KindNew)
		answer := idempotency.Answer{Status: 200, Body: make([]byte, 100)}
		memory.Finish(now, id, 1, idempotency.Result{State: idempotency.StateDone, Answer: answer})
	}
	return memory
}
