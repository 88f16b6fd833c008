package publish

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/view"
)

// memoryLog is an in-memory log with injected faults.
type memoryLog struct {
	entries []logservice.Entry
	faults  []fault // of the next appends, in order
	down    bool    // every call returns ErrUnavailable
}

// fault is the fault injected into one append.
type fault int

const (
	none       fault = iota
	lostBefore       // the request is lost: the append has no effect
	lostAfter        // the answer is lost: the append takes effect
)

func (l *memoryLog) Append(_ context.Context, data []byte) (logservice.Offset, error) {
	if l.down {
		return 0, logservice.ErrUnavailable
	}
	injected := none
	if len(l.faults) > 0 {
		injected, l.faults = l.faults[0], l.faults[1:]
	}
	if injected == lostBefore {
		return 0, logservice.ErrUnavailable
	}
	offset := logservice.Offset(len(l.entries) + 1)
	l.entries = append(l.entries, logservice.Entry{Offset: offset, Data: data})
	if injected == lostAfter {
		return 0, logservice.ErrUnavailable
	}
	return offset, nil
}

func (l *memoryLog) Read(_ context.Context, from logservice.Offset, max int, _ time.Duration) (logservice.ReadReply, error) {
	if l.down {
		return logservice.ReadReply{}, logservice.ErrUnavailable
	}
	reply := logservice.ReadReply{First: 1, Next: logservice.Offset(len(l.entries) + 1)}
	for _, entry := range l.entries {
		if entry.Offset >= from && len(reply.Entries) < max {
			reply.Entries = append(reply.Entries, entry)
		}
	}
	return reply, nil
}

func open(t *testing.T, log logservice.Log) *Publisher {
	t.Helper()
	p, err := Open(context.Background(), log, "op", time.Now)
	assert.NilError(t, err)
	return p
}

// change returns a settings record that sets a value at the root.
func change(id record.ID, base logservice.Offset) record.Record {
	return record.Record{ID: id, Kind: record.KindSettings, Settings: &record.Settings{
		Nodes: []record.SettingsNode{{Path: settings.Root, Base: base, TOML: "slots = 3\n"}},
	}}
}

func publish(t *testing.T, p *Publisher, r record.Record) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	result, err := p.Publish(ctx, r)
	assert.NilError(t, err)
	return result
}

func TestLostAnswersAreResolvedByReading(t *testing.T) {
	for name, faults := range map[string][]fault{
		"none":                  {none},
		"lost before":           {lostBefore},
		"lost after":            {lostAfter},
		"before, after":         {lostBefore, lostAfter},
		"before, before":        {lostBefore, lostBefore},
		"before, before, after": {lostBefore, lostBefore, lostAfter},
	} {
		t.Run(name, func(t *testing.T) {
			log := &memoryLog{faults: faults}
			result := publish(t, open(t, log), change("a", 0))
			assert.Equal(t, result.Status, Accepted)
			assert.Equal(t, int(result.Offset), 1)
			assert.Equal(t, len(log.entries), 1)
		})
	}
}

func TestOfTwoPublishersOnOneBaseOneIsRejected(t *testing.T) {
	log := &memoryLog{}
	first, second := open(t, log), open(t, log)
	assert.Equal(t, publish(t, first, change("a", 0)).Status, Accepted)
	result := publish(t, second, change("b", 0))
	assert.Equal(t, result.Status, Refused)
	assert.Equal(t, result.Reason, "defaults: based on version 0, but has version 1")
}

func TestARepeatedIDIsNotAppendedAgain(t *testing.T) {
	log := &memoryLog{}
	publish(t, open(t, log), change("a", 0))
	result := publish(t, open(t, log), change("a", 1))
	assert.Equal(t, result.Status, Accepted)
	assert.Equal(t, len(log.entries), 1)
}

func TestTheFirstOfEqualRecordsDecidesTheResult(t *testing.T) {
	log := &memoryLog{}
	p := open(t, log)
	other := open(t, log)
	publish(t, p, change("a", 0))
	data, err := record.Encode(change("a", 0))
	assert.NilError(t, err)
	_, err = log.Append(context.Background(), data)
	assert.NilError(t, err)
	assert.Equal(t, publish(t, other, change("a", 0)).Status, Accepted)
	assert.Equal(t, int(p.View().Applied()), 1)
}

func TestResultIsUnknownWhileTheLogIsDown(t *testing.T) {
	log := &memoryLog{}
	p := open(t, log)
	log.down = true
	result := publish(t, p, change("a", 0))
	assert.Equal(t, result.Status, Unknown)
	assert.Equal(t, result.ID, record.ID("a"))
	_, err := Open(context.Background(), log, "op", time.Now)
	assert.Assert(t, errors.Is(err, logservice.ErrUnavailable))
}

func TestAFollowedViewShowsTheResult(t *testing.T) {
	log := &lockedLog{}
	followed := view.New()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		view.NewFollower(followed, log, func(bool) {}).Run(ctx)
	}()
	p := NewWithView(followed, log, "h1", time.Now)
	for base, id := range []record.ID{"a", "b", "c"} {
		r := change(id, logservice.Offset(base))
		r.Author = "anna"
		assert.Equal(t, publish(t, p, r).Status, Accepted)
	}
	cancel()
	<-done
	assert.Equal(t, len(log.log.entries), 3)
	stored, err := record.Decode(log.log.entries[0].Data)
	assert.NilError(t, err)
	assert.Equal(t, stored.Author, "anna")
}

// lockedLog is a memoryLog that is safe for concurrent use. Its reads take up to a
// millisecond, so that a follower does not spin.
type lockedLog struct {
	mu  sync.Mutex
	log memoryLog
}

func (l *lockedLog) Append(ctx context.Context, data []byte) (logservice.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Append(ctx, data)
}

func (l *lockedLog) Read(ctx context.Context, from logservice.Offset, max int, wait time.Duration) (logservice.ReadReply, error) {
	time.Sleep(min(wait, time.Millisecond))
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Read(ctx, from, max, wait)
}
