package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

const (
	// histogramMaxUS is the largest latency told apart, in microseconds.
	histogramMaxUS = int64(MaxDuration / time.Microsecond)
	// histogramDigits is the number of significant digits kept.
	histogramDigits = 3
)

// Latency sums up a histogram, in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// Summary sums up a run. Requests counts requests, Tries what was sent for them.
type Summary struct {
	Service  string  `json:"service"`
	Direct   bool    `json:"direct"`
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"rate"`
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	Tries    int     `json:"tries"`
	// PerSecond is the number of requests done per second.
	PerSecond float64 `json:"per_second"`
	// Outcomes counts requests by the outcome of their last try.
	Outcomes map[outcome.Outcome]int `json:"outcomes"`
	// Reasons counts tries that were not done, by reason.
	Reasons map[outcome.Reason]int `json:"reasons"`
	// Hosts counts tries by the address that took them.
	Hosts map[string]int `json:"hosts"`
	// Statuses counts tries by HTTP status; 0 where there was no answer.
	Statuses map[int]int `json:"statuses"`
	// Done is the latency of requests that were done, from the intended start
	// to the end of the last try.
	Done Latency `json:"done"`
	// Refused is the same for requests that were not run.
	Refused Latency `json:"refused"`
	// Unknown is the same for requests with an unknown outcome.
	Unknown Latency `json:"unknown"`
	// StartDelay is how much later than intended first tries started.
	StartDelay Latency `json:"start_delay"`
	// CPUSeconds is the processor time of the measured processes, and
	// PerCPUSecond the number of requests done in each second of it.
	CPUSeconds   float64 `json:"cpu_seconds,omitempty"`
	PerCPUSecond float64 `json:"per_cpu_second,omitempty"`

	done, refused, unknown, startDelay *hdrhistogram.Histogram
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
		refused:    newHistogram(),
		unknown:    newHistogram(),
		startDelay: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxUS, histogramDigits)
}

// add counts one try.
func (s *Summary) add(record Record) {
	s.Tries++
	s.Hosts[record.Host]++
	s.Statuses[record.Status]++
	if record.Outcome != outcome.Done {
		s.Reasons[record.Reason]++
	}
	if record.Try == 0 {
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
		observe(s.refused, latency)
	case outcome.Unknown:
		observe(s.unknown, latency)
	}
}

// finish fills in the figures that need the whole run.
func (s *Summary) finish(elapsed time.Duration) {
	if s.done == nil {
		return
	}
	s.Seconds = elapsed.Seconds()
	s.PerSecond = float64(s.Outcomes[outcome.Done]) / s.Seconds
	s.Done = latencyOf(s.done)
	s.Refused = latencyOf(s.refused)
	s.Unknown = latencyOf(s.unknown)
	s.StartDelay = latencyOf(s.startDelay)
}

// observe records a latency, cut to the histogram's range.
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
