package leader

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedTime bounds the recorded times, and timeDigits is the number of their significant digits.
	maxRecordedTime = time.Minute
	timeDigits      = 2
)

// Times summarizes how long something took, in milliseconds.
type Times struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// Metrics says whether this host bears the duties of the leader.
type Metrics struct {
	// StepMS is how long the computation of a step took. PlanMS is the time from the change that a plan answers to until
	// the plan was written.
	StepMS Times `json:"step_ms"`
	PlanMS Times `json:"plan_ms"`
	// OldestReportMS is the age of the oldest report that the leader still uses, and ReportingHosts the number of hosts
	// that have sent one.
	OldestReportMS int64 `json:"oldest_report_ms"`
	ReportingHosts int   `json:"reporting_hosts"`
	// Releases is the number of ranges that are being released.
	Releases int `json:"releases"`
	// Incarnations counts what has become of the incarnations of hosts.
	Incarnations IncarnationCounts `json:"incarnations"`
}

// duties records how long the leader's duties take. It is safe for concurrent use.
type duties struct {
	mu          sync.Mutex
	steps       *hdrhistogram.Histogram
	plans       *hdrhistogram.Histogram
	requestedAt time.Duration
}

func newDuties() *duties {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedTime.Milliseconds(), timeDigits) }
	return &duties{steps: newHistogram(), plans: newHistogram()}
}

// requested records that a step has been requested, unless another request has not been answered yet.
func (d *duties) requested(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requestedAt == 0 {
		d.requestedAt = now
	}
}

// begin returns when the first request was made that the step that begins now answers, or now.
func (d *duties) begin(now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	requested := d.requestedAt
	d.requestedAt = 0
	if requested == 0 {
		return now
	}
	return requested
}

// computed records how long the computation of a step took.
func (d *duties) computed(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record(d.steps, took)
}

// written records how long it took from a request to the plan that answers it.
func (d *duties) written(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record(d.plans, took)
}

// record adds a time to a histogram, whose bounds it cannot exceed.
func record(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), maxRecordedTime.Milliseconds()))
}

// timesOf summarizes a histogram.
func timesOf(h *hdrhistogram.Histogram) Times {
	return Times{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

// Metrics returns the metrics of this host's duties as leader. They are those of former terms if it does not lead.
func (l *Leader) Metrics() Metrics {
	l.duties.mu.Lock()
	m := Metrics{StepMS: timesOf(l.duties.steps), PlanMS: timesOf(l.duties.plans)}
	l.duties.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	for _, report := range l.reports {
		if age := now - report.at; age <= reportTTL {
			m.ReportingHosts++
			m.OldestReportMS = max(m.OldestReportMS, age.Milliseconds())
		}
	}
	m.Releases = len(l.releases)
	m.Incarnations = l.incarnationCounters.snapshot()
	return m
}
