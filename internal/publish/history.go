package publish

import (
	"context"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/view"
)

// HistoryEntry is one operator record with the decision on it. Reason says why it was
// rejected.
type HistoryEntry struct {
	Offset   logservice.Offset `json:"offset"`
	Record   record.Record     `json:"record"`
	Accepted bool              `json:"accepted"`
	Reason   string            `json:"reason,omitempty"`
}

// History returns the settings and mark records that the log still holds, in log order.
// If the beginning of the log has been trimmed, records that its newest checkpoint
// covers are left out, since it cannot be told whether they were accepted.
func History(ctx context.Context, log logservice.Log) ([]HistoryEntry, error) {
	var history []HistoryEntry
	err := view.CatchUp(ctx, view.New(), log, func(r record.Record, decision view.Decision) {
		if r.Kind != record.KindSettings && r.Kind != record.KindMark {
			return
		}
		history = append(history, HistoryEntry{
			Offset:   decision.Offset,
			Record:   r,
			Accepted: decision.Accepted,
			Reason:   decision.Reason,
		})
	})
	return history, err
}
