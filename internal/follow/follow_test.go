package follow

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeSource is a topic in memory.
type fakeSource struct {
	records []Record
	// first is the first retained offset; the records before it count as deleted.
	first uint64
	// hidden is the number of records at the end that Newest does not return yet, although its
	// end of the topic counts them.
	hidden int
	era    Era
}

func (s *fakeSource) append(key, value string) {
	s.records = append(s.records, Record{Key: key, Value: []byte(value), Offset: uint64(len(s.records))})
}

func (s *fakeSource) Since(_ context.Context, from Position, _ time.Duration) (Batch, error) {
	if from.Era != UnknownEra && from.Era < s.era {
		return Batch{}, ErrRestored
	}
	if from.Offset < s.first || from.Offset > uint64(len(s.records)) {
		return Batch{}, ErrCompacted
	}
	return Batch{Records: append([]Record(nil), s.records[from.Offset:]...), Era: s.era, End: uint64(len(s.records))}, nil
}

// restore drops the records from the offset on and raises the era.
func (s *fakeSource) restore(offset uint64) {
	s.records = s.records[:offset]
	s.era++
}

func (s *fakeSource) Newest(context.Context) (Batch, error) {
	newest := make(map[string]Record)
	for _, record := range s.records[:len(s.records)-s.hidden] {
		newest[record.Key] = record
	}
	batch := Batch{Era: s.era, End: uint64(len(s.records))}
	for _, record := range newest {
		if len(record.Value) > 0 {
			batch.Records = append(batch.Records, record)
		}
	}
	return batch, nil
}

// topicCopy is a copy of a topic, kept as a user of Follower keeps it.
type topicCopy map[string]string

func (c topicCopy) read(t *testing.T, f *Follower) {
	t.Helper()
	change, err := f.Read(context.Background(), 0)
	assert.NilError(t, err)
	if change.Snapshot {
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
	f, seen := New(source), topicCopy{}
	seen.read(t, f)
	source.append("b", "1")
	source.append("b", "2")
	source.append("a", "")
	seen.read(t, f)
	assert.DeepEqual(t, seen, topicCopy{"b": "2"})
}

// TestRecordBeingWrittenIsNotMissed is a regression test: a host read a snapshot while a
// configuration was being written. The reported end of the topic counted the record, but the
// snapshot did not contain it, so a read from that end missed it.
func TestRecordBeingWrittenIsNotMissed(t *testing.T) {
	source := &fakeSource{}
	source.append("config", "9")
	source.append("config", "12")
	source.hidden = 1
	f, seen := New(source), topicCopy{}
	seen.read(t, f)
	source.hidden = 0
	seen.read(t, f)
	assert.DeepEqual(t, seen, topicCopy{"config": "12"})
}

// TestCompactionLeadsToNewSnapshot checks that a follower recovers if the records after its offset
// have been deleted, also if the newest remaining record lies before the first retained offset.
func TestCompactionLeadsToNewSnapshot(t *testing.T) {
	source := &fakeSource{}
	source.append("a", "1")
	f, seen := New(source), topicCopy{}
	seen.read(t, f)
	source.append("a", "2")
	source.append("b", "1")
	source.append("b", "")
	source.first = 4
	// The last record of the snapshot has offset 1, below the first retained offset.
	for range 3 {
		seen.read(t, f)
	}
	source.append("c", "1")
	seen.read(t, f)
	assert.DeepEqual(t, seen, topicCopy{"a": "2", "c": "1"})
}

// TestRestoredLogIsReadFromASnapshot is a regression test (CONFIG on grown Riga): after a restore,
// records were written again below the offset that a follower had reached.
func TestRestoredLogIsReadFromASnapshot(t *testing.T) {
	source := &fakeSource{era: 1}
	source.append("config", "2")
	source.append("zone", "1")
	f, seen := New(source), topicCopy{}
	seen.read(t, f)
	source.restore(1)
	source.append("config", "5")
	source.append("zone", "1")
	change, err := f.Read(context.Background(), 0)
	assert.NilError(t, err)
	assert.Assert(t, change.Snapshot && change.Restored)
	assert.Equal(t, len(change.Records), 2)
	assert.Equal(t, f.Next(), Position{Era: 2, Offset: 3})
}

// TestSnapshotAfterARestoreSkipsNoRecord checks that the end of a snapshot from before a restore is
// not used: the snapshot after it may lack a record that is still being written.
func TestSnapshotAfterARestoreSkipsNoRecord(t *testing.T) {
	source := &fakeSource{era: 1}
	for _, value := range []string{"1", "2", "3"} {
		source.append("config", value)
	}
	f, seen := New(source), topicCopy{}
	seen.read(t, f)
	source.restore(1)
	source.append("config", "4")
	source.hidden = 1
	seen.read(t, f)
	source.hidden = 0
	seen.read(t, f)
	assert.DeepEqual(t, seen, topicCopy{"config": "4"})
}

// TestUnknownEraIsNoRestore checks that answers without an era change nothing.
func TestUnknownEraIsNoRestore(t *testing.T) {
	source := &fakeSource{}
	source.append("config", "1")
	f := New(source)
	_, err := f.Read(context.Background(), 0)
	assert.NilError(t, err)
	source.era = 3
	source.append("config", "2")
	change, err := f.Read(context.Background(), 0)
	assert.NilError(t, err)
	assert.Assert(t, !change.Snapshot && !change.Restored)
	assert.Equal(t, f.Next(), Position{Era: 3, Offset: 2})
}
