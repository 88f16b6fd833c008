package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFencesRiseAcrossEras(t *testing.T) {
	last, next := FenceAt(0, 4_000_000_000), FenceAt(1, 0)
	assert.Assert(t, next > last)
	assert.Equal(t, last.Offset(), uint64(4_000_000_000))
	assert.Equal(t, last.Era(), uint64(0))
	assert.Equal(t, next.Offset(), uint64(0))
	assert.Equal(t, next.Era(), uint64(1))
}

// TestPlanOfARestoredLogIsNotActedBy checks that a host does not take a plan from before a restore of
// the log for newer than its own, and that a host without one neither acts by it nor keeps it when it
// learns what others act by.
func TestPlanOfARestoredLogIsNotActedBy(t *testing.T) {
	c := NewCurrent()
	assert.Assert(t, c.AdoptFromLog(Plan{Version: FenceAt(0, 5)}, 0))
	c.Verify(time.Second, 0)
	assert.Assert(t, !c.AdoptFromLog(Plan{Version: FenceAt(0, 8)}, 1))
	c.Verify(2*time.Second, 1)
	assert.Equal(t, c.VerifiedAt(), time.Second)
	assert.Assert(t, c.AdoptFromLog(Plan{Version: FenceAt(1, 3)}, 1))
	c.Verify(3*time.Second, 1)
	assert.Equal(t, c.VerifiedAt(), 3*time.Second)

	fresh := NewCurrent()
	assert.Assert(t, fresh.AdoptFromLog(Plan{Version: FenceAt(0, 8)}, 1))
	assert.Equal(t, fresh.Plan().Version, FenceAt(0, 8))
	assert.Equal(t, fresh.ActedBy().Version, Fence(0))
	assert.Assert(t, fresh.Adopt(Plan{Version: FenceAt(0, 6)}))
	assert.Equal(t, fresh.ActedBy().Version, FenceAt(0, 6))
}

// TestOfficeKnowsTheTermOfALeader guards against a leader that takes the time in office of an earlier term for its present one,
// and against one that takes itself for the first leader of a log that had others.
func TestOfficeKnowsTheTermOfALeader(t *testing.T) {
	a, b := Host{Name: "a", Incarnation: "1"}, Host{Name: "b", Incarnation: "1"}
	c := NewCurrent()
	c.Adopt(Plan{Version: 5, Leader: a})
	c.Adopt(Plan{Version: 6, Leader: a})
	assert.Equal(t, c.Office().Term, Term{Since: 5, First: true})
	c.Adopt(Plan{Version: 7, Leader: b})
	assert.Equal(t, c.Office().Term, Term{Since: 7})
	c.Adopt(Plan{Version: 8, Leader: a})
	c.Verify(time.Second, 0)
	assert.Equal(t, c.Office().Term, Term{Since: 8})
	assert.Equal(t, c.Office().VerifiedAt, time.Second)
	a.Incarnation = "2"
	c.Adopt(Plan{Version: 9, Leader: a})
	assert.Equal(t, c.Office().Term, Term{Since: 9})

	copied := NewCurrent()
	copied.AdoptFromLog(Plan{Version: FenceAt(0, 8), Leader: a}, 1)
	assert.Equal(t, copied.Office().Plan.Version, Fence(0))
	copied.Adopt(Plan{Version: FenceAt(0, 9), Leader: a})
	assert.Equal(t, copied.Office().Term, Term{Since: FenceAt(0, 9)})
}
