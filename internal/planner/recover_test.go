package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// applyAll applies records that must be accepted and returns the offset of the last
// one, which is the session's ID if the record opens a session.
func applyAll(t *testing.T, table *ownership.Table, records ...record.Record) record.SessionID {
	t.Helper()
	for _, r := range records {
		decision := table.Apply(table.Applied()+1, r)
		assert.Assert(t, decision.Accepted, decision.Reason)
	}
	return table.Applied()
}

// openRecord returns the record that opens a session for the server at addr.
func openRecord(addr string) record.Record {
	return record.Record{Kind: record.KindOpen, Open: &record.Open{
		Service: "revize", Zone: "zlin", Addr: addr, Incarnation: "1",
		Lessors: []record.Lessor{{Host: "h0", Incarnation: "1"}},
	}}
}

// planRecord returns the record that names the successor of slice 0 and, unless it
// is zero, assigns the owner.
func planRecord(table *ownership.Table, owner, successor record.SessionID) record.Record {
	base := table.Slice(ownership.SliceKey{Service: "revize"}).Version
	change := record.SlicePlan{Base: base, Owner: owner, Successor: successor}
	return record.Record{Kind: record.KindPlan, Plan: &record.Plan{Service: "revize", Slices: []record.SlicePlan{change}}}
}

// TestRecoveryIncludesReplacedSuccessors guards against a recovery that
// overlooks an owner. Lessors that are partitioned from the log may have closed the
// session at an older version and activated a successor that was replaced since.
func TestRecoveryIncludesReplacedSuccessors(t *testing.T) {
	table := ownership.NewTable()
	owner := applyAll(t, table, openRecord("10.0.0.1:80"))
	first := applyAll(t, table, openRecord("10.0.0.2:80"))
	second := applyAll(t, table, openRecord("10.0.0.3:80"))
	applyAll(t, table, planRecord(table, owner, first))
	applyAll(t, table, planRecord(table, 0, second))

	recovery, needed := PlanRecovery(table.Session(owner), table, nil)
	assert.Assert(t, needed)
	var asked []record.SessionID
	for _, candidate := range recovery.Successors {
		asked = append(asked, candidate.Session.ID)
	}
	assert.DeepEqual(t, asked, []record.SessionID{first, second})
}
