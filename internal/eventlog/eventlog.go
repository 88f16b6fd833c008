// Package eventlog writes structured lines that explain what a process decides.
//
// Writing never blocks: lines go through a bounded queue to one goroutine, and
// what does not fit, or exceeds the rate, is dropped and counted. The count is part of the
// next line that is written.
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
	// queueLines is the number of lines that wait for the writer.
	queueLines = 1024
	// routineLinesPerSecond and importantLinesPerSecond bound the two kinds of lines.
	routineLinesPerSecond   = 20
	importantLinesPerSecond = 200
	// burstSeconds of lines may be written at once.
	burstSeconds = 2
)

// Log takes lines. It is safe for concurrent use.
type Log struct {
	queue     chan line
	dropped   atomic.Int64
	routine   *rate.Limiter
	important *rate.Limiter
	logger    *log.Logger
}

type line struct {
	event  string
	fields []any
}

// New returns a log that writes to w while it runs. Fields are part of each line.
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

// Discard returns a log whose lines go nowhere.
func Discard() *Log {
	return New(io.Discard)
}

// Event notes a decision or a change of what the process believes. Fields are
// pairs of names and values.
func (l *Log) Event(event string, fields ...any) {
	l.put(l.important, line{event: event, fields: fields})
}

// Routine notes what happens on the ordinary way. These lines are dropped first.
func (l *Log) Routine(event string, fields ...any) {
	l.put(l.routine, line{event: event, fields: fields})
}

// Dropped returns the number of lines that were left out so far and not told yet.
func (l *Log) Dropped() int64 {
	return l.dropped.Load()
}

func (l *Log) put(limiter *rate.Limiter, entry line) {
	if !limiter.AllowN(time.Now(), 1) {
		l.dropped.Add(1)
		return
	}
	select {
	case l.queue <- entry:
	default:
		l.dropped.Add(1)
	}
}

// Run writes lines until the context ends, then what waits.
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
