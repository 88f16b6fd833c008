package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

const (
	// histogramMaxUS is the largest latency that is recorded, in microseconds.
	// Larger values count as this one.
	histogramMaxUS = int64(MaxDuration / time.Microsecond)
	// histogramDigits is the number of significant digits of a recorded latency.
	histogramDigits = 3
)

// Latency summarizes a latency histogram, in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// Summary summarizes a run.
type Summary struct {
	Service string  `json:"service"`
	Direct  bool    `json:"direct"`
	Seed    uint64  `json:"seed"`
	Rate    float64 `json:"rate"`
	// Seconds is the duration of the run until the last attempt ended.
	Seconds float64 `json:"seconds"`
	// Requests is the number of requests, Attempts (JSON "tries") that of their
	// attempts, retries included.
	Requests int `json:"requests"`
	Attempts int `json:"tries"`
	// PerSecond is the number of requests done per second.
	PerSecond float64 `json:"per_second"`
	// Outcomes counts requests by the outcome of their last attempt.
	Outcomes map[outcome.Outcome]int `json:"outcomes"`
	// Reasons counts attempts with another outcome than done, by reason.
	Reasons map[outcome.Reason]int `json:"reasons"`
	// Hosts counts attempts by the address of their target.
	Hosts map[string]int `json:"hosts"`
	// Statuses counts attempts by HTTP status, with 0 for those without a complete answer.
	Statuses map[int]int `json:"statuses"`
	// Done is the latency of the requests with outcome done, from the intended
	// start to the end of the last attempt.
	Done Latency `json:"done"`
	// NotRun (JSON "refused") is the same for the requests that were not run.
	NotRun Latency `json:"refused"`
	// Unknown is the same for the requests with an unknown outcome.
	Unknown Latency `json:"unknown"`
	// StartDelay is the time between the intended and the real start of the first attempts.
	StartDelay Latency `json:"start_delay"`
	// CPUSeconds is the CPU time of the measured processes, and PerCPUSecond the
	// number of requests done per second of it.
	CPUSeconds   float64 `json:"cpu_seconds,omitempty"`
	PerCPUSecond float64 `json:"per_cpu_second,omitempty"`

	done, notRun, unknown, startDelay *hdrhistogram.Histogram
}

func newSummary(config Config) Summary {
	return Summary{
		Service:    config.Service,
		Direct:     config.Direct,
		Seed:       config.Seed,
		Rate:       config.Rate,
		Outcomes:   map[outcome.Outcome]int{},
		Reasons:    map[outcome.Reason]int{},
		Hosts:      map[string]int{},
		Statuses:   map[int]int{},
		done:       newHistogram(),
		notRun:     newHistogram(),
		unknown:    newHistogram(),
		startDelay: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxUS, histogramDigits)
}

// add counts one attempt.
func (s *Summary) add(record Record) {
	s.Attempts++
	s.Hosts[record.Host]++
	s.Statuses[record.Status]++
	if record.Outcome != outcome.Done {
		s.Reasons[record.Reason]++
	}
	if record.Attempt == 0 {
		s.Requests++
		observe(s.startDelay, record.Start.Sub(record.Intended))
	}
	if !record.Last {
		return
	}
	s.Outcomes[record.Outcome]++
	latency := record.End.Sub(record.Intended)
	switch record.Outcome {
	case outcome.Done:
		observe(s.done, latency)
	case outcome.NotRun:
		observe(s.notRun, latency)
	case outcome.Unknown:
		observe(s.unknown, latency)
	}
}

// finish calculates the figures of the finished run. It does nothing for a zero
// Summary.
func (s *Summary) finish(elapsed time.Duration) {
	if s.done == nil {
		return
	}
	s.Seconds = elapsed.Seconds()
	s.PerSecond = float64(s.Outcomes[outcome.Done]) / s.Seconds
	s.Done = latencyOf(s.done)
	s.NotRun = latencyOf(s.notRun)
	s.Unknown = latencyOf(s.unknown)
	s.StartDelay = latencyOf(s.startDelay)
}

// observe records a latency, limited to the range of the histogram.
func observe(histogram *hdrhistogram.Histogram, latency time.Duration) {
	us := min(max(latency.Microseconds(), 0), histogramMaxUS)
	// The value is within the range, so the histogram takes it.
	_ = histogram.RecordValue(us)
}

func latencyOf(histogram *hdrhistogram.Histogram) Latency {
	if histogram.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{
		Count:  histogram.TotalCount(),
		MeanMS: histogram.Mean() / 1000,
		P50MS:  toMS(histogram.ValueAtQuantile(50)),
		P90MS:  toMS(histogram.ValueAtQuantile(90)),
		P99MS:  toMS(histogram.ValueAtQuantile(99)),
		P999MS: toMS(histogram.ValueAtQuantile(99.9)),
		MaxMS:  toMS(histogram.Max()),
	}
}

func toMS(us int64) float64 {
	return float64(us) / 1000
}
