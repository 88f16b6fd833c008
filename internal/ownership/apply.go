package ownership

import (
	"fmt"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// maxLessors is the largest number of lessors of a session.
const maxLessors = 3

// Verdict is the fold's decision on a record. Reason is empty for an accepted one.
type Verdict struct {
	Accepted bool
	Reason   string
}

func accepted() Verdict {
	return Verdict{Accepted: true}
}

func refused(format string, args ...any) Verdict {
	return Verdict{Reason: fmt.Sprintf(format, args...)}
}

// OwnerEpoch is the epoch of an owner that the record at the offset assigns.
func OwnerEpoch(offset logservice.Offset) record.Epoch {
	return record.Epoch(2 * offset)
}

// SuccessorEpoch is the epoch of a successor that the record at the offset names.
func SuccessorEpoch(offset logservice.Offset) record.Epoch {
	return record.Epoch(2*offset + 1)
}

// Apply folds the record at the offset. Offsets must increase; a record at or
// below the applied offset is refused and changes nothing. A refused record
// changes only the applied offset.
func (t *Table) Apply(offset logservice.Offset, r record.Record) Verdict {
	if offset <= t.applied {
		return refused("offset %d is already applied", offset)
	}
	t.applied = offset
	switch r.Kind {
	case record.KindMark:
		return t.applyMark(offset, *r.Mark)
	case record.KindOpen:
		return t.applyOpen(offset, *r.Open)
	case record.KindClose:
		return t.applyClose(offset, *r.Close)
	case record.KindPlan:
		return t.applyPlan(offset, *r.Plan)
	case record.KindMoved:
		return t.applyMoved(offset, *r.Moved)
	case record.KindLessors:
		return t.applyLessors(offset, *r.Lessors)
	case record.KindSealed:
		return t.applySealed(*r.Sealed)
	}
	return refused("kind %q does not concern ownership", r.Kind)
}

// Skip notes that the record at the offset does not concern ownership.
func (t *Table) Skip(offset logservice.Offset) {
	t.applied = max(t.applied, offset)
}

func (t *Table) applyMark(offset logservice.Offset, m record.Mark) Verdict {
	if m.Name == "" {
		return refused("mark without a name")
	}
	switch m.Subject {
	case record.SubjectZone, record.SubjectHost, record.SubjectServer:
	default:
		return refused("unknown subject %q", m.Subject)
	}
	switch m.State {
	case record.MarkActive, record.MarkLeaving, record.MarkLost:
	default:
		return refused("unknown state %q", m.State)
	}
	current := t.Mark(m.Subject, m.Name)
	if current.Version != m.Base {
		return refused("the mark is at version %d, not %d", current.Version, m.Base)
	}
	t.marks[MarkKey{m.Subject, m.Name}] = Mark{State: m.State, Version: offset, Comment: m.Comment}
	if m.Subject == record.SubjectZone && m.State == record.MarkLost {
		t.closeZone(offset, m.Name)
	}
	return accepted()
}

// closeZone closes every open session of a zone that an operator declared
// lost. A slice with a successor outside the zone goes to it: the zone's lessors
// may have closed the session and activated the successor before they were
// lost. Every other slice is left without an owner.
func (t *Table) closeZone(offset logservice.Offset, zone string) {
	for _, session := range t.Sessions() {
		if session.Zone != zone {
			continue
		}
		session.Closed = true
		session.CloseReason = "zone declared lost"
		for _, key := range t.Owned(session.ID) {
			slice := t.slot(key)
			to := t.sessions[slice.Successor]
			if to != nil && !to.Closed && to.Zone != zone {
				t.handOver(offset, key, slice.Successor, slice.NextEpoch)
				continue
			}
			t.orphan(offset, slice)
		}
	}
}

func (t *Table) applyOpen(offset logservice.Offset, o record.Open) Verdict {
	if o.Addr == "" || o.Service == "" || o.Incarnation == "" {
		return refused("open without address, service or incarnation")
	}
	if verdict := checkLessors(o.Lessors); !verdict.Accepted {
		return verdict
	}
	if latest := t.latest[o.Addr]; latest != o.Previous {
		return refused("the server's latest session is %d, not %d", latest, o.Previous)
	}
	if t.isOpen(o.Previous) {
		return refused("session %d is still open", o.Previous)
	}
	t.forget(o.Previous)
	t.sessions[offset] = &Session{
		ID:          offset,
		Service:     o.Service,
		Zone:        o.Zone,
		Addr:        o.Addr,
		Incarnation: o.Incarnation,
		Lessors:     o.Lessors,
		Terms:       o.Terms,
		Version:     offset,
		Previous:    o.Previous,

		LessorsSince: offset,
	}
	t.latest[o.Addr] = offset
	return accepted()
}

// forget removes a closed session that owns nothing any more.
func (t *Table) forget(id record.SessionID) {
	if session := t.sessions[id]; session != nil && session.Closed && len(t.owned[id]) == 0 {
		delete(t.sessions, id)
		delete(t.owned, id)
	}
}

func checkLessors(lessors []record.Lessor) Verdict {
	if len(lessors) == 0 || len(lessors) > maxLessors {
		return refused("%d lessors: want 1 to %d", len(lessors), maxLessors)
	}
	names := make(map[string]bool, len(lessors))
	for _, lessor := range lessors {
		if lessor.Host == "" || lessor.Incarnation == "" || names[lessor.Host] {
			return refused("lessor without name or incarnation, or named twice")
		}
		names[lessor.Host] = true
	}
	return accepted()
}

func (t *Table) applyClose(offset logservice.Offset, c record.Close) Verdict {
	session := t.sessions[c.Session]
	if session == nil || session.Closed {
		return refused("session %d is not open", c.Session)
	}
	if c.Base != 0 && c.Base != session.Version {
		return refused("session %d is at version %d, not %d", c.Session, session.Version, c.Base)
	}
	for _, move := range c.Moves {
		key := SliceKey{move.Service, move.Slice}
		if _, owned := t.owned[c.Session][key]; !owned {
			return refused("session %d does not own slice %d of %s", c.Session, move.Slice, move.Service)
		}
		if move.Epoch <= t.Slice(key).Epoch {
			return refused("slice %d of %s: epoch %d is not above its owner's", move.Slice, move.Service, move.Epoch)
		}
		if move.Epoch >= OwnerEpoch(offset) {
			return refused("slice %d of %s: epoch %d was not named before", move.Slice, move.Service, move.Epoch)
		}
	}
	session.Closed = true
	session.CloseReason = c.Reason
	for _, move := range c.Moves {
		t.handOver(offset, SliceKey{move.Service, move.Slice}, move.To, move.Epoch)
	}
	for _, key := range t.Owned(c.Session) {
		t.orphan(offset, t.slot(key))
	}
	return accepted()
}

// handOver makes the successor the slice's owner. A successor whose own session is
// closed has stopped serving as well; the slice then has no owner.
func (t *Table) handOver(offset logservice.Offset, key SliceKey, to record.SessionID, epoch record.Epoch) {
	slice := t.slot(key)
	t.setOwner(key, slice, to, epoch)
	t.orphan(offset, slice)
	if session := t.sessions[to]; session != nil {
		session.Version = offset
	}
}

// orphan clears a slice's succession after its owner has changed or closed.
func (t *Table) orphan(offset logservice.Offset, slice *Slice) {
	slice.Version = offset
	slice.Successor = 0
	slice.NextEpoch = 0
	slice.Moving = false
}

func (t *Table) applyPlan(offset logservice.Offset, p record.Plan) Verdict {
	if p.Service == "" || len(p.Slices) == 0 {
		return refused("plan without service or slices")
	}
	seen := make(map[int]bool, len(p.Slices))
	for _, change := range p.Slices {
		if seen[change.Slice] {
			return refused("slice %d appears twice", change.Slice)
		}
		seen[change.Slice] = true
		if verdict := t.checkPlan(p.Service, change); !verdict.Accepted {
			return verdict
		}
	}
	for _, change := range p.Slices {
		t.plan(offset, SliceKey{p.Service, change.Slice}, change)
	}
	return accepted()
}

func (t *Table) checkPlan(service string, change record.SlicePlan) Verdict {
	if change.Slice < 0 || change.Slice >= MaxSlices {
		return refused("slice %d is out of range", change.Slice)
	}
	key := SliceKey{service, change.Slice}
	slice := t.Slice(key)
	if slice.Version != change.Base {
		return refused("slice %d is at version %d, not %d", change.Slice, slice.Version, change.Base)
	}
	owner := slice.Owner
	if change.Owner != 0 {
		if t.HasOwner(key) {
			return refused("slice %d has an owner", change.Slice)
		}
		owner = change.Owner
	}
	if !t.serves(owner, service) {
		return refused("slice %d: owner %d is not an open session of %s", change.Slice, owner, service)
	}
	if change.Successor != 0 && (change.Successor == owner || !t.serves(change.Successor, service)) {
		return refused("slice %d: successor %d is not another open session of %s", change.Slice, change.Successor, service)
	}
	if change.Owner == 0 && t.IsMoving(slice) {
		return refused("slice %d is moving", change.Slice)
	}
	if change.Move && (change.Successor == 0 || change.Owner != 0) {
		return refused("slice %d: a move needs an owner and a successor", change.Slice)
	}
	return accepted()
}

func (t *Table) serves(id record.SessionID, service string) bool {
	return t.isOpen(id) && t.sessions[id].Service == service
}

func (t *Table) plan(offset logservice.Offset, key SliceKey, change record.SlicePlan) {
	slice := t.slot(key)
	former := slice.Owner
	if change.Owner != 0 {
		t.setOwner(key, slice, change.Owner, OwnerEpoch(offset))
		t.forgetReplaced(former)
	} else {
		t.replaceSuccessor(key, *slice, change.Successor)
	}
	slice.Version = offset
	slice.Successor = change.Successor
	slice.NextEpoch = 0
	if change.Successor != 0 {
		slice.NextEpoch = SuccessorEpoch(offset)
	}
	slice.Moving = change.Move
	t.sessions[slice.Owner].Version = offset
}

// forgetReplaced removes a closed session that a newer one of its server has replaced.
func (t *Table) forgetReplaced(id record.SessionID) {
	if session := t.sessions[id]; session != nil && t.latest[session.Addr] != id {
		t.forget(id)
	}
}

func (t *Table) applyMoved(offset logservice.Offset, m record.Moved) Verdict {
	if len(m.Moves) == 0 {
		return refused("no moves")
	}
	for _, move := range m.Moves {
		slice := t.Slice(SliceKey{move.Service, move.Slice})
		if !slice.Moving || slice.Successor != move.To || slice.NextEpoch != move.Epoch {
			return refused("slice %d of %s is not moving to %d under %d", move.Slice, move.Service, move.To, move.Epoch)
		}
	}
	for _, move := range m.Moves {
		key := SliceKey{move.Service, move.Slice}
		if former := t.sessions[t.Slice(key).Owner]; former != nil {
			former.Version = offset
		}
		t.handOver(offset, key, move.To, move.Epoch)
	}
	return accepted()
}

func (t *Table) applyLessors(offset logservice.Offset, l record.Lessors) Verdict {
	session := t.sessions[l.Session]
	if session == nil || session.Closed {
		return refused("session %d is not open", l.Session)
	}
	if session.Version != l.Base {
		return refused("session %d is at version %d, not %d", l.Session, session.Version, l.Base)
	}
	if !session.Sealed() {
		return refused("session %d: the previous replacement is not sealed", l.Session)
	}
	if verdict := checkLessors(l.Lessors); !verdict.Accepted {
		return verdict
	}
	session.Former = session.Lessors
	session.FormerSince = session.LessorsSince
	session.Lessors = l.Lessors
	session.LessorsSince = offset
	session.Version = offset
	return accepted()
}

func (t *Table) applySealed(s record.Sealed) Verdict {
	session := t.sessions[s.Session]
	if session == nil || session.Closed {
		return refused("session %d is not open", s.Session)
	}
	if session.Sealed() || session.LessorsSince != s.Version {
		return refused("session %d has no replacement at version %d", s.Session, s.Version)
	}
	session.Former = nil
	session.FormerSince = 0
	return accepted()
}
