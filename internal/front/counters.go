package front

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counters count the ends of requests and their times. They are safe for concurrent use.
type Counters struct {
	mu      sync.Mutex
	ends    map[string]int64
	latency map[string]*hdrhistogram.Histogram
}

const (
	// maxLatencyMS bounds the recorded latencies.
	maxLatencyMS = 60_000
	// latencyDigits is the number of significant digits of a recorded latency.
	latencyDigits = 2
)

func (c *Counters) count(r *Request, result Result, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ends == nil {
		c.ends = make(map[string]int64)
		c.latency = make(map[string]*hdrhistogram.Histogram)
	}
	name := result.Kind.String()
	if result.Kind != Done {
		name += ": " + result.Reason
	}
	c.ends[name]++
	histogram := c.latency[r.Service.Name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatencyMS, latencyDigits)
		c.latency[r.Service.Name] = histogram
	}
	// Values beyond the bound are recorded as the bound.
	histogram.RecordValue(min(max(took.Milliseconds(), 1), maxLatencyMS))
}

// Snapshot returns the counts and latency percentiles in milliseconds.
func (c *Counters) Snapshot() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := make(map[string]int64, len(c.ends))
	for name, n := range c.ends {
		ends[name] = n
	}
	latency := make(map[string]map[string]int64, len(c.latency))
	for service, histogram := range c.latency {
		latency[service] = map[string]int64{
			"p50": histogram.ValueAtQuantile(50),
			"p99": histogram.ValueAtQuantile(99),
			"max": histogram.Max(),
		}
	}
	return map[string]any{"requests": ends, "latency_ms": latency}
}
