package edge

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/leader"
)

// restoredPlatform appends every record at offset 4 of an era.
type restoredPlatform struct {
	fakePlatform
	era follow.Era
}

func (p restoredPlatform) AppendState(_ context.Context, _ string, _ []byte, at *uint64) (follow.Position, error) {
	if *at != 4 {
		return follow.Position{}, ErrConflict
	}
	return follow.Position{Era: p.era, Offset: 4}, nil
}

// TestPlanWrittenAcrossARestoreIsAConflict checks that a leader that has not learned of a restore does
// not act by the plan that it writes, although the restored log happens to end at the expected offset.
func TestPlanWrittenAcrossARestoreIsAConflict(t *testing.T) {
	s := newState(assign.Host{Name: "h1", Incarnation: "1"}, restoredPlatform{era: 2}, assign.NewCurrent(), clock.Monotonic, eventlog.Discard())
	s.next = follow.Position{Era: 1, Offset: 4}
	_, err := s.Write(t.Context(), assign.Plan{}, s.NextVersion())
	assert.Assert(t, errors.Is(err, leader.ErrConflict))
	s.next.Era = 2
	plan, err := s.Write(t.Context(), assign.Plan{}, s.NextVersion())
	assert.NilError(t, err)
	assert.Equal(t, plan.Version, assign.FenceAt(1, 4))
	assert.Equal(t, s.next, follow.Position{Era: 2, Offset: 5})
}
