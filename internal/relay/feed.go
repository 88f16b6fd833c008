package relay

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/follow"
)

const (
	// maxFeedRecords and maxFeedBytes bound what a relay keeps of a topic. Hosts that are
	// further behind read for themselves.
	maxFeedRecords = 4096
	maxFeedBytes   = 512 << 10
)

// feed holds the last records of a topic that this host has read itself. The relay's lock guards it.
type feed struct {
	// newFilter makes keep, which reports whether other hosts need a record.
	newFilter func() Filter
	keep      Filter
	started   bool
	// Records from first to end were read; those that are needed are kept.
	first, end uint64
	records    []kept
	bytes      int
	// confirmed is when the last read that was answered began.
	confirmed time.Duration
	// interrupted says that a read has failed since, so that the next records may be as old as that.
	interrupted bool
	changed     chan struct{}
}

// kept is a record and when it came.
type kept struct {
	follow.Record
	arrived time.Duration
}

func newFeed(newFilter func() Filter) *feed {
	return &feed{newFilter: newFilter, changed: make(chan struct{})}
}

// add takes the records that a read from an offset on brought.
func (f *feed) add(offset uint64, batch follow.Batch, began, now time.Duration) {
	arrived := now
	if f.interrupted {
		arrived = f.confirmed
	}
	if !f.started {
		f.restart(offset)
	}
	for _, record := range batch.Records {
		if f.keep(record) {
			f.records = append(f.records, kept{Record: record, arrived: arrived})
			f.bytes += size(record)
		}
	}
	f.end = batch.End
	f.confirmed = began
	f.interrupted = false
	f.trim()
	f.wake()
}

// wake ends the waits for a change.
func (f *feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// align prepares for a read from an offset on and reports whether it goes on where the last one ended.
func (f *feed) align(offset uint64) bool {
	if f.started && offset == f.end {
		return true
	}
	f.stop()
	return false
}

// stop ends what can be told until the next read is answered.
func (f *feed) stop() {
	if !f.started {
		return
	}
	f.started = false
	f.interrupted = true
	f.wake()
}

// restart begins anew at an offset.
func (f *feed) restart(offset uint64) {
	f.started = true
	f.keep = f.newFilter()
	f.first = offset
	f.records = nil
	f.bytes = 0
}

// trim drops the oldest records beyond the bounds, but never the last one.
func (f *feed) trim() {
	for len(f.records) > 1 && (len(f.records) > maxFeedRecords || f.bytes > maxFeedBytes) {
		f.first = f.records[0].Offset + 1
		f.bytes -= size(f.records[0].Record)
		f.records = f.records[1:]
	}
}

func size(record follow.Record) int {
	return len(record.Key) + len(record.Value)
}

// covers reports whether all records from the offset on are known.
func (f *feed) covers(offset uint64) bool {
	return f.started && offset >= f.first
}

// since returns the records from an offset on.
func (f *feed) since(offset uint64, now time.Duration) Reply {
	if offset > f.end {
		return Reply{Outcome: Behind}
	}
	reply := Reply{Outcome: Told, End: f.end, Age: follow.Age{Relayed: true, Confirmed: now - f.confirmed}}
	for _, record := range f.records {
		if record.Offset < offset {
			continue
		}
		if len(reply.Records) == 0 {
			reply.Age.Arrived = now - record.arrived
		}
		reply.Records = append(reply.Records, record.Record)
	}
	return reply
}
