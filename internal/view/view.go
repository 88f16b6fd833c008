// Package view holds the state that results from applying the log's records: the
// settings tree and the table of sessions, slices and marks.
//
// A host has one View. A Follower reads the log and applies its records to the
// view; a Writer appends records and waits until the view has decided on them;
// the other parts of the host only read the view. While the log is unavailable the
// view stays at its offset, and ConfirmedAt tells how old it may be. If the log has
// trimmed the records that come next, the view is restored from a checkpoint.
//
// A View is safe for concurrent use. Functions that take a callback run it under
// the view's lock: the callback must be short and must not call the view.
package view

import (
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// Decision is the result of applying the record at an offset. Reason says why the
// record was rejected; it is empty for an accepted one.
type Decision struct {
	Offset   logservice.Offset
	Accepted bool
	Reason   string
}

// View is the settings and the ownership table at one offset of the log.
type View struct {
	mu         sync.RWMutex
	settings   *settings.State
	table      *ownership.Table
	checkpoint logservice.Offset           // offset that the newest checkpoint covers
	changed    chan struct{}               // closed and replaced at every change
	waiters    map[record.ID]chan Decision // of writers that wait for the decision on a record
	results    results
	malformed  uint64 // records that could not be decoded
	// confirmedAt is returned by ConfirmedAt.
	confirmedAt time.Time
}

// New returns the view before any record was applied, at offset zero.
func New() *View {
	return &View{
		settings: settings.NewState(),
		table:    ownership.NewTable(),
		changed:  make(chan struct{}),
		waiters:  make(map[record.ID]chan Decision),
	}
}

// Read runs f with the settings and the table. f must neither change them nor keep
// references to them.
func (v *View) Read(f func(state *settings.State, table *ownership.Table)) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	f(v.settings, v.table)
}

// Applied returns the offset of the last record applied.
func (v *View) Applied() logservice.Offset {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.table.Applied()
}

// Malformed returns the number of records that were skipped because they could not
// be decoded.
func (v *View) Malformed() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.malformed
}

// LastCheckpoint returns the offset up to which the newest checkpoint read so far
// covers the log, zero if there is none.
func (v *View) LastCheckpoint() logservice.Offset {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.checkpoint
}

// Changed returns a channel that is closed at the next change of the view. To miss no
// change, get the channel before reading the view.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// ConfirmedAt returns when the latest read that the log answered began, the zero time
// if there is none. Unless that read returned a full batch of records, the view
// contains every record that the log held at that time.
func (v *View) ConfirmedAt() time.Time {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.confirmedAt
}

// confirm records that the view has applied the answer to a read of the log that began
// at the given time.
func (v *View) confirm(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmedAt = now
}

// apply applies entries, which are in offset order. Entries at or below the applied
// offset are skipped.
func (v *View) apply(entries []logservice.Entry) {
	if len(entries) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, entry := range entries {
		if entry.Offset > v.table.Applied() {
			v.applyEntry(entry)
		}
	}
	v.notify()
}

// notify wakes everyone who waits for a change. The lock must be held.
func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// applyEntry applies one entry and passes the decision to a waiting writer. An entry
// that cannot be decoded is counted and skipped.
func (v *View) applyEntry(entry logservice.Entry) {
	r, err := record.Decode(entry.Data)
	if err != nil {
		v.malformed++
		v.table.Skip(entry.Offset)
		return
	}
	decision := v.applyRecord(entry.Offset, r)
	v.results.add(r, decision)
	if waiter, ok := v.waiters[r.ID]; ok {
		delete(v.waiters, r.ID)
		waiter <- decision
	}
}

// applyRecord applies one record to the settings or to the table. The table's offset
// advances with every record, whatever its kind.
func (v *View) applyRecord(offset logservice.Offset, r record.Record) Decision {
	switch r.Kind {
	case record.KindSettings:
		v.table.Skip(offset)
		decision := v.settings.Apply(offset, *r.Settings)
		return Decision{Offset: offset, Accepted: decision.Accepted(), Reason: decision.Reason()}
	case record.KindCheckpoint:
		v.table.Skip(offset)
		v.checkpoint = max(v.checkpoint, r.Checkpoint.Offset)
		return Decision{Offset: offset, Accepted: true}
	}
	decision := v.table.Apply(offset, r)
	return Decision{Offset: offset, Accepted: decision.Accepted, Reason: decision.Reason}
}

// awaitDecision returns a channel that receives the decision on the record with the
// ID once the view has applied it. The caller must call cancel when done.
func (v *View) awaitDecision(id record.ID) (decisions <-chan Decision, cancel func()) {
	waiter := make(chan Decision, 1)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.waiters[id] = waiter
	return waiter, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.waiters, id)
	}
}
