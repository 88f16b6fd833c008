// Package view holds a host's folded state of the log, follows the log and
// appends records to it.
//
// A View is safe for concurrent use. Its functions that take a callback run it
// under the view's lock: the callback must be short and must not call the view.
package view

import (
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// Verdict is the fold's decision on a record, with its offset.
type Verdict struct {
	Offset   logservice.Offset
	Accepted bool
	Reason   string
}

// View is the settings and the table of ownership at one offset of the log.
type View struct {
	mu         sync.RWMutex
	settings   *settings.State
	table      *ownership.Table
	checkpoint logservice.Offset
	changed    chan struct{}
	waiting    map[record.ID]chan Verdict
	results    results
	malformed  uint64
	// confirmedAt is when the log or a peer last confirmed the applied offset.
	confirmedAt time.Time
}

// New returns an empty view at offset zero.
func New() *View {
	return &View{
		settings: settings.NewState(),
		table:    ownership.NewTable(),
		changed:  make(chan struct{}),
		waiting:  make(map[record.ID]chan Verdict),
	}
}

// Read runs f with the settings and the table. It must not keep or change them.
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

// Malformed returns the number of records that could not be decoded.
func (v *View) Malformed() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.malformed
}

// LastCheckpoint returns the offset that the newest checkpoint seen covers.
func (v *View) LastCheckpoint() logservice.Offset {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.checkpoint
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// ConfirmedAt returns when the log last confirmed that the view is current.
func (v *View) ConfirmedAt() time.Time {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.confirmedAt
}

// confirm notes that the log had nothing newer at the given time.
func (v *View) confirm(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmedAt = now
}

// apply folds entries in offset order. Entries at or below the applied offset are passed over.
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

func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *View) applyEntry(entry logservice.Entry) {
	r, err := record.Decode(entry.Data)
	if err != nil {
		v.malformed++
		v.table.Skip(entry.Offset)
		return
	}
	verdict := v.applyRecord(entry.Offset, r)
	v.results.add(r, verdict)
	if waiter, ok := v.waiting[r.ID]; ok {
		delete(v.waiting, r.ID)
		waiter <- verdict
	}
}

func (v *View) applyRecord(offset logservice.Offset, r record.Record) Verdict {
	switch r.Kind {
	case record.KindSettings:
		v.table.Skip(offset)
		decision := v.settings.Apply(offset, *r.Settings)
		return Verdict{Offset: offset, Accepted: decision.Accepted(), Reason: decision.Reason()}
	case record.KindCheckpoint:
		v.table.Skip(offset)
		v.checkpoint = max(v.checkpoint, r.Checkpoint.Offset)
		return Verdict{Offset: offset, Accepted: true}
	}
	decision := v.table.Apply(offset, r)
	return Verdict{Offset: offset, Accepted: decision.Accepted, Reason: decision.Reason}
}

// expect returns a channel that receives the verdict on the record with the
// ID when the view reads it from the log. cancel must be called when done.
func (v *View) expect(id record.ID) (verdicts <-chan Verdict, cancel func()) {
	waiter := make(chan Verdict, 1)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.waiting[id] = waiter
	return waiter, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.waiting, id)
	}
}
