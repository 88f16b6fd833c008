package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// fakePlatform decodes records with values of one byte: a version for the key "config", the start
// time of a server, or "!" for a malformed record. Further bytes of a server are its sequence number
// and any character if it drains. Any other operators' key is an evacuated zone.
type fakePlatform struct{ Platform }

func (fakePlatform) DecodeOperatorRecord(record follow.Record) (OperatorRecord, error) {
	if record.Key == "config" {
		if record.Value[0] == '!' {
			return OperatorRecord{}, errors.New("malformed")
		}
		return OperatorRecord{Config: &routetable.Config{Version: routetable.Version(record.Value[0] - '0')}}, nil
	}
	return OperatorRecord{EvacuatedZone: record.Key}, nil
}

func (fakePlatform) DecodeServer(record follow.Record) (fleet.Entry, error) {
	if record.Value[0] == '!' {
		return fleet.Entry{}, errors.New("malformed")
	}
	decoded := fleet.Entry{ID: fleet.ID(record.Key), Service: "revize", Addr: record.Key + ":80", Born: int64(record.Value[0])}
	if len(record.Value) > 1 {
		decoded.Sequence = int64(record.Value[1])
		decoded.Draining = len(record.Value) > 2
	}
	return decoded, nil
}

func newTestOperatorRecords() *operatorRecords {
	return newOperatorRecords(fakePlatform{}, clock.Monotonic, eventlog.Discard(), func() {})
}

func record(key, value string) follow.Record {
	return follow.Record{Key: key, Value: []byte(value)}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	o := newTestOperatorRecords()
	o.apply(follow.Change{Records: []follow.Record{record("config", "4")}})
	o.apply(follow.Change{Records: []follow.Record{record("config", "2")}, Snapshot: true})
	assert.Equal(t, o.Table().Version, routetable.Version(4))
	o.apply(follow.Change{Records: []follow.Record{record("config", "!")}})
	assert.Equal(t, o.Table().Version, routetable.Version(4))
}

func TestZonesAreEvacuatedWhileTheirRecordsExist(t *testing.T) {
	o := newTestOperatorRecords()
	o.apply(follow.Change{Records: []follow.Record{record("zlin", "1"), record("brno", "1")}})
	assert.Assert(t, o.Evacuated("zlin") && o.Evacuated("brno"))
	o.apply(follow.Change{Records: []follow.Record{record("zlin", "")}})
	assert.Assert(t, !o.Evacuated("zlin") && o.Evacuated("brno"))
	o.apply(follow.Change{Snapshot: true})
	assert.Assert(t, !o.Evacuated("brno"))
}

// hangingSource never answers the first read of changes, and answers the next ones at once.
type hangingSource struct{ reads int }

func (s *hangingSource) Newest(context.Context) (follow.Batch, error) {
	return follow.Batch{Records: []follow.Record{{Key: "config", Value: []byte("4"), Offset: 1}}, End: 2}, nil
}

func (s *hangingSource) Since(ctx context.Context, _ follow.Position, _ time.Duration) (follow.Batch, error) {
	s.reads++
	if s.reads == 1 {
		<-ctx.Done()
		return follow.Batch{}, ctx.Err()
	}
	return follow.Batch{Records: []follow.Record{{Key: "config", Value: []byte("7"), Offset: 2}}, End: 3}, nil
}

// slowSource answers each read of changes after 500 ms, as a slow store does.
type slowSource struct{ hangingSource }

func (s *slowSource) Since(ctx context.Context, from follow.Position, wait time.Duration) (follow.Batch, error) {
	s.reads = 1
	select {
	case <-ctx.Done():
		return follow.Batch{}, ctx.Err()
	case <-time.After(500 * time.Millisecond):
		return s.hangingSource.Since(ctx, from, wait)
	}
}

// TestReadThatCatchesUpIsNotCancelled is a regression test for the recorded load scale-2 of
// Moravia. Hosts that had been partitioned restarted their read for three seconds, because each
// new plan cancelled the read that was about to bring them up to date.
func TestReadThatCatchesUpIsNotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOperatorRecords()
		follower := follow.New(&slowSource{})
		assert.NilError(t, o.read(t.Context(), follower))
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				o.checkProgress(3)
				time.Sleep(20 * time.Millisecond)
			}
		}()
		assert.NilError(t, o.read(ctx, follower))
		assert.Equal(t, o.Table().Version, routetable.Version(7))
		cancel()
		time.Sleep(time.Second)
	})
}

// TestHangingReadIsCancelled is a regression test for the recorded load trouble-2 of Moravia. The
// answer to a read of a newly started host was lost, and the host kept version 4 of the
// configuration for twenty seconds.
func TestHangingReadIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOperatorRecords()
		follower := follow.New(&hangingSource{})
		assert.NilError(t, o.read(t.Context(), follower))
		started := time.Now()
		time.AfterFunc(time.Second, func() { o.checkProgress(3) })
		assert.Assert(t, o.read(t.Context(), follower) != nil)
		assert.NilError(t, o.read(t.Context(), follower))
		assert.Equal(t, o.Table().Version, routetable.Version(7))
		assert.Equal(t, time.Since(started), time.Second)
		o.checkProgress(3)
		assert.Equal(t, len(o.behind), 0)
		time.Sleep(time.Second)
	})
}

// TestRestoreUndoesNoEvacuation checks that neither an evacuation that a restore of the log has lost
// ends, nor one that had ended is in force again, until the operators have written again.
func TestRestoreUndoesNoEvacuation(t *testing.T) {
	o := newTestOperatorRecords()
	now := time.Duration(0)
	o.clock = func() time.Duration { return now }
	brno, zlin := record("brno", "1"), record("zlin", "1")
	brno.Offset, zlin.Offset = 1, 2
	o.apply(follow.Change{Records: []follow.Record{brno}, Snapshot: true})
	o.apply(follow.Change{Records: []follow.Record{record("brno", ""), zlin}})
	o.apply(follow.Change{Records: []follow.Record{brno}, Snapshot: true, Restored: true})
	assert.Assert(t, o.Evacuated("zlin") && !o.Evacuated("brno"))
	assert.Equal(t, o.readWait(), rewriteGrace)

	// An evacuation that is ordered anew counts, and one that is not written again ends.
	brno.Offset = 3
	o.apply(follow.Change{Records: []follow.Record{brno}})
	assert.Assert(t, o.Evacuated("zlin") && o.Evacuated("brno"))
	now = rewriteGrace
	o.apply(follow.Change{})
	assert.Assert(t, !o.Evacuated("zlin") && o.Evacuated("brno"))
}

// receivingSource begins to answer a read of changes after five seconds. Its answer takes two seconds to arrive.
type receivingSource struct{ hangingSource }

func (s *receivingSource) Since(ctx context.Context, from follow.Position, wait time.Duration) (follow.Batch, error) {
	time.Sleep(5 * time.Second)
	for range 20 {
		select {
		case <-ctx.Done():
			return follow.Batch{}, ctx.Err()
		case <-time.After(100 * time.Millisecond):
			follow.ReportProgress(ctx, 1000)
		}
	}
	s.reads = 1
	return s.hangingSource.Since(ctx, from, wait)
}

// TestReadThatReceivesIsNotCancelled guards against a large configuration that is not in force in time, because the read that is
// bringing it is cancelled whenever another host has it already.
func TestReadThatReceivesIsNotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOperatorRecords()
		follower := follow.New(&receivingSource{})
		assert.NilError(t, o.read(t.Context(), follower))
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		go func() {
			time.Sleep(5*time.Second + 150*time.Millisecond)
			for ctx.Err() == nil {
				o.checkProgress(3)
				time.Sleep(300 * time.Millisecond)
			}
		}()
		assert.NilError(t, o.read(ctx, follower))
		assert.Equal(t, o.Table().Version, routetable.Version(7))
		assert.Equal(t, o.progress.metrics().RestartedReads, int64(0))
		cancel()
		time.Sleep(time.Second)
	})
}

// stallingSource answers a read of changes in part and then falls silent, but for the second read.
type stallingSource struct{ hangingSource }

func (s *stallingSource) Since(ctx context.Context, from follow.Position, wait time.Duration) (follow.Batch, error) {
	if s.reads == 0 {
		time.Sleep(time.Second)
		follow.ReportProgress(ctx, 1000)
	}
	return s.hangingSource.Since(ctx, from, wait)
}

// TestReadThatStallsIsCancelled checks that a read whose answer has broken off counts as hanging.
func TestReadThatStallsIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOperatorRecords()
		follower := follow.New(&stallingSource{})
		assert.NilError(t, o.read(t.Context(), follower))
		started := time.Now()
		time.AfterFunc(1100*time.Millisecond, func() { o.checkProgress(3) })
		assert.Assert(t, o.read(t.Context(), follower) != nil)
		assert.NilError(t, o.read(t.Context(), follower))
		assert.Equal(t, o.Table().Version, routetable.Version(7))
		assert.Equal(t, time.Since(started), 1100*time.Millisecond+hangTimeout)
		time.Sleep(time.Second)
	})
}
