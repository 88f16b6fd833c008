package follow

import (
	"context"
	"time"
)

// Checked is a Source whose waiting reads cannot miss a record. A read that reaches the platform's
// log while a record is being written may go on waiting although the record is there
// (docs/PLATFORM.md, question 5). So each waiting read is checked once by a read that does not wait.
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
	waiting := make(chan readResult, 1)
	go func() {
		batch, err := c.Source.Since(ctx, from, wait)
		waiting <- readResult{batch, err}
	}()
	timer := time.NewTimer(c.CheckAfter)
	defer timer.Stop()
	select {
	case result := <-waiting:
		return result.batch, result.err
	case <-timer.C:
	}
	// The check is only an addition: if it fails, the waiting read is still in flight and decides.
	if batch, err := c.Source.Since(ctx, from, 0); err == nil && len(batch.Records) > 0 {
		return batch, nil
	}
	result := <-waiting
	return result.batch, result.err
}
