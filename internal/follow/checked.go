package follow

import (
	"context"
	"time"
)

// Checked is a source whose long reads cannot miss a record. A read that reaches the platform's log while a
// record is being written has been seen to wait on although the record was there
// (docs/PLATFORM.md, question 5). So each long read is followed by one read that does not wait.
type Checked struct {
	Source
	// After is the time from the start of a long read to the check. It is longer than a write takes.
	After time.Duration
}

// answer is what a read brought.
type answer struct {
	batch Batch
	err   error
}

// Since implements Source.
func (c Checked) Since(ctx context.Context, offset uint64, wait time.Duration) (Batch, error) {
	if wait <= c.After {
		return c.Source.Since(ctx, offset, wait)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	long := make(chan answer, 1)
	go func() {
		batch, err := c.Source.Since(ctx, offset, wait)
		long <- answer{batch, err}
	}()
	timer := time.NewTimer(c.After)
	defer timer.Stop()
	select {
	case a := <-long:
		return a.batch, a.err
	case <-timer.C:
	}
	// A check that fails says nothing: the long read is still under way.
	if batch, err := c.Source.Since(ctx, offset, 0); err == nil && len(batch.Records) > 0 {
		return batch, nil
	}
	a := <-long
	return a.batch, a.err
}
