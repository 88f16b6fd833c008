// Package follow keeps a copy of the newest record of each key of a topic.
//
// A follower reads the records after the last one that it has seen. Where these
// have been deleted it reads the newest record of each key instead. It belongs to one
// goroutine; the source is the only place where it waits.
package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted reports that the records after an offset have been deleted.
var ErrCompacted = errors.New("follow: records have been deleted")

// Record is the value of a key; no value means that the key has been removed.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Batch holds the records from an offset on, and the offset after the last one.
type Batch struct {
	Records []Record
	End     uint64
	Age     Age
}

// Age says how old a batch was when it was read. It is zero where the topic itself was read.
type Age struct {
	// Relayed says that another host had read the topic.
	Relayed bool
	// Arrived is how long before its answer the other host had got the first of the records.
	Arrived time.Duration
	// Confirmed is how long before its answer the topic is known to have held nothing further.
	Confirmed time.Duration
}

// Source is a topic of keyed records.
type Source interface {
	// Since returns the records from the offset on. It waits for one for the given
	// time. The error is ErrCompacted where records in between are gone.
	Since(ctx context.Context, offset uint64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Batch, error)
}

// Change is what a read changed.
type Change struct {
	// Records holds the changed records in order, each key once; a key without a value is gone.
	Records []Record
	// Whole says that keys which are not among the records do not exist.
	Whole bool
	Age   Age
}

// Follower follows one topic.
type Follower struct {
	source Source
	next   uint64
	synced bool
	// end is the end of the topic at the last read of the newest records.
	end uint64
}

// New returns a follower that begins with the newest record of each key.
func New(source Source) *Follower {
	return &Follower{source: source}
}

// Next returns the offset after the last record that was seen.
func (f *Follower) Next() uint64 {
	return f.next
}

// Read returns what has changed since the last read, and waits for a change for the given time.
func (f *Follower) Read(ctx context.Context, wait time.Duration) (Change, error) {
	if !f.synced {
		return f.resync(ctx)
	}
	batch, err := f.source.Since(ctx, f.next, wait)
	if errors.Is(err, ErrCompacted) {
		f.synced = false
		return f.resync(ctx)
	}
	if err != nil {
		return Change{}, err
	}
	f.next = batch.End
	return Change{Records: newestOfEach(batch.Records), Age: batch.Age}, nil
}

func (f *Follower) resync(ctx context.Context) (Change, error) {
	batch, err := f.source.Newest(ctx)
	if err != nil {
		return Change{}, err
	}
	f.next = max(resumeAt(batch), min(f.end, batch.End))
	f.end = batch.End
	f.synced = true
	return Change{Records: batch.Records, Whole: true}, nil
}

// resumeAt is where to read on after the newest records. The end of the topic may
// count a record that is not among them yet, so it is not trusted: reading goes on after the last
// record that is. Where the records in between are gone, the next read of the newest
// ones contains them, and goes on at the end as it was before.
func resumeAt(batch Batch) uint64 {
	next := uint64(0)
	for _, record := range batch.Records {
		next = max(next, record.Offset+1)
	}
	return next
}

// newestOfEach keeps the last record of each key.
func newestOfEach(records []Record) []Record {
	last := make(map[string]int, len(records))
	for i, record := range records {
		last[record.Key] = i
	}
	kept := records[:0]
	for i, record := range records {
		if last[record.Key] == i {
			kept = append(kept, record)
		}
	}
	return kept
}
