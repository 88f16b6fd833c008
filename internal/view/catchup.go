package view

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Observer is told of each record that is folded, with its verdict.
type Observer func(r record.Record, verdict Verdict)

// CatchUp folds the log into the view up to its present end. Where the log has
// trimmed what comes next, it goes on from the newest checkpoint; the observer
// is not told of the records that the checkpoint covers.
func CatchUp(ctx context.Context, view *View, log logservice.Log, observer Observer) error {
	for {
		reply, err := log.Read(ctx, view.Applied()+1, readBatch, 0)
		if errors.Is(err, logservice.ErrTrimmed) {
			err = NewFollower(view, log, nil).recover(ctx, reply.First)
			if err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		view.observe(reply.Entries, observer)
		if len(reply.Entries) == 0 || view.Applied()+1 >= reply.Next {
			return nil
		}
	}
}

// observe folds entries and tells the observer of each one's verdict.
func (v *View) observe(entries []logservice.Entry, observer Observer) {
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
		verdict := v.applyRecord(entry.Offset, r)
		v.results.add(r, verdict)
		observer(r, verdict)
	}
	v.notify()
}
