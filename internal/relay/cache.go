package relay

import (
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/content"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

const (
	// maxCachedRecords and maxCachedBytes bound the cached records of a topic. Hosts that are further
	// behind read from the platform.
	maxCachedRecords = 4096
	maxCachedBytes   = 512 << 10
)

// topicCache caches the last records of a topic that this host has read from the platform: the last one of
// each key, without gaps otherwise. The relay's lock guards it.
type topicCache struct {
	// newFilter creates keep, which reports whether other hosts need a record.
	newFilter func() Filter
	keep      Filter
	// valid is set while the cache can answer reads.
	valid bool
	// The cache covers the offsets of one era from first to end, without end. records holds those
	// of their records that keep selects and that no later one replaces, and bytes is their total size.
	era        follow.Era
	first, end uint64
	records    []cachedRecord
	bytes      int
	// confirmedAt is when the last successful read began: at that time the topic held nothing beyond end.
	confirmedAt time.Duration
	// readFailed is set if a read has failed since confirmedAt. The next records may then have
	// been written at any time since confirmedAt.
	readFailed bool
	// changed is closed and replaced whenever the cache changes.
	changed chan struct{}
}

// cachedRecord is a record with the time from which it may have been in the topic.
type cachedRecord struct {
	follow.Record
	forms
	arrived time.Duration
}

// forms are the forms in which a value goes to other hosts. manifest describes a large value, and is nil otherwise.
// compressed is nil if the value is not worth compressing.
type forms struct {
	manifest   *content.Manifest
	compressed []byte
}

func newTopicCache(newFilter func() Filter) *topicCache {
	return &topicCache{newFilter: newFilter, changed: make(chan struct{})}
}

// add adds the result of a read from an offset of the batch's era. The read began at began; now is
// the present time.
// described holds the forms of values by the index of their records.
func (c *topicCache) add(offset uint64, batch follow.Batch, described map[int]forms, began, now time.Duration) {
	arrived := now
	if c.readFailed {
		arrived = c.confirmedAt
	}
	if !c.valid || c.era != batch.Era {
		c.reset(batch.Era, offset)
	}
	for i, record := range batch.Records {
		if c.keep(record) {
			c.drop(record.Key)
			c.records = append(c.records, cachedRecord{Record: record, arrived: arrived, forms: described[i]})
			c.bytes += c.records[len(c.records)-1].size()
		}
	}
	c.end = batch.End
	c.confirmedAt = began
	c.readFailed = false
	c.trim()
	c.notify()
}

// drop drops the record of a key, which a later one replaces. Followers need only the last record of each key.
func (c *topicCache) drop(key string) {
	for i := len(c.records) - 1; i >= 0; i-- {
		if c.records[i].Key == key {
			c.bytes -= c.records[i].size()
			c.records = slices.Delete(c.records, i, i+1)
			return
		}
	}
}

// notify wakes all readers that wait for a change.
func (c *topicCache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// prepareRead prepares for a read from a position and reports whether that read continues where the
// last one ended. Otherwise the cache cannot answer until the read has been answered.
func (c *topicCache) prepareRead(from follow.Position) bool {
	if c.valid && from == (follow.Position{Era: c.era, Offset: c.end}) {
		return true
	}
	c.invalidate()
	return false
}

// invalidate invalidates the cache until the next read from the platform is answered.
func (c *topicCache) invalidate() {
	if !c.valid {
		return
	}
	c.valid = false
	c.readFailed = true
	c.notify()
}

// reset empties the cache and begins at an offset of an era. It also creates a new filter, whose
// state must not depend on records before the gap.
func (c *topicCache) reset(era follow.Era, offset uint64) {
	c.valid = true
	c.era = era
	c.keep = c.newFilter()
	c.first = offset
	c.records = nil
	c.bytes = 0
}

// trim drops the oldest records until the cache is within its bounds, but never the last record.
func (c *topicCache) trim() {
	for len(c.records) > 1 && (len(c.records) > maxCachedRecords || c.bytes > maxCachedBytes) {
		c.first = c.records[0].Offset + 1
		c.bytes -= c.records[0].size()
		c.records = c.records[1:]
	}
}

// size returns the size of a record in bytes, as counted for maxCachedBytes. A value with a manifest does not count: there is one
// for each key, and package content holds it anyway.
func (r cachedRecord) size() int {
	if r.manifest != nil {
		return len(r.Key) + len(r.compressed)
	}
	return len(r.Key) + len(r.Value) + len(r.compressed)
}

// has reports whether the cache has all records from the position on that other hosts need. It has
// none of another era: a host that is behind or ahead in eras has to find out from the platform.
func (c *topicCache) has(from follow.Position) bool {
	return c.valid && from.Era == c.era && from.Offset >= c.first
}

// recordsSince returns the cached records from the offset of a query on, in the forms that the query allows. The outcome is
// Behind if the cache does not reach the offset.
func (c *topicCache) recordsSince(ask Ask, now time.Duration) Reply {
	offset := ask.From.Offset
	if offset > c.end {
		return Reply{Outcome: Behind}
	}
	reply := Reply{Outcome: Answered, End: c.end, Age: follow.Age{Relayed: true, Confirmed: now - c.confirmedAt}}
	for _, record := range c.records {
		if record.Offset < offset {
			continue
		}
		if len(reply.Records) == 0 {
			reply.Age.Arrived = now - record.arrived
		}
		switch {
		case ask.Compressed && record.compressed != nil:
			reply.Compressed = append(reply.Compressed, len(reply.Records))
			record.Value = record.compressed
		case ask.References && record.manifest != nil:
			reply.References = append(reply.References, Reference{Record: len(reply.Records), Manifest: *record.manifest})
			record.Value = nil
		}
		reply.Records = append(reply.Records, record.Record)
	}
	return reply
}
