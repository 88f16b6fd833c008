package view

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// ErrUnresolved reports an append of which it is not known whether it took effect.
var ErrUnresolved = errors.New("view: the log did not show whether the record was appended")

// Writer appends records and waits until the view shows their verdict.
type Writer struct {
	view   *View
	log    logservice.Log
	author string
}

// NewWriter returns a writer that signs its records with the author's name.
func NewWriter(view *View, log logservice.Log, author string) *Writer {
	return &Writer{view: view, log: log, author: author}
}

// Append appends the record and returns its verdict once the view has read it.
// A lost answer is resolved by reading: the append is not repeated. Where the
// context ends first, the error is marked ErrUnresolved.
func (w *Writer) Append(ctx context.Context, r record.Record) (Verdict, error) {
	if r.ID == "" {
		r.ID = record.NewID()
	}
	r.Author = w.author
	r.TimeMS = time.Now().UnixMilli()
	data, err := record.Encode(r)
	if err != nil {
		return Verdict{}, err
	}
	verdicts, cancel := w.view.expect(r.ID)
	defer cancel()
	if _, err := w.log.Append(ctx, data); err != nil && ctx.Err() != nil {
		return Verdict{}, errors.Mark(err, ErrUnresolved)
	}
	select {
	case verdict := <-verdicts:
		return verdict, nil
	case <-ctx.Done():
		return Verdict{}, errors.Mark(ctx.Err(), ErrUnresolved)
	}
}

// Checkpoint appends the view's state, for hosts that start after the log has trimmed older records.
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
