package front

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counters counts requests by their result and records their latency. It is safe for concurrent use.
type Counters struct {
	// read is the number of callers' requests that have been read, and answered that of those whose answers were written.
	read, answered atomic.Int64

	mu sync.Mutex
	// results holds the number of requests by kind of result and reason.
	results map[string]int64
	// unauthorized holds the number of requests without a known key by reason.
	unauthorized map[string]int64
	// latency holds a histogram in milliseconds for each service.
	latency map[string]*hdrhistogram.Histogram
	// large holds the number of large answers and of requests for them by what became of them.
	large map[string]int64
}

// Callers returns the number of callers' requests that have been read, and of those among them without a complete answer so far.
func (c *Counters) Callers() (requests, unanswered int64) {
	answered := c.answered.Load()
	requests = c.read.Load()
	return requests, requests - answered
}

// Names of the counters of large answers.
const (
	largePassedOn      = "passed on"
	largeBrokeOff      = "broke off"
	largeCallerFailed  = "not taken by the caller"
	largeRefusedMemory = "refused, memory"
	largeRefusedLink   = "refused, link"
)

// countLarge counts a large answer, or a request for one.
func (c *Counters) countLarge(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.large == nil {
		c.large = make(map[string]int64)
	}
	c.large[name]++
}

const (
	// maxLatencyMS is the highest latency that a histogram distinguishes, in milliseconds.
	maxLatencyMS = 60_000
	// latencyDigits is the number of significant digits of a recorded latency.
	latencyDigits = 2
)

// count records the result of a request that took the given time from arrival to answer.
func (c *Counters) count(r *Request, result Result, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.results == nil {
		c.results = make(map[string]int64)
		c.latency = make(map[string]*hdrhistogram.Histogram)
	}
	name := result.Kind.String()
	if result.Kind != Done {
		name += ": " + result.Reason
	}
	c.results[name]++
	histogram := c.latency[r.Service.Name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatencyMS, latencyDigits)
		c.latency[r.Service.Name] = histogram
	}
	// Out-of-range values are recorded as the nearest bound.
	histogram.RecordValue(min(max(took.Milliseconds(), 1), maxLatencyMS))
}

// countUnauthorized counts a request that was refused because it has no known key.
func (c *Counters) countUnauthorized(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unauthorized == nil {
		c.unauthorized = make(map[string]int64)
	}
	c.unauthorized[reason]++
}

// Snapshot returns the counts by result and the latency percentiles of each service in
// milliseconds, for the metrics endpoint.
func (c *Counters) Snapshot() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	results := make(map[string]int64, len(c.results))
	for name, n := range c.results {
		results[name] = n
	}
	for reason, n := range c.unauthorized {
		results["unauthorized: "+reason] = n
	}
	latency := make(map[string]map[string]int64, len(c.latency))
	for service, histogram := range c.latency {
		latency[service] = map[string]int64{
			"p50": histogram.ValueAtQuantile(50),
			"p99": histogram.ValueAtQuantile(99),
			"max": histogram.Max(),
		}
	}
	return map[string]any{"requests": results, "latency_ms": latency, "large_answers": maps.Clone(c.large)}
}
