package follow

import (
	"context"
	"time"
)

// Checked is a Source whose waiting reads cannot miss a record. A read that reaches the platform's
// log while a record is being written may go on waiting although the record is there
// (docs/PLATFORM.md, question 5). So each waiting read is checked once by a read that does not wait,
// unless its answer is arriving by then.
type Checked struct {
	Source
	// CheckAfter is the time from the start of a waiting read to the check. It is longer than a
	// write takes. Reads that wait no longer than this are not checked.
	CheckAfter time.Duration
}

// readResult is the result of a read.
type readResult struct {
	batch Batch
	err   error
}

// Since implements Source.
func (c Checked) Since(ctx context.Context, from Position, wait time.Duration) (Batch, error) {
	if wait <= c.CheckAfter {
		return c.Source.Since(ctx, from, wait)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var received Progress
	waiting := make(chan readResult, 1)
	go func() {
		batch, err := c.Source.Since(WithProgress(ctx, &received), from, wait)
		waiting <- readResult{batch, err}
	}()
	timer := time.NewTimer(c.CheckAfter)
	defer timer.Stop()
	select {
	case result := <-waiting:
		return result.batch, result.err
	case <-timer.C:
	}
	checked := make(chan Batch, 1)
	if received.Bytes() == 0 {
		go c.check(ctx, from, checked)
	}
	select {
	case result := <-waiting:
		return result.batch, result.err
	case batch := <-checked:
		return batch, nil
	}
}

// check reads once without waiting, and sends the batch if it has records. It is only an addition: otherwise the waiting read, which
// is still in flight, decides.
func (c Checked) check(ctx context.Context, from Position, checked chan<- Batch) {
	if batch, err := c.Source.Since(ctx, from, 0); err == nil && len(batch.Records) > 0 {
		checked <- batch
	}
}
