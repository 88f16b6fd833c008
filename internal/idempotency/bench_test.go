package idempotency

import (
	"runtime"
	"strconv"
	"testing"
	"time"
)

// newFilledStore returns a store with the given number of finished claims.
func newFilledStore(entries int, bounds Bounds) *Store {
	store := NewStore("a", bounds)
	for n := range entries {
		store.Claim(start, numberedID(n), digest)
		store.Finish(start, numberedID(n), 1, Result{StateDone, answer})
	}
	return store
}

// BenchmarkClaim measures a claim and its end in a store of 50000 IDs, of which as many
// expire as are added.
func BenchmarkClaim(b *testing.B) {
	store := newFilledStore(DefaultEntries/2, Bounds{Retention: time.Second})
	now := start
	n := DefaultEntries
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second / (DefaultEntries / 2))
		id := ID{Service: "revize", Key: "k", Request: strconv.Itoa(n)}
		store.Claim(now, id, digest)
		store.Finish(now, id, 1, Result{StateDone, answer})
		n++
	}
}

// BenchmarkClaimWhenFull measures the rejection of a claim by a full store.
func BenchmarkClaimWhenFull(b *testing.B) {
	store := newFilledStore(DefaultEntries, Bounds{Retention: time.Hour})
	b.ReportAllocs()
	for b.Loop() {
		store.Claim(start, requestID, digest)
	}
}

// BenchmarkMerge measures the merging of 100000 IDs into an empty store, and reports the
// heap memory per entry and the store's own estimate of it.
func BenchmarkMerge(b *testing.B) {
	entries := newFilledStore(DefaultEntries, Bounds{Retention: time.Hour}).Snapshot(start, nil)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		store := NewStore("b", Bounds{Retention: time.Hour})
		store.Merge(start, entries)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(store.Len()), "heap-B/entry")
		b.ReportMetric(float64(store.Bytes())/float64(store.Len()), "counted-B/entry")
	}
}
