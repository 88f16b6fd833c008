package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// maxHedgedReads is the number of reads that Hedged makes for one, the first among them.
const maxHedgedReads = 3

// ErrSilent reports that none of the reads that Hedged made for one was answered.
var ErrSilent = errors.New("follow: no answer to a read, nor to its repetitions")

// Hedged is a Source whose reads do not depend on one answer, which may never come: its connection may have gone silent, or the
// platform's log may have missed that a record was being written (docs/PLATFORM.md, question 5). A read that is not answered when it
// should be is repeated beside the first one, and the first answer counts. A read whose answer is arriving is not repeated.
// It is safe for concurrent use.
type Hedged struct {
	Source
	// MinDelay is the time from when a read should have been answered to its repetition, and between two repetitions. The delay
	// grows with the time that the platform takes to answer, up to MaxDelay.
	MinDelay, MaxDelay time.Duration

	// delay is the present delay in nanoseconds, if it is above MinDelay.
	delay atomic.Int64
}

// hedgedRead is one of the reads that Hedged makes for one.
type hedgedRead struct {
	wait     time.Duration
	began    time.Time
	received Progress
}

// readResult is the result of such a read.
type readResult struct {
	read  *hedgedRead
	batch Batch
	err   error
}

// Since implements Source. The error is ErrSilent if no read is answered in time.
func (h *Hedged) Since(ctx context.Context, from Position, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan readResult, maxHedgedReads)
	reads := []*hedgedRead{h.start(ctx, from, wait, results)}
	timer := time.NewTimer(wait + h.currentDelay())
	defer timer.Stop()
	received := int64(0)
	for {
		select {
		case result := <-results:
			h.noteDelay(time.Since(result.read.began) - result.read.wait)
			return result.batch, result.err
		case <-timer.C:
		}
		before := received
		received = receivedBytes(reads)
		switch {
		case received > before:
			// An answer is arriving.
		case len(reads) == maxHedgedReads:
			h.noteDelay(h.currentDelay())
			return Batch{}, ErrSilent
		default:
			reads = append(reads, h.start(ctx, from, 0, results))
		}
		timer.Reset(h.currentDelay())
	}
}

// start starts a read, whose result it sends to the channel.
func (h *Hedged) start(ctx context.Context, from Position, wait time.Duration, results chan<- readResult) *hedgedRead {
	read := &hedgedRead{wait: wait, began: time.Now()}
	go func() {
		batch, err := h.Source.Since(WithProgress(ctx, &read.received), from, wait)
		results <- readResult{read, batch, err}
	}()
	return read
}

// receivedBytes returns the number of bytes that have arrived for all reads.
func receivedBytes(reads []*hedgedRead) int64 {
	received := int64(0)
	for _, read := range reads {
		received += read.received.Bytes()
	}
	return received
}

// currentDelay returns the present time until a read is repeated.
func (h *Hedged) currentDelay() time.Duration {
	return max(h.MinDelay, time.Duration(h.delay.Load()))
}

// noteDelay notes how long after it should have come an answer came. Reads are then repeated after twice that time, so that a slow
// platform is not asked more often than a fast one.
func (h *Hedged) noteDelay(late time.Duration) {
	h.delay.Store(int64(min(2*late, h.MaxDelay)))
}
