package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// fill folds records that must be accepted and returns the last one's offset.
func fill(t *testing.T, table *ownership.Table, records ...record.Record) record.SessionID {
	t.Helper()
	for _, r := range records {
		verdict := table.Apply(table.Applied()+1, r)
		assert.Assert(t, verdict.Accepted, verdict.Reason)
	}
	return table.Applied()
}

func openAt(addr string) record.Record {
	return record.Record{Kind: record.KindOpen, Open: &record.Open{
		Service: "revize", Zone: "zlin", Addr: addr, Incarnation: "1",
		Lessors: []record.Lessor{{Host: "h0", Incarnation: "1"}},
	}}
}

func succeedBy(table *ownership.Table, owner, successor record.SessionID) record.Record {
	base := table.Slice(ownership.SliceKey{Service: "revize"}).Version
	change := record.SlicePlan{Base: base, Owner: owner, Successor: successor}
	return record.Record{Kind: record.KindPlan, Plan: &record.Plan{Service: "revize", Slices: []record.SlicePlan{change}}}
}

// TestRecoveryAsksSuccessorsThatTheLogHasReplaced covers lessors that are cut off
// from the log: they may close the session under a version before the last one.
func TestRecoveryAsksSuccessorsThatTheLogHasReplaced(t *testing.T) {
	table := ownership.NewTable()
	owner := fill(t, table, openAt("10.0.0.1:80"))
	first := fill(t, table, openAt("10.0.0.2:80"))
	second := fill(t, table, openAt("10.0.0.3:80"))
	fill(t, table, succeedBy(table, owner, first))
	fill(t, table, succeedBy(table, 0, second))

	recovery, needed := ToRecover(table.Session(owner), table, nil)
	assert.Assert(t, needed)
	var asked []record.SessionID
	for _, succession := range recovery.Successors {
		asked = append(asked, succession.Session.ID)
	}
	assert.DeepEqual(t, asked, []record.SessionID{first, second})
}
