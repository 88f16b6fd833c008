package view

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// Snapshot is the serialized form of a view at one offset, as stored in checkpoints.
type Snapshot struct {
	Table    ownership.Snapshot `json:"table"`
	Settings *settings.State    `json:"settings"`
}

// Snapshot returns the view as JSON, and the offset that it is at.
func (v *View) Snapshot() (data []byte, offset logservice.Offset, err error) {
	v.mu.RLock()
	snapshot := Snapshot{Table: v.table.Snapshot(), Settings: v.settings.Clone()}
	v.mu.RUnlock()
	data, err = json.Marshal(snapshot)
	return data, snapshot.Table.Applied, errors.Wrap(err, "view: encode snapshot")
}

// Restore replaces the view by a snapshot. A snapshot that is not ahead of the view is
// ignored without an error, so that a view never goes back to an earlier offset.
func (v *View) Restore(data []byte) error {
	var snapshot Snapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return errors.Wrap(err, "view: decode snapshot")
	}
	table, err := ownership.Restore(snapshot.Table)
	if err != nil {
		return err
	}
	if snapshot.Settings == nil {
		return errors.New("view: snapshot without settings")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if table.Applied() <= v.table.Applied() {
		return nil
	}
	v.table = table
	v.settings = snapshot.Settings
	v.checkpoint = max(v.checkpoint, table.Applied())
	v.notify()
	return nil
}
