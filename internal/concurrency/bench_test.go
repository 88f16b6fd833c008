package concurrency

import (
	"testing"
	"time"
)

// BenchmarkRequest measures what the Learner adds to a request: it asks for the width on arrival and at the end.
func BenchmarkRequest(b *testing.B) {
	l := &Learner{}
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		l.Width(testServer, 4, false, now)
		r := l.Begin(testServer, 4, testKind, now)
		now += 20 * time.Millisecond
		l.End(r, true, now)
		l.Width(testServer, 4, false, now)
	}
}
