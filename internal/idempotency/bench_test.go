package idempotency

import (
	"runtime"
	"strconv"
	"testing"
	"time"
)

// filled returns a memory with finished claims.
func filled(entries int, bounds Bounds) *Memory {
	m := NewMemory("a", bounds)
	for n := range entries {
		m.Claim(start, numbered(n), digest)
		m.Finish(start, numbered(n), 1, Result{StateDone, answer})
	}
	return m
}

// BenchmarkClaim measures a claim and its end in a memory of 100000 IDs, of which
// as many age out as are added.
func BenchmarkClaim(b *testing.B) {
	m := filled(DefaultEntries/2, Bounds{Retention: time.Second})
	now := start
	n := DefaultEntries
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second / (DefaultEntries / 2))
		id := ID{Service: "revize", Key: "k", Request: strconv.Itoa(n)}
		m.Claim(now, id, digest)
		m.Finish(now, id, 1, Result{StateDone, answer})
		n++
	}
}

// BenchmarkClaimWhenFull measures the refusal of a claim by a full memory.
func BenchmarkClaimWhenFull(b *testing.B) {
	m := filled(DefaultEntries, Bounds{Retention: time.Hour})
	b.ReportAllocs()
	for b.Loop() {
		m.Claim(start, signed, digest)
	}
}

// BenchmarkMerge measures the taking over of 100000 IDs and reports their memory.
func BenchmarkMerge(b *testing.B) {
	entries := filled(DefaultEntries, Bounds{Retention: time.Hour}).Snapshot(start, nil)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := NewMemory("b", Bounds{Retention: time.Hour})
		m.Merge(start, entries)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(m.Len()), "heap-B/entry")
		b.ReportMetric(float64(m.Bytes())/float64(m.Len()), "counted-B/entry")
	}
}
