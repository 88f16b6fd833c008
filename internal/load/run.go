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

// channelCapacity is the capacity of the channels of requests and records.
const channelCapacity = 1024

// runIDLength is the number of random characters at the start of the request IDs of a run.
const runIDLength = 8

// Run sends the load and returns its summary. It writes the record of every
// attempt to records as one line of JSON; records may be nil. If ctx is
// cancelled, no new attempts start, those in flight run to their end, and the
// summary covers the requests that were sent. Run returns an error if the
// configuration is invalid or a record cannot be written; a failed write does
// not stop the load.
func Run(ctx context.Context, config Config, records io.Writer) (Summary, error) {
	if err := config.Check(); err != nil {
		return Summary{}, err
	}
	client := newClient(config)
	defer client.close()
	requests := make(chan Request, channelCapacity)
	results := make(chan Record, channelCapacity)
	start := time.Now()
	go dispatch(ctx, config, start, requests)
	go work(ctx, config, client, start, requests, results)
	summary, err := collect(config, results, records)
	summary.finish(time.Since(start))
	return summary, err
}

// dispatch sends every request to the workers at its start time. It blocks while
// all workers are busy and the channel is full.
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

// work runs config.Concurrency workers and closes results when all have ended.
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

// send sends the request, and retries it while its outcome is unknown and retries
// are left.
func send(ctx context.Context, config Config, client *client, intended time.Time, request Request, results chan<- Record) {
	for attempt := 0; ; attempt++ {
		record := client.attempt(ctx, request, attempt)
		record.Intended = intended
		record.Last = record.Outcome != outcome.Unknown || attempt >= config.Retries || ctx.Err() != nil
		results <- record
		if record.Last {
			return
		}
	}
}

// collect writes and counts the records until the channel is closed. After a
// failed write it keeps reading, so that the workers do not block, and finally
// returns the error.
func collect(config Config, results <-chan Record, records io.Writer) (Summary, error) {
	summary := newSummary(config)
	if records == nil {
		records = io.Discard
	}
	encoder := json.NewEncoder(records)
	var writeErr error
	for record := range results {
		summary.add(record)
		if writeErr == nil {
			writeErr = errors.Wrap(encoder.Encode(record), "load: write record")
		}
	}
	return summary, writeErr
}
