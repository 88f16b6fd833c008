package load

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// queueLength bounds the requests and records that wait between goroutines.
const queueLength = 1024

// runIDLength is the number of random characters by which request IDs differ between runs.
const runIDLength = 8

// Run sends the load and returns its summary. Every try's record is written to
// records as a line of JSON; records may be nil. A cancelled context ends the
// run early: tries in flight end, no others start, and the summary covers what was sent.
func Run(ctx context.Context, config Config, records io.Writer) (Summary, error) {
	if err := config.Check(); err != nil {
		return Summary{}, err
	}
	client := newClient(config)
	defer client.close()
	requests := make(chan Request, queueLength)
	results := make(chan Record, queueLength)
	start := time.Now()
	go dispatch(ctx, config, start, requests)
	go work(ctx, config, client, start, requests, results)
	summary, err := collect(config, results, records)
	summary.finish(time.Since(start))
	return summary, err
}

// dispatch passes every request on at its time.
func dispatch(ctx context.Context, config Config, start time.Time, requests chan<- Request) {
	defer close(requests)
	schedule := newScheduler(config, uuid.NewString()[:runIDLength])
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		request, more := schedule.next()
		if !more {
			return
		}
		timer.Reset(time.Until(start.Add(request.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		select {
		case requests <- request:
		case <-ctx.Done():
			return
		}
	}
}

// work runs the workers and closes results when all have ended.
func work(ctx context.Context, config Config, client *client, start time.Time, requests <-chan Request, results chan<- Record) {
	defer close(results)
	var workers sync.WaitGroup
	for range config.Concurrency {
		workers.Go(func() {
			for request := range requests {
				if ctx.Err() != nil {
					continue
				}
				send(ctx, config, client, start.Add(request.At), request, results)
			}
		})
	}
	workers.Wait()
}

// send sends the request, and again while its outcome is unknown and repeats are left.
func send(ctx context.Context, config Config, client *client, intended time.Time, request Request, results chan<- Record) {
	for try := 0; ; try++ {
		record := client.try(ctx, request, try)
		record.Intended = intended
		record.Last = record.Outcome != outcome.Unknown || try >= config.Repeats || ctx.Err() != nil
		results <- record
		if record.Last {
			return
		}
	}
}

// collect writes and counts the records until all are in. It reads on after a
// failed write, so that the workers end.
func collect(config Config, results <-chan Record, records io.Writer) (Summary, error) {
	summary := newSummary(config)
	if records == nil {
		records = io.Discard
	}
	encoder := json.NewEncoder(records)
	var failed error
	for record := range results {
		summary.add(record)
		if failed == nil {
			failed = errors.Wrap(encoder.Encode(record), "load: write record")
		}
	}
	return summary, failed
}
