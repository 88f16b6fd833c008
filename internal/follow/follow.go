// Package follow reads a topic of keyed records so that its caller can keep a copy of the newest
// record of each key. Package edge follows the topics of servers, operator records and plans with
// it; package relay and package platform provide the sources.
//
// A Follower starts with a snapshot (the newest record of each key) and then reads the records
// after the last one that it has seen. If those have been deleted by compaction (ErrCompacted), or
// the log has been restored from an older copy of itself (ErrRestored), it reads a snapshot again,
// and the caller has to replace its copy. Other errors leave the position unchanged; the caller
// retries.
//
// A restored log has lost its newest records and gives their offsets out again. So an offset
// identifies a record only within one era of the log, and positions in a topic are compared by
// era first.
package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted reports that records from the requested offset on have been deleted.
var ErrCompacted = errors.New("follow: records from the offset on have been deleted by compaction")

// ErrRestored reports that the log has been restored from an older copy since the era of the
// requested position.
var ErrRestored = errors.New("follow: the log has been restored from an older copy")

// Era counts the restores of the log. Eras rise; UnknownEra is below all others.
type Era uint64

// UnknownEra is the era of a log that does not tell its era.
const UnknownEra Era = 0

// Number returns the number of restores that the era stands for, zero if it is unknown.
func (e Era) Number() uint64 {
	return uint64(max(e, 1)) - 1
}

// Position is a position in a topic.
type Position struct {
	Era    Era
	Offset uint64
}

// offsetBits is the number of bits of an ordinal that hold the offset.
const offsetBits = 32

// Ordinal returns a number that orders positions of all eras. It holds offsets below 2^32.
func (p Position) Ordinal() uint64 {
	return p.Era.Number()<<offsetBits | p.Offset
}

// Record is a value of a key. An empty value means that the key has been removed.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Batch is the result of one read.
type Batch struct {
	Records []Record
	// Era is the era in which the topic was read, and End the offset after the last record.
	Era Era
	End uint64
	Age Age
}

// Age says how old the information in a batch was when the read was answered. It is zero if the
// platform itself was read.
type Age struct {
	// Relayed is set if the batch comes from the cache of another host.
	Relayed bool
	// Arrived is how long before its answer the other host had received the first of the records.
	Arrived time.Duration
	// Confirmed is how long before its answer the topic is known to have had no further records.
	Confirmed time.Duration
	// Waited is how long the other host held the query before it answered. Builds up to 88eb5c1 do not send it.
	Waited time.Duration
}

// Source is a topic of keyed records.
type Source interface {
	// Since returns the records from the position on. If there are none, it waits for one for up to
	// the given time and may return an empty batch. The error is ErrCompacted if records from the
	// offset on have been deleted, and ErrRestored if the log is in a later era than the position.
	// A position of an unknown era can be in any.
	Since(ctx context.Context, from Position, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key, and the end of the topic.
	Newest(ctx context.Context) (Batch, error)
}

// Change is the result of one read of a Follower.
type Change struct {
	// Records holds the changed records. Each key appears once; an empty value means that the key
	// has been removed.
	Records []Record
	// Snapshot is set if Records is the complete content of the topic: all other keys are removed.
	Snapshot bool
	// Restored is set if the log has been restored from an older copy since the last read. The
	// caller may have seen newer records than the snapshot holds.
	Restored bool
	Age      Age
}

// Follower follows one topic. It must be used by one goroutine only.
type Follower struct {
	source Source
	next   Position
	// synced is set if next is valid, so that the next read needs no snapshot.
	synced bool
	// snapshotEnd is the end of the topic as reported with the last snapshot, in the era of next.
	snapshotEnd uint64
}

// New returns a Follower whose first read is a snapshot.
func New(source Source) *Follower {
	return &Follower{source: source}
}

// Next returns the position at which the next read begins.
func (f *Follower) Next() Position {
	return f.next
}

// Read returns the changes since the last read. If there are none, it waits for one for up to the
// given time. It blocks only in calls of the source.
func (f *Follower) Read(ctx context.Context, wait time.Duration) (Change, error) {
	if !f.synced {
		return f.readSnapshot(ctx)
	}
	batch, err := f.source.Since(ctx, f.next, wait)
	if errors.IsAny(err, ErrCompacted, ErrRestored) {
		f.synced = false
		return f.readSnapshot(ctx)
	}
	if err != nil {
		return Change{}, err
	}
	f.next = Position{batch.Era, batch.End}
	return Change{Records: newestPerKey(batch.Records), Age: batch.Age}, nil
}

// readSnapshot reads a snapshot and sets the offset of the next read.
func (f *Follower) readSnapshot(ctx context.Context) (Change, error) {
	batch, err := f.source.Newest(ctx)
	if err != nil {
		return Change{}, err
	}
	if batch.Era != UnknownEra && batch.Era < f.next.Era {
		return Change{}, errors.Newf("follow: a snapshot of era %d, after era %d", batch.Era.Number(), f.next.Era.Number())
	}
	// An unknown era says nothing about a restore.
	restored := f.next.Era != UnknownEra && batch.Era > f.next.Era
	if restored {
		f.snapshotEnd = 0
	}
	f.next = Position{max(batch.Era, f.next.Era), max(offsetAfterLast(batch), min(f.snapshotEnd, batch.End))}
	f.snapshotEnd = batch.End
	f.synced = true
	return Change{Records: batch.Records, Snapshot: true, Restored: restored}, nil
}

// offsetAfterLast returns the offset after the last record of a snapshot. The reported end of the topic
// is not used, because it may already count a record that is still being written and is missing
// in the snapshot. If the records between this offset and the end have been deleted, the next
// read fails with ErrCompacted; the snapshot that follows contains them, and reading then
// continues at the end that was reported with the previous snapshot.
func offsetAfterLast(batch Batch) uint64 {
	next := uint64(0)
	for _, record := range batch.Records {
		next = max(next, record.Offset+1)
	}
	return next
}

// newestPerKey returns the last record of each key, in order. It reuses the slice.
func newestPerKey(records []Record) []Record {
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
