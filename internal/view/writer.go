package view

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// ErrUnresolved marks the error for an append that may or may not have taken effect.
var ErrUnresolved = errors.New("view: the log did not show whether the record was appended")

// Writer appends records to the log and waits until the view has decided on them.
type Writer struct {
	view   *View
	log    logservice.Log
	author string
}

// NewWriter returns a writer that sets author as the author of its records.
func NewWriter(view *View, log logservice.Log, author string) *Writer {
	return &Writer{view: view, log: log, author: author}
}

// Append appends the record and returns the decision on it once the view has applied
// it. If the answer to the append is lost, Append does not retry but waits for the
// view to read the record. If the context ends first, the error is marked
// ErrUnresolved.
func (w *Writer) Append(ctx context.Context, r record.Record) (Decision, error) {
	if r.ID == "" {
		r.ID = record.NewID()
	}
	r.Author = w.author
	r.TimeMS = time.Now().UnixMilli()
	data, err := record.Encode(r)
	if err != nil {
		return Decision{}, err
	}
	decisions, cancel := w.view.awaitDecision(r.ID)
	defer cancel()
	if _, err := w.log.Append(ctx, data); err != nil && ctx.Err() != nil {
		return Decision{}, errors.Mark(err, ErrUnresolved)
	}
	select {
	case decision := <-decisions:
		return decision, nil
	case <-ctx.Done():
		return Decision{}, errors.Mark(ctx.Err(), ErrUnresolved)
	}
}

// Checkpoint appends the view's state as a checkpoint record, from which a host can
// start after the log has trimmed older records.
func (w *Writer) Checkpoint(ctx context.Context) error {
	state, offset, err := w.view.Snapshot()
	if err != nil {
		return err
	}
	_, err = w.Append(ctx, record.Record{
		Kind:       record.KindCheckpoint,
		Checkpoint: &record.Checkpoint{Offset: logservice.Offset(offset), State: state},
	})
	return err
}
