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
		if !time.Now().Before(s.written) {
			<-ctx.Done()
			return Batch{}, ctx.Err()
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
		batch, err := newHedged(source).Since(t.Context(), Position{Offset: 2}, 150*time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 1)
		assert.Equal(t, time.Since(started), 400*time.Millisecond)
	})
}

// TestAnsweredReadIsNotRepeated checks that a waiting read without a new record costs one read.
func TestAnsweredReadIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &missingSource{written: time.Now().Add(time.Hour)}
		started := time.Now()
		batch, err := newHedged(source).Since(t.Context(), Position{Offset: 2}, 20*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, batch.End, uint64(2))
		assert.Equal(t, time.Since(started), 20*time.Second)
		assert.Equal(t, source.reads.Load(), int64(1))
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
		batch, err := newHedged(source).Since(t.Context(), Position{Offset: 2}, 150*time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 1)
		synctest.Wait()
		assert.Equal(t, source.bytes, 1000)
	})
}

// slowness is the time that slowSource takes for each read, also one that does not wait.
const slowness = 450 * time.Millisecond

// slowSource answers each read after slowness.
type slowSource struct{ reads atomic.Int64 }

func (s *slowSource) Newest(context.Context) (Batch, error) { return Batch{}, nil }

func (s *slowSource) Since(ctx context.Context, from Position, _ time.Duration) (Batch, error) {
	s.reads.Add(1)
	select {
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	case <-time.After(slowness):
	}
	return Batch{Records: []Record{{Key: "config", Offset: from.Offset}}, End: from.Offset + 1}, nil
}

// TestAnswerDoesNotWaitForTheRepetition guards against a record that is there and is held back until the repeated read has ended.
func TestAnswerDoesNotWaitForTheRepetition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		batch, err := newHedged(&slowSource{}).Since(t.Context(), Position{Offset: 2}, 150*time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 1)
		assert.Equal(t, time.Since(started), slowness)
	})
}

// TestSlowPlatformIsNotReadMoreOften checks that reads are repeated later once the platform has answered late.
func TestSlowPlatformIsNotReadMoreOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &slowSource{}
		hedged := newHedged(source)
		for range 10 {
			_, err := hedged.Since(t.Context(), Position{Offset: 2}, 0)
			assert.NilError(t, err)
		}
		assert.Equal(t, source.reads.Load(), int64(11))
	})
}

// silentSource never answers.
type silentSource struct{ reads atomic.Int64 }

func (s *silentSource) Newest(context.Context) (Batch, error) { return Batch{}, nil }

func (s *silentSource) Since(ctx context.Context, _ Position, _ time.Duration) (Batch, error) {
	s.reads.Add(1)
	<-ctx.Done()
	return Batch{}, ctx.Err()
}

// TestSilentPlatformIsGivenUp checks that a read ends when neither it nor its repetitions are answered.
func TestSilentPlatformIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &silentSource{}
		started := time.Now()
		_, err := newHedged(source).Since(t.Context(), Position{Offset: 2}, 500*time.Millisecond)
		assert.ErrorIs(t, err, ErrSilent)
		assert.Equal(t, time.Since(started), 1250*time.Millisecond)
		assert.Equal(t, source.reads.Load(), int64(maxHedgedReads))
		synctest.Wait()
	})
}

func newHedged(source Source) *Hedged {
	return &Hedged{Source: source, MinDelay: 250 * time.Millisecond, MaxDelay: 1500 * time.Millisecond}
}
