package follow

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeSource is a topic of which the first records may have been deleted.
type fakeSource struct {
	records []Record
	first   uint64
	// hidden is the number of last records that reads of the newest ones do not show yet,
	// although they count them.
	hidden int
}

func (s *fakeSource) append(key, value string) {
	s.records = append(s.records, Record{Key: key, Value: []byte(value), Offset: uint64(len(s.records))})
}

func (s *fakeSource) Since(_ context.Context, offset uint64, _ time.Duration) (Batch, error) {
	if offset < s.first {
		return Batch{}, ErrCompacted
	}
	return Batch{Records: append([]Record(nil), s.records[offset:]...), End: uint64(len(s.records))}, nil
}

func (s *fakeSource) Newest(context.Context) (Batch, error) {
	newest := make(map[string]Record)
	for _, record := range s.records[:len(s.records)-s.hidden] {
		newest[record.Key] = record
	}
	batch := Batch{End: uint64(len(s.records))}
	for _, record := range newest {
		if len(record.Value) > 0 {
			batch.Records = append(batch.Records, record)
		}
	}
	return batch, nil
}

// copyOf applies reads as a follower's user does.
type copyOf map[string]string

func (c copyOf) read(t *testing.T, f *Follower) {
	t.Helper()
	change, err := f.Read(context.Background(), 0)
	assert.NilError(t, err)
	if change.Whole {
		clear(c)
	}
	for _, record := range change.Records {
		if len(record.Value) == 0 {
			delete(c, record.Key)
			continue
		}
		c[record.Key] = string(record.Value)
	}
}

func TestFollowerSeesChangesAndRemovals(t *testing.T) {
	source := &fakeSource{}
	source.append("a", "1")
	f, seen := New(source), copyOf{}
	seen.read(t, f)
	source.append("b", "1")
	source.append("b", "2")
	source.append("a", "")
	seen.read(t, f)
	assert.DeepEqual(t, seen, copyOf{"b": "2"})
}

// TestRecordBeingWrittenIsNotMissed replays what happened when a host read the newest
// records while a configuration was written: the end counted it, the records did not have it.
func TestRecordBeingWrittenIsNotMissed(t *testing.T) {
	source := &fakeSource{}
	source.append("config", "9")
	source.append("config", "12")
	source.hidden = 1
	f, seen := New(source), copyOf{}
	seen.read(t, f)
	source.hidden = 0
	seen.read(t, f)
	assert.DeepEqual(t, seen, copyOf{"config": "12"})
}

func TestDeletedRecordsAreReadAnew(t *testing.T) {
	source := &fakeSource{}
	source.append("a", "1")
	f, seen := New(source), copyOf{}
	seen.read(t, f)
	source.append("a", "2")
	source.append("b", "1")
	source.append("b", "")
	source.first = 4
	// The newest records end at 1, below what is retained.
	for range 3 {
		seen.read(t, f)
	}
	source.append("c", "1")
	seen.read(t, f)
	assert.DeepEqual(t, seen, copyOf{"a": "2", "c": "1"})
}
