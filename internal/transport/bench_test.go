package transport

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"
)

// BenchmarkSend compares round trips over loopback: of a plain http.Transport, of a
// target that reuses connections, and of one that opens a new one for each request.
func BenchmarkSend(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "done")
	}))
	defer server.Close()
	addr := server.Listener.Addr().String()
	dial := Dialer("")
	plain := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4}
	defer plain.CloseIdleConnections()
	b.Run("plain", func(b *testing.B) {
		measure(b, func() error {
			req, err := http.NewRequest(post.Method, "http://"+addr+post.Path, bytes.NewReader(post.Body))
			if err != nil {
				return err
			}
			req.Header = post.Header
			return drain(plain.RoundTrip(req))
		})
	})
	for name, freshFor := range map[string]time.Duration{"reused": time.Hour, "new": -1} {
		target := NewTarget(addr, Options{Dial: dial, Connections: 4, FreshFor: freshFor})
		defer target.Close()
		b.Run(name, func(b *testing.B) {
			measure(b, func() error {
				result := target.Send(context.Background(), post)
				return drain(result.Response, result.Err)
			})
		})
	}
}

// measure reports the median and the 99th percentile of the round trips.
func measure(b *testing.B, send func() error) {
	b.ReportAllocs()
	took := make([]time.Duration, 0, b.N)
	for b.Loop() {
		began := time.Now()
		if err := send(); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Nanoseconds())/1000, "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds())/1000, "p99-us")
}
