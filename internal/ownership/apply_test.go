package ownership

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// scriptedTable is a table to which a test applies one record after another.
type scriptedTable struct {
	*Table
	t *testing.T
}

// add applies a record that must be accepted and returns its offset.
func (s scriptedTable) add(r record.Record) logservice.Offset {
	s.t.Helper()
	offset := s.Applied() + 1
	decision := s.Apply(offset, r)
	assert.Assert(s.t, decision.Accepted, decision.Reason)
	return offset
}

// open opens a session for the server at addr in a zone.
func (s scriptedTable) open(zone, addr string) record.SessionID {
	s.t.Helper()
	return s.add(record.Record{Kind: record.KindOpen, Open: &record.Open{
		Service:     testService,
		Zone:        zone,
		Addr:        addr,
		Incarnation: "1",
		Lessors:     []record.Lessor{{Host: "h0", Incarnation: "1"}},
	}})
}

// plan assigns slice 0 to the owner, unless that is zero, and names its successor.
func (s scriptedTable) plan(owner, successor record.SessionID) {
	s.t.Helper()
	s.add(record.Record{Kind: record.KindPlan, Plan: &record.Plan{
		Service: testService,
		Slices: []record.SlicePlan{{
			Base:      s.Slice(SliceKey{testService, 0}).Version,
			Owner:     owner,
			Successor: successor,
		}},
	}})
}

// loseZone marks a zone as lost.
func (s scriptedTable) loseZone(zone string) {
	s.t.Helper()
	s.add(record.Record{Kind: record.KindMark, Mark: &record.Mark{
		Subject: record.SubjectZone, Name: zone, State: record.MarkLost,
	}})
}

// TestSlicesOfLostZonePassToSuccessorsInOtherZones guards against two owners of a
// slice. While the log was down, the lessors of a zone closed a session and
// activated its successor in another zone. Then the zone was lost, so the log never
// got the close record. Marking the zone lost must make the successor the owner.
func TestSlicesOfLostZonePassToSuccessorsInOtherZones(t *testing.T) {
	table := scriptedTable{NewTable(), t}
	owner := table.open("zlin", "10.0.0.1:80")
	successor := table.open("olomouc", "10.0.0.2:80")
	table.plan(owner, successor)
	epoch := table.Slice(SliceKey{testService, 0}).NextEpoch
	table.loseZone("zlin")
	slice := table.Slice(SliceKey{testService, 0})
	assert.Equal(t, slice.Owner, successor)
	assert.Equal(t, slice.Epoch, epoch)
}

func TestCloseWithUnassignedEpochIsRejected(t *testing.T) {
	table := scriptedTable{NewTable(), t}
	owner := table.open("zlin", "10.0.0.1:80")
	successor := table.open("zlin", "10.0.0.2:80")
	table.plan(owner, successor)
	decision := table.Apply(table.Applied()+1, record.Record{Kind: record.KindClose, Close: &record.Close{
		Session: owner,
		Moves:   []record.SliceMove{{Service: testService, To: successor, Epoch: 1000}},
	}})
	assert.Assert(t, !decision.Accepted)
}

// TestCloseConfirmedByServersIsRejectedAfterNewerPlan guards against a recovery that
// queried an outdated set of successors. After its queries a newer plan named
// another successor, and lessors that are alive after all may have activated that one.
func TestCloseConfirmedByServersIsRejectedAfterNewerPlan(t *testing.T) {
	table := scriptedTable{NewTable(), t}
	owner := table.open("zlin", "10.0.0.1:80")
	first := table.open("zlin", "10.0.0.2:80")
	second := table.open("zlin", "10.0.0.3:80")
	table.plan(owner, first)
	base := table.Session(owner).Version
	table.plan(0, second)
	closed := record.Record{Kind: record.KindClose, Close: &record.Close{Session: owner, Base: base}}
	assert.Assert(t, !table.Apply(table.Applied()+1, closed).Accepted)

	closed.Close.Base = table.Session(owner).Version
	table.add(closed)
}
