package ownership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

const (
	testService  = "revize"
	otherService = "archiv"
	testSlices   = 4
	// recordsPerLog is the length of a random log, randomLogs the number of random
	// logs of each test.
	recordsPerLog = 120
	randomLogs    = 150
)

// logRecord is a record with its offset in the log.
type logRecord struct {
	offset logservice.Offset
	record record.Record
}

// generator generates random records for a table: valid ones, ones based on
// outdated versions, ones with invalid values, and duplicates.
type generator struct {
	rng     *rand.Rand
	table   *Table
	written []logRecord
}

// draw returns a random record: a duplicate of an earlier one or a new one.
func (g *generator) draw() record.Record {
	if len(g.written) > 0 && g.oneIn(8) {
		return sample(g, g.written).record
	}
	id := record.ID(fmt.Sprintf("r%d", len(g.written)))
	r := record.Record{ID: id, Author: "host"}
	kinds := []func(*record.Record){
		g.drawOpen, g.drawOpen, g.drawPlan, g.drawPlan, g.drawPlan, g.drawPlan,
		g.drawMoved, g.drawMoved, g.drawClose, g.drawLessors, g.drawSealed, g.drawMark,
	}
	sample(g, kinds)(&r)
	return r
}

func (g *generator) oneIn(n int) bool {
	return g.rng.IntN(n) == 0
}

// between returns a random number from low to high, both included.
func (g *generator) between(low, high int) int {
	return low + g.rng.IntN(high-low+1)
}

// sample returns a random one of the values.
func sample[T any](g *generator, values []T) T {
	return values[g.rng.IntN(len(values))]
}

// session returns the ID of a random session, most often an open one of the test
// service, sometimes a closed or nonexistent one.
func (g *generator) session() record.SessionID {
	if g.oneIn(20) {
		return record.SessionID(g.between(0, 1)) * 9999
	}
	var open, all []record.SessionID
	for _, s := range g.table.Snapshot().Sessions {
		all = append(all, s.ID)
		if !s.Closed && s.Service == testService {
			open = append(open, s.ID)
		}
	}
	if len(open) == 0 || g.oneIn(10) {
		return sample(g, append(all, 0))
	}
	return sample(g, open)
}

// base returns the given current version, or sometimes an outdated one.
func (g *generator) base(version logservice.Offset) logservice.Offset {
	if version > 0 && g.oneIn(8) {
		return version - 1
	}
	return version
}

func (g *generator) lessors() []record.Lessor {
	count := g.between(1, 3)
	if g.oneIn(20) {
		count = sample(g, []int{0, 4})
	}
	var lessors []record.Lessor
	for i := range count {
		incarnation := sample(g, []string{"1", "2"})
		lessors = append(lessors, record.Lessor{Host: fmt.Sprintf("h%d", i), Incarnation: incarnation})
	}
	return lessors
}

func (g *generator) drawOpen(r *record.Record) {
	addr := sample(g, []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"})
	r.Kind = record.KindOpen
	r.Open = &record.Open{
		Service:     g.service(),
		Zone:        sample(g, []string{"brno-sever", "zlin"}),
		Addr:        addr,
		Incarnation: "i" + string(r.ID),
		Lessors:     g.lessors(),
	}
	if latest := g.table.Latest(addr); latest != nil && !g.oneIn(8) {
		r.Open.Previous = latest.ID
	}
}

func (g *generator) service() string {
	if g.oneIn(10) {
		return sample(g, []string{otherService, ""})
	}
	return testService
}

func (g *generator) drawPlan(r *record.Record) {
	r.Kind = record.KindPlan
	r.Plan = &record.Plan{Service: testService}
	for _, slice := range g.rng.Perm(testSlices)[:g.between(1, 3)] {
		r.Plan.Slices = append(r.Plan.Slices, g.change(slice))
	}
	if g.oneIn(15) {
		r.Plan.Slices = append(r.Plan.Slices, g.change(g.between(-1, testSlices)))
	}
}

// change returns a random change of one slice.
func (g *generator) change(slice int) record.SlicePlan {
	key := SliceKey{testService, slice}
	change := record.SlicePlan{
		Slice:     slice,
		Base:      g.base(g.table.Slice(key).Version),
		Successor: g.session(),
	}
	switch {
	case !g.table.HasOwner(key) || g.oneIn(15):
		change.Owner = g.session()
	case g.oneIn(3):
		change.Move = true
	}
	return change
}

// moves returns moves of slices to their successors. Some have a wrong epoch or
// target, and some are listed twice.
func (g *generator) moves(keys []SliceKey) []record.SliceMove {
	var moves []record.SliceMove
	for _, key := range keys {
		slice := g.table.Slice(key)
		if slice.Successor == 0 || g.oneIn(4) {
			continue
		}
		move := record.SliceMove{Service: key.Service, Slice: key.Slice, To: slice.Successor, Epoch: slice.NextEpoch}
		if g.oneIn(8) {
			move.Epoch += record.Epoch(g.between(-3, 1000))
		}
		if g.oneIn(8) {
			move.To = g.session()
		}
		moves = append(moves, move)
		if g.oneIn(8) {
			moves = append(moves, move)
		}
	}
	return moves
}

func (g *generator) drawMoved(r *record.Record) {
	var keys []SliceKey
	for i := range testSlices {
		if key := (SliceKey{testService, i}); g.table.Slice(key).Moving {
			keys = append(keys, key)
		}
	}
	r.Kind = record.KindMoved
	r.Moved = &record.Moved{Moves: g.moves(keys)}
}

func (g *generator) drawClose(r *record.Record) {
	id := g.session()
	r.Kind = record.KindClose
	r.Close = &record.Close{Session: id, Reason: "test", Moves: g.moves(g.table.OwnedSlices(id))}
}

func (g *generator) drawLessors(r *record.Record) {
	id := g.session()
	r.Kind = record.KindLessors
	r.Lessors = &record.Lessors{Session: id, Lessors: g.lessors()}
	if session := g.table.Session(id); session != nil {
		r.Lessors.Base = g.base(session.Version)
	}
}

func (g *generator) drawSealed(r *record.Record) {
	id := g.session()
	r.Kind = record.KindSealed
	r.Sealed = &record.Sealed{Session: id}
	if session := g.table.Session(id); session != nil {
		r.Sealed.Version = g.base(session.LessorsSince)
	}
}

func (g *generator) drawMark(r *record.Record) {
	name := sample(g, []string{"zlin", "brno-sever", ""})
	states := []record.MarkState{record.MarkActive, record.MarkLeaving, record.MarkLeaving, "odd"}
	if g.oneIn(4) {
		states = []record.MarkState{record.MarkLost}
	}
	r.Kind = record.KindMark
	r.Mark = &record.Mark{
		Subject: record.SubjectZone,
		Name:    name,
		State:   sample(g, states),
		Base:    g.base(g.table.Mark(record.SubjectZone, name).Version),
	}
}

// applyRandomLog applies a random log to a new table and calls check after every
// record, with the state before it.
func applyRandomLog(seed uint64, check func(before Snapshot, r logRecord, decision Decision, table *Table)) {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 3)), table: NewTable()}
	offset := logservice.Offset(0)
	for range recordsPerLog {
		offset += logservice.Offset(g.between(1, 2))
		r := logRecord{offset, g.draw()}
		before := g.table.Snapshot()
		decision := g.table.Apply(r.offset, r.record)
		g.written = append(g.written, r)
		check(before, r, decision, g.table)
	}
}

// forEachRandomLog runs a test for each seed, as a subtest that the seed names, and
// stops at the first failure.
func forEachRandomLog(t *testing.T, test func(t *testing.T, seed uint64)) {
	for seed := range uint64(randomLogs) {
		if !t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { test(t, seed) }) {
			return
		}
	}
}

// restoredFromJSON returns the table restored from its own snapshot, which has been
// encoded as JSON and decoded again.
func restoredFromJSON(t *testing.T, table *Table) *Table {
	data, err := json.Marshal(table.Snapshot())
	assert.NilError(t, err)
	var snapshot Snapshot
	assert.NilError(t, json.Unmarshal(data, &snapshot))
	restored, err := Restore(snapshot)
	assert.NilError(t, err)
	return restored
}

func TestReplayFromSnapshotEqualsReplayFromStart(t *testing.T) {
	forEachRandomLog(t, func(t *testing.T, seed uint64) {
		follower := NewTable()
		applyRandomLog(seed, func(_ Snapshot, r logRecord, decision Decision, table *Table) {
			follower = restoredFromJSON(t, follower)
			assert.Equal(t, follower.Apply(r.offset, r.record), decision)
			assert.DeepEqual(t, follower.Snapshot(), table.Snapshot())
			assert.DeepEqual(t, follower.latestByAddr, table.latestByAddr)
			again := follower.Apply(r.offset, r.record)
			assert.Assert(t, !again.Accepted, "a record was accepted twice at the same offset")
			assert.DeepEqual(t, follower.Snapshot(), table.Snapshot())
		})
	})
}

func TestRejectedRecordChangesNothing(t *testing.T) {
	forEachRandomLog(t, func(t *testing.T, seed uint64) {
		applyRandomLog(seed, func(before Snapshot, r logRecord, decision Decision, table *Table) {
			assert.Equal(t, decision.Accepted, decision.Reason == "")
			if !decision.Accepted {
				before.Applied = r.offset
				assert.DeepEqual(t, before, table.Snapshot())
			}
		})
	})
}

func TestDuplicateOfAcceptedRecordIsRejected(t *testing.T) {
	forEachRandomLog(t, func(t *testing.T, seed uint64) {
		accepted := make(map[record.ID]bool)
		applyRandomLog(seed, func(_ Snapshot, r logRecord, decision Decision, _ *Table) {
			assert.Assert(t, !(decision.Accepted && accepted[r.record.ID]), "%+v", r.record)
			accepted[r.record.ID] = accepted[r.record.ID] || decision.Accepted
		})
	})
}

func TestEpochsIncrease(t *testing.T) {
	forEachRandomLog(t, func(t *testing.T, seed uint64) {
		applyRandomLog(seed, func(before Snapshot, r logRecord, _ Decision, table *Table) {
			for _, service := range table.Snapshot().Services {
				for number, slice := range service.Slices {
					former := sliceInSnapshot(before, service.Service, number)
					assert.Assert(t, slice.Epoch <= SuccessorEpoch(r.offset), "epoch %d at offset %d", slice.Epoch, r.offset)
					assert.Assert(t, slice.Epoch >= former.Epoch)
					changed := slice.Owner != former.Owner
					assert.Assert(t, !changed || slice.Epoch > former.Epoch, "the owner changed but the epoch stayed %d", slice.Epoch)
					assert.Assert(t, slice.Successor == 0 || slice.NextEpoch > slice.Epoch)
					assert.Assert(t, slice.Successor == 0 || slice.Successor != slice.Owner)
				}
			}
		})
	})
}

// TestOpenOwnerLosesSliceOnlyByMoveOrSessionEnd checks that a slice with an open owner
// gets another owner only by a planned move or by the end of the owner's session.
func TestOpenOwnerLosesSliceOnlyByMoveOrSessionEnd(t *testing.T) {
	forEachRandomLog(t, func(t *testing.T, seed uint64) {
		applyRandomLog(seed, func(before Snapshot, r logRecord, _ Decision, table *Table) {
			for number := range testSlices {
				former := sliceInSnapshot(before, testService, number)
				slice := table.Slice(SliceKey{testService, number})
				if former.Owner == slice.Owner || !wasOpen(before, former.Owner) {
					continue
				}
				switch r.record.Kind {
				case record.KindMoved:
					assert.Assert(t, former.Moving)
					assert.Equal(t, slice.Owner, former.Successor)
					assert.Equal(t, slice.Epoch, former.NextEpoch)
				case record.KindClose, record.KindMark:
					assert.Assert(t, !table.isOpen(former.Owner))
				default:
					t.Fatalf("slice %d: a record of kind %s changed the owner", number, r.record.Kind)
				}
			}
		})
	})
}

func TestIndexOfSlicesByOwnerMatchesSlices(t *testing.T) {
	forEachRandomLog(t, func(t *testing.T, seed uint64) {
		applyRandomLog(seed, func(before Snapshot, r logRecord, _ Decision, table *Table) {
			snapshot := table.Snapshot()
			for _, session := range snapshot.Sessions {
				var owned []SliceKey
				for _, service := range snapshot.Services {
					for number, slice := range service.Slices {
						if slice.Owner == session.ID {
							owned = append(owned, SliceKey{service.Service, number})
						}
					}
				}
				assert.Assert(t, slices.Equal(owned, table.OwnedSlices(session.ID)))
				checkSession(t, before, session, r.offset)
			}
		})
	})
}

// checkSession checks the invariants of one session after the record at the offset.
func checkSession(t *testing.T, before Snapshot, session Session, offset logservice.Offset) {
	assert.Assert(t, session.Version <= offset)
	assert.Assert(t, session.LessorsSince <= session.Version)
	assert.Assert(t, session.FormerSince < session.LessorsSince)
	assert.Equal(t, session.Sealed(), session.FormerSince == 0)
	for _, former := range before.Sessions {
		if former.ID == session.ID {
			assert.Assert(t, session.Version >= former.Version)
			assert.Assert(t, session.Closed || !former.Closed, "a closed session was reopened")
		}
	}
}

// TestSessionVersionChangesWithItsSlices checks that every change of a slice
// changes the version of its owner's session: lessors detect changes by it.
func TestSessionVersionChangesWithItsSlices(t *testing.T) {
	forEachRandomLog(t, func(t *testing.T, seed uint64) {
		applyRandomLog(seed, func(before Snapshot, r logRecord, _ Decision, table *Table) {
			for number := range testSlices {
				former := sliceInSnapshot(before, testService, number)
				slice := table.Slice(SliceKey{testService, number})
				if former == slice {
					continue
				}
				for _, id := range []record.SessionID{former.Owner, slice.Owner} {
					if session := table.Session(id); session != nil && !session.Closed {
						assert.Equal(t, session.Version, r.offset, "slice %d was changed by a record of kind %s", number, r.record.Kind)
					}
				}
			}
		})
	})
}

// TestPossibleSuccessorsIncludeEverySuccessorOfTheOwner checks that every open
// session that was ever the successor under the present owner is listed: lessors
// that lag behind the log may have activated any of them.
func TestPossibleSuccessorsIncludeEverySuccessorOfTheOwner(t *testing.T) {
	forEachRandomLog(t, func(t *testing.T, seed uint64) {
		named := make([]map[record.SessionID]record.Epoch, testSlices)
		applyRandomLog(seed, func(before Snapshot, _ logRecord, _ Decision, table *Table) {
			for number := range testSlices {
				key := SliceKey{testService, number}
				slice := table.Slice(key)
				if named[number] == nil || slice.Epoch != sliceInSnapshot(before, testService, number).Epoch {
					named[number] = make(map[record.SessionID]record.Epoch)
				}
				if slice.Successor != 0 {
					named[number][slice.Successor] = slice.NextEpoch
				}
				got := make(map[record.SessionID]record.Epoch)
				for _, candidate := range table.PossibleSuccessors(key) {
					got[candidate.Session] = candidate.Epoch
				}
				if table.HasOwner(key) {
					assert.DeepEqual(t, got, openOnly(table, named[number]))
				}
			}
		})
	})
}

// openOnly returns the entries of the open sessions.
func openOnly(table *Table, named map[record.SessionID]record.Epoch) map[record.SessionID]record.Epoch {
	open := make(map[record.SessionID]record.Epoch)
	for id, epoch := range named {
		if table.isOpen(id) {
			open[id] = epoch
		}
	}
	return open
}

func sliceInSnapshot(snapshot Snapshot, service string, number int) Slice {
	for _, s := range snapshot.Services {
		if s.Service == service && number < len(s.Slices) {
			return s.Slices[number]
		}
	}
	return Slice{}
}

func wasOpen(snapshot Snapshot, id record.SessionID) bool {
	return slices.ContainsFunc(snapshot.Sessions, func(s Session) bool { return s.ID == id && !s.Closed })
}

// TestRandomLogsContainAcceptedRecordsOfEachKind checks that the random logs
// contain enough accepted records of each kind. Otherwise the tests above would
// prove nothing.
func TestRandomLogsContainAcceptedRecordsOfEachKind(t *testing.T) {
	accepted := make(map[record.Kind]int)
	withMoves := 0
	for seed := range uint64(randomLogs) {
		applyRandomLog(seed, func(_ Snapshot, r logRecord, decision Decision, _ *Table) {
			if !decision.Accepted {
				return
			}
			accepted[r.record.Kind]++
			if r.record.Kind == record.KindClose && len(r.record.Close.Moves) > 0 {
				withMoves++
			}
		})
	}
	t.Log(accepted, withMoves)
	for _, kind := range []record.Kind{
		record.KindOpen, record.KindPlan, record.KindMoved, record.KindClose,
		record.KindLessors, record.KindSealed, record.KindMark,
	} {
		assert.Assert(t, accepted[kind] >= randomLogs/4, "accepted records of kind %s: %d", kind, accepted[kind])
	}
	assert.Assert(t, withMoves >= randomLogs/4, "accepted close records with moves: %d", withMoves)
}
