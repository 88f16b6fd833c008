// Package eventlog writes structured log lines (logfmt) about the decisions of a process. Package
// platform creates the Log of a host; packages edge, front, leader, relay and renew write to it.
//
// Logging never blocks its caller, even if the output does: lines go through a bounded queue to
// the goroutine that calls Run. Lines that exceed the queue or the rate limit are dropped and
// counted; the next line that is written has the count as dropped_before.
package eventlog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the capacity of the queue, in lines.
	queueLines = 1024
	// routineLinesPerSecond and importantLinesPerSecond are the rate limits of Routine and Event.
	routineLinesPerSecond   = 20
	importantLinesPerSecond = 200
	// burstSeconds is the burst that the rate limits allow, in seconds of lines.
	burstSeconds = 2
)

// Log accepts log lines. It is safe for concurrent use.
type Log struct {
	queue     chan line
	dropped   atomic.Int64
	routine   *rate.Limiter
	important *rate.Limiter
	logger    *log.Logger
}

// line is one log line. fields alternates names and values.
type line struct {
	event  string
	fields []any
}

// New returns a Log that writes to w while Run runs. The fields are added to each line.
func New(w io.Writer, fields ...any) *Log {
	logger := log.NewWithOptions(w, log.Options{
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      "15:04:05.000",
	})
	return &Log{
		queue:     make(chan line, queueLines),
		routine:   rate.NewLimiter(routineLinesPerSecond, routineLinesPerSecond*burstSeconds),
		important: rate.NewLimiter(importantLinesPerSecond, importantLinesPerSecond*burstSeconds),
		logger:    logger.With(fields...),
	}
}

// Discard returns a Log for tests that writes nothing. Without Run, its queue fills up and further
// lines are dropped.
func Discard() *Log {
	return New(io.Discard)
}

// Event logs a decision or a change of state. fields alternates names and values.
func (l *Log) Event(event string, fields ...any) {
	l.enqueue(l.important, line{event: event, fields: fields})
}

// Lifecycle logs the start or the end of the process. These lines have no rate limit.
func (l *Log) Lifecycle(event string, fields ...any) {
	l.enqueue(nil, line{event: event, fields: fields})
}

// Routine logs a frequent, expected event. Its rate limit is lower, so these lines are dropped first.
func (l *Log) Routine(event string, fields ...any) {
	l.enqueue(l.routine, line{event: event, fields: fields})
}

// Dropped returns the number of dropped lines that no written line has reported yet.
func (l *Log) Dropped() int64 {
	return l.dropped.Load()
}

// enqueue adds a line to the queue, or drops and counts it. A nil limiter sets no limit.
func (l *Log) enqueue(limiter *rate.Limiter, entry line) {
	if limiter != nil && !limiter.AllowN(time.Now(), 1) {
		l.dropped.Add(1)
		return
	}
	select {
	case l.queue <- entry:
	default:
		l.dropped.Add(1)
	}
}

// Run writes lines until the context ends, and then the lines that are still in the queue.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case entry := <-l.queue:
			l.write(entry)
		case <-ctx.Done():
			l.drain()
			return
		}
	}
}

// drain writes the lines in the queue.
func (l *Log) drain() {
	for {
		select {
		case entry := <-l.queue:
			l.write(entry)
		default:
			return
		}
	}
}

func (l *Log) write(entry line) {
	fields := entry.fields
	if dropped := l.dropped.Swap(0); dropped > 0 {
		fields = append(fields, "dropped_before", dropped)
	}
	l.logger.Info(entry.event, fields...)
}
