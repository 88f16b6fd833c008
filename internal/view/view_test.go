package view

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// fakeLog is an in-memory log. It can be trimmed, lose the answers to appends and be
// unavailable.
type fakeLog struct {
	mu         sync.Mutex
	entries    []logservice.Entry
	next       logservice.Offset
	loseAnswer bool // appends take effect but return ErrUnavailable
	down       bool // every call returns ErrUnavailable and has no effect
}

func newFakeLog() *fakeLog { return &fakeLog{next: 1} }

func (l *fakeLog) Append(_ context.Context, data []byte) (logservice.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, logservice.ErrUnavailable
	}
	offset := l.next
	l.next++
	l.entries = append(l.entries, logservice.Entry{Offset: offset, Data: data})
	if l.loseAnswer {
		return 0, logservice.ErrUnavailable
	}
	return offset, nil
}

func (l *fakeLog) Read(_ context.Context, from logservice.Offset, max int, _ time.Duration) (logservice.ReadReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := logservice.ReadReply{First: l.next, Next: l.next}
	if len(l.entries) > 0 {
		reply.First = l.entries[0].Offset
	}
	if l.down {
		return reply, logservice.ErrUnavailable
	}
	if from < reply.First {
		return reply, logservice.ErrTrimmed
	}
	for _, entry := range l.entries {
		if entry.Offset >= from && len(reply.Entries) < max {
			reply.Entries = append(reply.Entries, entry)
		}
	}
	return reply, nil
}

// trim drops all but the last keep entries.
func (l *fakeLog) trim(keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = l.entries[len(l.entries)-keep:]
}

func markRecord(zone string, state record.MarkState, base logservice.Offset) record.Record {
	return record.Record{
		ID:   record.NewID(),
		Kind: record.KindMark,
		Mark: &record.Mark{Subject: record.SubjectZone, Name: zone, State: state, Base: base},
	}
}

func zoneMark(v *View, zone string) ownership.Mark {
	var mark ownership.Mark
	v.Read(func(_ *settings.State, table *ownership.Table) {
		mark = table.Mark(record.SubjectZone, zone)
	})
	return mark
}

func mustAppend(t *testing.T, log *fakeLog, r record.Record) {
	t.Helper()
	data, err := record.Encode(r)
	assert.NilError(t, err)
	_, err = log.Append(t.Context(), data)
	assert.NilError(t, err)
}

// readOnce makes the view read the log once.
func readOnce(t *testing.T, v *View, log *fakeLog) error {
	t.Helper()
	return NewFollower(v, log, func(bool) {}).readOnce(t.Context())
}

func TestMalformedRecordIsCountedAndSkipped(t *testing.T) {
	log := newFakeLog()
	_, err := log.Append(t.Context(), []byte("{"))
	assert.NilError(t, err)
	mustAppend(t, log, markRecord("zlin", record.MarkLeaving, 0))
	v := New()
	assert.NilError(t, readOnce(t, v, log))
	assert.Equal(t, v.Malformed(), uint64(1))
	assert.Equal(t, v.Applied(), logservice.Offset(2))
	assert.Equal(t, zoneMark(v, "zlin").State, record.MarkLeaving)
}

func TestLostAnswerIsResolvedByReading(t *testing.T) {
	log := newFakeLog()
	log.loseAnswer = true
	v := New()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	go func() {
		for ctx.Err() == nil && v.Applied() == 0 {
			v.apply(read(log, v.Applied()+1))
		}
	}()
	decision, err := NewWriter(v, log, "h1").Append(ctx, markRecord("zlin", record.MarkLeaving, 0))
	assert.NilError(t, err)
	assert.Assert(t, decision.Accepted)
	assert.Equal(t, log.next, logservice.Offset(2), "the record must be appended once")
}

func read(log *fakeLog, from logservice.Offset) []logservice.Entry {
	reply, _ := log.Read(context.Background(), from, readBatch, 0)
	return reply.Entries
}

func TestAppendDuringAnOutageIsUnresolved(t *testing.T) {
	log := newFakeLog()
	log.down = true
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := NewWriter(New(), log, "h1").Append(ctx, markRecord("zlin", record.MarkLeaving, 0))
	assert.Assert(t, errors.Is(err, ErrUnresolved), "got %v", err)
}

func TestTrimmedLogIsReadFromItsCheckpoint(t *testing.T) {
	log := newFakeLog()
	mustAppend(t, log, markRecord("zlin", record.MarkLeaving, 0))
	mustAppend(t, log, markRecord("olomouc", record.MarkLeaving, 0))
	old := New()
	assert.NilError(t, readOnce(t, old, log))
	state, offset, err := old.Snapshot()
	assert.NilError(t, err)
	mustAppend(t, log, record.Record{
		ID: record.NewID(), Kind: record.KindCheckpoint,
		Checkpoint: &record.Checkpoint{Offset: offset, State: state},
	})
	mustAppend(t, log, markRecord("olomouc", record.MarkActive, 2))
	log.trim(2)

	fresh := New()
	assert.NilError(t, readOnce(t, fresh, log))
	assert.Equal(t, fresh.Applied(), logservice.Offset(2))
	assert.NilError(t, readOnce(t, fresh, log))
	assert.NilError(t, readOnce(t, old, log))
	assert.Equal(t, fresh.Applied(), old.Applied())
	for _, zone := range []string{"zlin", "olomouc"} {
		assert.DeepEqual(t, zoneMark(fresh, zone), zoneMark(old, zone))
	}
}

func TestTrimmedLogWithoutACheckpointIsAnError(t *testing.T) {
	log := newFakeLog()
	for range 3 {
		mustAppend(t, log, markRecord("zlin", record.MarkLeaving, 0))
	}
	log.trim(1)
	assert.Assert(t, errors.Is(readOnce(t, New(), log), ErrNoCheckpoint))
}

func TestCheckpointBeforeAGapIsNotUsed(t *testing.T) {
	log := newFakeLog()
	state, _, err := New().Snapshot()
	assert.NilError(t, err)
	for range 3 {
		mustAppend(t, log, markRecord("zlin", record.MarkLeaving, 0))
	}
	mustAppend(t, log, record.Record{
		ID: record.NewID(), Kind: record.KindCheckpoint,
		Checkpoint: &record.Checkpoint{Offset: 1, State: state},
	})
	log.trim(1)
	assert.Assert(t, errors.Is(readOnce(t, New(), log), ErrNoCheckpoint))
}

func TestViewNeverGoesBack(t *testing.T) {
	log := newFakeLog()
	mustAppend(t, log, markRecord("zlin", record.MarkLeaving, 0))
	v := New()
	assert.NilError(t, readOnce(t, v, log))
	earlier, _, err := v.Snapshot()
	assert.NilError(t, err)
	mustAppend(t, log, markRecord("zlin", record.MarkActive, 1))
	assert.NilError(t, readOnce(t, v, log))
	assert.NilError(t, v.Restore(earlier))
	assert.Equal(t, v.Applied(), logservice.Offset(2))
	assert.Equal(t, zoneMark(v, "zlin").State, record.MarkActive)
	assert.Assert(t, v.Restore([]byte(`{"table":`)) != nil)
}
