package planner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// testTable is an ownership table to which a test applies the plans of the service.
type testTable struct {
	t       *testing.T
	table   *ownership.Table
	service settings.Service
	next    logservice.Offset
}

// newTestTable returns a table with an open session for each server, by zone.
func newTestTable(t *testing.T, zones map[string][]string) *testTable {
	tt := &testTable{t: t, table: ownership.NewTable(), next: 1}
	tt.service = settings.Service{Name: "revize", Values: settings.Defaults()}
	tt.service.Values.Keyed = true
	tt.service.Values.Slices = 32
	for _, name := range []string{"brno-sever", "brno-jih"} {
		tt.service.Zones = append(tt.service.Zones, settings.Zone{Name: name, Servers: zones[name]})
		for _, addr := range zones[name] {
			tt.open(name, addr, 0)
		}
	}
	return tt
}

// apply applies a record that must be accepted and returns its offset.
func (tt *testTable) apply(r record.Record) logservice.Offset {
	tt.t.Helper()
	r.ID = record.NewID()
	offset := tt.next
	decision := tt.table.Apply(offset, r)
	assert.Assert(tt.t, decision.Accepted, "%s: %s", r.Kind, decision.Reason)
	tt.next++
	return offset
}

func (tt *testTable) open(zone, addr string, previous record.SessionID) record.SessionID {
	return tt.apply(record.Record{Kind: record.KindOpen, Open: &record.Open{
		Service: "revize", Zone: zone, Addr: addr, Incarnation: addr, Previous: previous,
		Lessors: []record.Lessor{{Host: "h1", Incarnation: "i"}},
	}})
}

// applyPlans applies plans and completes their moves until no change is needed. It
// returns the number of moves.
func (tt *testTable) applyPlans() (moves int) {
	tt.t.Helper()
	for range 100 {
		plan, ok := PlanSlices(tt.service, tt.table)
		if !ok {
			return moves
		}
		tt.apply(record.Record{Kind: record.KindPlan, Plan: &plan})
		moved := tt.moving()
		assert.Assert(tt.t, len(moved) <= MaxConcurrentMoves)
		moves += len(moved)
		if len(moved) > 0 {
			tt.apply(record.Record{Kind: record.KindMoved, Moved: &record.Moved{Moves: moved}})
		}
	}
	tt.t.Fatal("the planner still wants changes after 100 plans")
	return 0
}

// moving returns the moves under way.
func (tt *testTable) moving() (moved []record.SliceMove) {
	for number := range tt.service.Values.Slices {
		slice := tt.table.Slice(ownership.SliceKey{Service: "revize", Slice: number})
		if slice.Moving {
			moved = append(moved, record.SliceMove{Service: "revize", Slice: number, To: slice.Successor, Epoch: slice.NextEpoch})
		}
	}
	return moved
}

// owners returns the number of slices of each server, by address.
func (tt *testTable) owners() map[string]int {
	owned := make(map[string]int)
	for _, session := range tt.table.OpenSessions() {
		owned[session.Addr] = len(tt.table.OwnedSlices(session.ID))
	}
	return owned
}

func TestEverySliceGetsAnOwnerAndASuccessor(t *testing.T) {
	tt := newTestTable(t, map[string][]string{"brno-sever": {"a", "b"}, "brno-jih": {"c", "d"}})
	tt.applyPlans()
	assert.DeepEqual(t, tt.owners(), map[string]int{"a": 8, "b": 8, "c": 8, "d": 8})
	for number := range 32 {
		slice := tt.table.Slice(ownership.SliceKey{Service: "revize", Slice: number})
		owner, successor := tt.table.Session(slice.Owner), tt.table.Session(slice.Successor)
		assert.Assert(t, successor != nil && owner.ID != successor.ID)
		assert.Equal(t, owner.Zone, successor.Zone)
	}
}

func TestLeavingZoneIsDrainedAndRefilledWithoutFurtherMoves(t *testing.T) {
	tt := newTestTable(t, map[string][]string{"brno-sever": {"a", "b"}, "brno-jih": {"c", "d"}})
	tt.applyPlans()
	leaving := tt.apply(record.Record{Kind: record.KindMark, Mark: &record.Mark{
		Subject: record.SubjectZone, Name: "brno-jih", State: record.MarkLeaving,
	}})
	assert.Equal(t, tt.applyPlans(), 16)
	assert.DeepEqual(t, tt.owners(), map[string]int{"a": 16, "b": 16, "c": 0, "d": 0})
	tt.apply(record.Record{Kind: record.KindMark, Mark: &record.Mark{
		Subject: record.SubjectZone, Name: "brno-jih", State: record.MarkActive, Base: leaving,
	}})
	assert.Equal(t, tt.applyPlans(), 16)
	assert.DeepEqual(t, tt.owners(), map[string]int{"a": 8, "b": 8, "c": 8, "d": 8})
}

func TestServerRemovedFromSettingsIsDrained(t *testing.T) {
	tt := newTestTable(t, map[string][]string{"brno-sever": {"a", "b"}, "brno-jih": {"c", "d"}})
	tt.applyPlans()
	tt.service.Zones[0].Servers = []string{"a"}
	assert.Equal(t, tt.applyPlans(), 8)
	assert.Equal(t, tt.owners()["b"], 0)
}

func TestMoveToClosedSessionGetsAnotherSuccessor(t *testing.T) {
	tt := newTestTable(t, map[string][]string{"brno-sever": {"a", "b"}, "brno-jih": {"c", "d"}})
	tt.applyPlans()
	tt.service.Zones[0].Servers = []string{"a"}
	plan, _ := PlanSlices(tt.service, tt.table)
	tt.apply(record.Record{Kind: record.KindPlan, Plan: &plan})
	target := tt.moving()[0].To
	tt.apply(record.Record{Kind: record.KindClose, Close: &record.Close{Session: target, Reason: "test"}})
	tt.applyPlans()
	assert.Equal(t, tt.owners()["b"], 0)
	assert.Equal(t, len(tt.moving()), 0)
}

// liveHosts returns one live host for each of the zones.
func liveHosts(zones ...string) []members.Host {
	var hosts []members.Host
	for i, zone := range zones {
		var host members.Host
		host.Name = fmt.Sprintf("h%d", i+1)
		host.Zone = zone
		host.Incarnation = "i"
		hosts = append(hosts, host)
	}
	return hosts
}

func TestChooseLessorsPrefersTheServersZone(t *testing.T) {
	for _, test := range []struct {
		name     string
		zones    []string
		sameZone int
		total    int
	}{
		{"three hosts in the zone", []string{"z", "z", "z", "y", "y"}, 3, 3},
		{"two hosts in the zone and one of another", []string{"z", "z", "y", "y"}, 2, 3},
		{"a single host in the zone is the only lessor", []string{"z", "y", "y"}, 1, 1},
		{"no host in the zone", []string{"y", "y", "x"}, 0, 3},
		{"no host at all", nil, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			live := liveHosts(test.zones...)
			chosen := ChooseLessors("10.0.0.1:1", "z", live, nil)
			sameZone := 0
			for _, host := range live {
				if host.Zone == "z" && containsHost(chosen, host.Name) {
					sameZone++
				}
			}
			assert.Equal(t, len(chosen), test.total)
			assert.Equal(t, sameZone, test.sameZone)
		})
	}
}

func TestLessorsAreReplacedOneAtATime(t *testing.T) {
	live := liveHosts("z", "z", "z", "z")
	session := &ownership.Session{ID: 1, Addr: "10.0.0.1:1", Zone: "z", Version: 7}
	session.Lessors = ChooseLessors(session.Addr, "z", live, nil)
	_, needed := ReplaceLessors(session, live)
	assert.Assert(t, !needed)

	lost := session.Lessors[0]
	var remaining []members.Host
	for _, host := range live {
		if host.Name != lost.Host {
			remaining = append(remaining, host)
		}
	}
	change, needed := ReplaceLessors(session, remaining)
	assert.Assert(t, needed)
	assert.Equal(t, change.Base, logservice.Offset(7))
	assert.Equal(t, len(change.Lessors), 3)
	assert.DeepEqual(t, change.Lessors[1:], session.Lessors[1:])

	_, needed = ReplaceLessors(session, liveHosts("y", "y", "y")[:0])
	assert.Assert(t, !needed, "without a quorum nobody can seal the replacement")

	_, needed = ReplaceLessors(session, remaining[:2])
	assert.Assert(t, !needed, "a lost lessor without a substitute stays")
}

func TestSessionWithoutAQuorumOfLessorsIsRecovered(t *testing.T) {
	tt := newTestTable(t, map[string][]string{"brno-sever": {"a", "b"}})
	tt.applyPlans()
	session := tt.table.OpenSessions()[0]
	_, needed := PlanRecovery(session, tt.table, liveHosts("z"))
	assert.Assert(t, !needed)
	recovery, needed := PlanRecovery(session, tt.table, nil)
	assert.Assert(t, needed)
	assert.Equal(t, len(recovery.Successors), 1)
	assert.Equal(t, len(recovery.Successors[0].Slices), 16)
}
