package view

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Observer is called for each applied record with the decision on it. It runs under
// the view's lock.
type Observer func(r record.Record, decision Decision)

// CatchUp applies the log's records to the view up to the log's current end. If the
// log has trimmed the records that come next, it continues from the newest
// checkpoint; the observer is not called for records that the checkpoint covers.
func CatchUp(ctx context.Context, view *View, log logservice.Log, observer Observer) error {
	for {
		reply, err := log.Read(ctx, view.Applied()+1, readBatch, 0)
		if errors.Is(err, logservice.ErrTrimmed) {
			err = NewFollower(view, log, nil).restoreCheckpoint(ctx, reply.First)
			if err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		view.applyObserved(reply.Entries, observer)
		if len(reply.Entries) == 0 || view.Applied()+1 >= reply.Next {
			return nil
		}
	}
}

// applyObserved applies entries and calls the observer with the decision on each.
func (v *View) applyObserved(entries []logservice.Entry, observer Observer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, entry := range entries {
		if entry.Offset <= v.table.Applied() {
			continue
		}
		r, err := record.Decode(entry.Data)
		if err != nil {
			v.malformed++
			v.table.Skip(entry.Offset)
			continue
		}
		decision := v.applyRecord(entry.Offset, r)
		v.results.add(r, decision)
		observer(r, decision)
	}
	v.notify()
}
