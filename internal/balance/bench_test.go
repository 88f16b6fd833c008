package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkRequest measures the pick and the bookkeeping of one request with 15 targets
// in 4 zones, the size of the service archiv.
func BenchmarkRequest(b *testing.B) {
	for _, name := range Names() {
		b.Run(string(name), func(b *testing.B) {
			policy, err := New(name, Options{
				Zone:    "zone-0",
				Rand:    rand.New(rand.NewPCG(1, 1)),
				MayWarm: func(string) bool { return true },
			})
			assert.NilError(b, err)
			var targets []Target
			for i := range 15 {
				targets = append(targets, Target{Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: fmt.Sprintf("zone-%d", i%4), Slots: 4})
			}
			policy.SetTargets(0, targets)
			b.ReportAllocs()
			now := time.Duration(0)
			for b.Loop() {
				now += time.Millisecond
				addr, _ := policy.Pick(now)
				policy.Started(addr, now)
				policy.Finished(addr, now+time.Millisecond, time.Millisecond, Success)
			}
		})
	}
}
