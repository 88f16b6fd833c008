package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// missingSource has a record that is written at a given time, and that waiting reads do not notice.
type missingSource struct {
	written time.Time
	reads   atomic.Int64
}

func (s *missingSource) Newest(context.Context) (Batch, error) { return Batch{}, nil }

func (s *missingSource) Since(ctx context.Context, from Position, wait time.Duration) (Batch, error) {
	s.reads.Add(1)
	if wait > 0 {
		select {
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		case <-time.After(wait):
		}
	}
	if time.Now().Before(s.written) {
		return Batch{End: from.Offset}, nil
	}
	return Batch{Records: []Record{{Key: "config", Offset: from.Offset}}, End: from.Offset + 1}, nil
}

// TestRecordThatALongReadMissesIsFound is a regression test (scale-2 of the Moravia run, seed
// 877415582895): a configuration was being written when the read of a relay arrived. The read
// missed the record and ended only two seconds later, because of other hosts.
func TestRecordThatALongReadMissesIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &missingSource{written: time.Now().Add(60 * time.Millisecond)}
		started := time.Now()
		batch, err := Checked{Source: source, CheckAfter: 400 * time.Millisecond}.Since(t.Context(), Position{Offset: 2}, 20*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 1)
		assert.Equal(t, time.Since(started), 400*time.Millisecond)
	})
}

// TestCheckCostsOneRead checks that a waiting read without a new record causes one read more.
func TestCheckCostsOneRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &missingSource{written: time.Now().Add(time.Hour)}
		started := time.Now()
		batch, err := Checked{Source: source, CheckAfter: 400 * time.Millisecond}.Since(t.Context(), Position{Offset: 2}, 20*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, batch.End, uint64(2))
		assert.Equal(t, time.Since(started), 20*time.Second)
		assert.Equal(t, source.reads.Load(), int64(2))
	})
}

// linkSource is a topic behind a link that carries a byte each millisecond. Its record is there from the beginning.
type linkSource struct{ bytes int }

func (s *linkSource) Newest(context.Context) (Batch, error) { return Batch{}, nil }

func (s *linkSource) Since(ctx context.Context, from Position, _ time.Duration) (Batch, error) {
	for range 1000 {
		select {
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		case <-time.After(time.Millisecond):
		}
		s.bytes++
		ReportProgress(ctx, 1)
	}
	return Batch{Records: []Record{{Key: "config", Offset: from.Offset}}, End: from.Offset + 1}, nil
}

// TestAnswerThatArrivesIsNotReadTwice guards against a large configuration that takes twice its time on a narrow link, because it
// is read once more while it arrives.
func TestAnswerThatArrivesIsNotReadTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &linkSource{}
		batch, err := Checked{Source: source, CheckAfter: 400 * time.Millisecond}.Since(t.Context(), Position{Offset: 2}, 20*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 1)
		synctest.Wait()
		assert.Equal(t, source.bytes, 1000)
	})
}

// slowCheckSource answers a waiting read after half a second, and does not answer a read that does not wait.
type slowCheckSource struct{ missingSource }

func (s *slowCheckSource) Since(ctx context.Context, from Position, wait time.Duration) (Batch, error) {
	if wait == 0 {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	time.Sleep(500 * time.Millisecond)
	return Batch{Records: []Record{{Key: "config", Offset: from.Offset}}, End: from.Offset + 1}, nil
}

// TestAnswerDoesNotWaitForTheCheck guards against a record that is there and is held back until the check has ended.
func TestAnswerDoesNotWaitForTheCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		batch, err := Checked{Source: &slowCheckSource{}, CheckAfter: 400 * time.Millisecond}.Since(t.Context(), Position{Offset: 2}, 20*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 1)
		assert.Equal(t, time.Since(started), 500*time.Millisecond)
	})
}
