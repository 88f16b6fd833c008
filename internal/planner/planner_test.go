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

// world is a table that plans are applied to.
type world struct {
	t       *testing.T
	table   *ownership.Table
	service settings.Service
	next    logservice.Offset
}

func newWorld(t *testing.T, zones map[string][]string) *world {
	w := &world{t: t, table: ownership.NewTable(), next: 1}
	w.service = settings.Service{Name: "revize", Values: settings.Defaults()}
	w.service.Values.Keyed = true
	w.service.Values.Slices = 32
	for _, name := range []string{"brno-sever", "brno-jih"} {
		w.service.Zones = append(w.service.Zones, settings.Zone{Name: name, Servers: zones[name]})
		for _, addr := range zones[name] {
			w.open(name, addr, 0)
		}
	}
	return w
}

func (w *world) apply(r record.Record) logservice.Offset {
	w.t.Helper()
	r.ID = record.NewID()
	offset := w.next
	verdict := w.table.Apply(offset, r)
	assert.Assert(w.t, verdict.Accepted, "%s: %s", r.Kind, verdict.Reason)
	w.next++
	return offset
}

func (w *world) open(zone, addr string, previous record.SessionID) record.SessionID {
	return w.apply(record.Record{Kind: record.KindOpen, Open: &record.Open{
		Service: "revize", Zone: zone, Addr: addr, Incarnation: addr, Previous: previous,
		Lessors: []record.Lessor{{Host: "h1", Incarnation: "i"}},
	}})
}

// settle applies plans and finishes their moves until nothing is left to plan. It returns the number of moves.
func (w *world) settle() (moves int) {
	w.t.Helper()
	for range 100 {
		plan, ok := Slices(w.service, w.table)
		if !ok {
			return moves
		}
		w.apply(record.Record{Kind: record.KindPlan, Plan: &plan})
		moved := w.moving()
		assert.Assert(w.t, len(moved) <= MaxMoving)
		moves += len(moved)
		if len(moved) > 0 {
			w.apply(record.Record{Kind: record.KindMoved, Moved: &record.Moved{Moves: moved}})
		}
	}
	w.t.Fatal("the plan never ends")
	return 0
}

func (w *world) moving() (moved []record.SliceMove) {
	for number := range w.service.Values.Slices {
		slice := w.table.Slice(ownership.SliceKey{Service: "revize", Slice: number})
		if slice.Moving {
			moved = append(moved, record.SliceMove{Service: "revize", Slice: number, To: slice.Successor, Epoch: slice.NextEpoch})
		}
	}
	return moved
}

func (w *world) owners() map[string]int {
	owned := make(map[string]int)
	for _, session := range w.table.Sessions() {
		owned[session.Addr] = len(w.table.Owned(session.ID))
	}
	return owned
}

func TestEverySliceGetsAnOwnerAndASuccessor(t *testing.T) {
	w := newWorld(t, map[string][]string{"brno-sever": {"a", "b"}, "brno-jih": {"c", "d"}})
	w.settle()
	assert.DeepEqual(t, w.owners(), map[string]int{"a": 8, "b": 8, "c": 8, "d": 8})
	for number := range 32 {
		slice := w.table.Slice(ownership.SliceKey{Service: "revize", Slice: number})
		owner, successor := w.table.Session(slice.Owner), w.table.Session(slice.Successor)
		assert.Assert(t, successor != nil && owner.ID != successor.ID)
		assert.Equal(t, owner.Zone, successor.Zone)
	}
}

func TestLeavingZoneIsEmptiedAndFilledAgainWithoutFurtherMoves(t *testing.T) {
	w := newWorld(t, map[string][]string{"brno-sever": {"a", "b"}, "brno-jih": {"c", "d"}})
	w.settle()
	leaving := w.apply(record.Record{Kind: record.KindMark, Mark: &record.Mark{
		Subject: record.SubjectZone, Name: "brno-jih", State: record.MarkLeaving,
	}})
	assert.Equal(t, w.settle(), 16)
	assert.DeepEqual(t, w.owners(), map[string]int{"a": 16, "b": 16, "c": 0, "d": 0})
	w.apply(record.Record{Kind: record.KindMark, Mark: &record.Mark{
		Subject: record.SubjectZone, Name: "brno-jih", State: record.MarkActive, Base: leaving,
	}})
	assert.Equal(t, w.settle(), 16)
	assert.DeepEqual(t, w.owners(), map[string]int{"a": 8, "b": 8, "c": 8, "d": 8})
}

func TestServerRemovedFromTheSettingsIsEmptied(t *testing.T) {
	w := newWorld(t, map[string][]string{"brno-sever": {"a", "b"}, "brno-jih": {"c", "d"}})
	w.settle()
	w.service.Zones[0].Servers = []string{"a"}
	assert.Equal(t, w.settle(), 8)
	assert.Equal(t, w.owners()["b"], 0)
}

func TestMoveToAClosedSessionGetsAnotherSuccessor(t *testing.T) {
	w := newWorld(t, map[string][]string{"brno-sever": {"a", "b"}, "brno-jih": {"c", "d"}})
	w.settle()
	w.service.Zones[0].Servers = []string{"a"}
	plan, _ := Slices(w.service, w.table)
	w.apply(record.Record{Kind: record.KindPlan, Plan: &plan})
	target := w.moving()[0].To
	w.apply(record.Record{Kind: record.KindClose, Close: &record.Close{Session: target, Reason: "test"}})
	w.settle()
	assert.Equal(t, w.owners()["b"], 0)
	assert.Equal(t, len(w.moving()), 0)
}

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
		name  string
		zones []string
		near  int
		total int
	}{
		{"three hosts in the zone", []string{"z", "z", "z", "y", "y"}, 3, 3},
		{"two hosts in the zone take a third elsewhere", []string{"z", "z", "y", "y"}, 2, 3},
		{"a single host goes on alone", []string{"z", "y", "y"}, 1, 1},
		{"no host in the zone", []string{"y", "y", "x"}, 0, 3},
		{"no host at all", nil, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			live := liveHosts(test.zones...)
			chosen := ChooseLessors("10.0.0.1:1", "z", live, nil)
			near := 0
			for _, host := range live {
				if host.Zone == "z" && names(chosen, host.Name) {
					near++
				}
			}
			assert.Equal(t, len(chosen), test.total)
			assert.Equal(t, near, test.near)
		})
	}
}

func TestLessorsAreReplacedOneForOne(t *testing.T) {
	live := liveHosts("z", "z", "z", "z")
	session := &ownership.Session{ID: 1, Addr: "10.0.0.1:1", Zone: "z", Version: 7}
	session.Lessors = ChooseLessors(session.Addr, "z", live, nil)
	_, needed := ReplaceLessors(session, live)
	assert.Assert(t, !needed)

	lost := session.Lessors[0]
	var left []members.Host
	for _, host := range live {
		if host.Name != lost.Host {
			left = append(left, host)
		}
	}
	change, needed := ReplaceLessors(session, left)
	assert.Assert(t, needed)
	assert.Equal(t, change.Base, logservice.Offset(7))
	assert.Equal(t, len(change.Lessors), 3)
	assert.DeepEqual(t, change.Lessors[1:], session.Lessors[1:])

	_, needed = ReplaceLessors(session, liveHosts("y", "y", "y")[:0])
	assert.Assert(t, !needed, "nobody could seal the replacement")

	_, needed = ReplaceLessors(session, left[:2])
	assert.Assert(t, !needed, "a lessor without a substitute stays")
}

func TestSessionWithoutAQuorumOfLessorsIsRecovered(t *testing.T) {
	w := newWorld(t, map[string][]string{"brno-sever": {"a", "b"}})
	w.settle()
	session := w.table.Sessions()[0]
	_, needed := ToRecover(session, w.table, liveHosts("z"))
	assert.Assert(t, !needed)
	recovery, needed := ToRecover(session, w.table, nil)
	assert.Assert(t, needed)
	assert.Equal(t, len(recovery.Successors), 1)
	assert.Equal(t, len(recovery.Successors[0].Slices), 16)
}
