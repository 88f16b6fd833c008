package ownership

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// scriptedTable is a table that a test fills record by record.
type scriptedTable struct {
	*Table
	t *testing.T
}

// add folds a record that must be accepted and returns its offset.
func (s scriptedTable) add(r record.Record) logservice.Offset {
	s.t.Helper()
	offset := s.Applied() + 1
	verdict := s.Apply(offset, r)
	assert.Assert(s.t, verdict.Accepted, verdict.Reason)
	return offset
}

// open opens a session in a zone.
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

// plan changes slice 0.
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

func (s scriptedTable) loseZone(zone string) {
	s.t.Helper()
	s.add(record.Record{Kind: record.KindMark, Mark: &record.Mark{
		Subject: record.SubjectZone, Name: zone, State: record.MarkLost,
	}})
}

// TestLostZoneLeavesSlicesToSuccessorsOutside covers a closing that the lessors of the
// zone had finished before it was lost, while the log was down: the successor
// in another zone serves the slice.
func TestLostZoneLeavesSlicesToSuccessorsOutside(t *testing.T) {
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

func TestCloseUnderAnEpochThatNoRecordNamedIsRefused(t *testing.T) {
	table := scriptedTable{NewTable(), t}
	owner := table.open("zlin", "10.0.0.1:80")
	successor := table.open("zlin", "10.0.0.2:80")
	table.plan(owner, successor)
	verdict := table.Apply(table.Applied()+1, record.Record{Kind: record.KindClose, Close: &record.Close{
		Session: owner,
		Moves:   []record.SliceMove{{Service: testService, To: successor, Epoch: 1000}},
	}})
	assert.Assert(t, !verdict.Accepted)
}

// TestCloseOnTheServersWordIsRefusedAfterANewerPlan covers a recovery that asked the
// successors of one version while the log has named another since: lessors that
// are alive after all may have activated that one.
func TestCloseOnTheServersWordIsRefusedAfterANewerPlan(t *testing.T) {
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
