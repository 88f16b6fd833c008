package publish

import (
	"context"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/view"
)

// HistoryEntry is one operator's record with its verdict.
type HistoryEntry struct {
	Offset   logservice.Offset `json:"offset"`
	Record   record.Record     `json:"record"`
	Accepted bool              `json:"accepted"`
	Reason   string            `json:"reason,omitempty"`
}

// History returns the settings and marks records that the log still holds,
// after its newest checkpoint where its beginning was trimmed.
func History(ctx context.Context, log logservice.Log) ([]HistoryEntry, error) {
	var history []HistoryEntry
	err := view.CatchUp(ctx, view.New(), log, func(r record.Record, verdict view.Verdict) {
		if r.Kind != record.KindSettings && r.Kind != record.KindMark {
			return
		}
		history = append(history, HistoryEntry{
			Offset:   verdict.Offset,
			Record:   r,
			Accepted: verdict.Accepted,
			Reason:   verdict.Reason,
		})
	})
	return history, err
}
