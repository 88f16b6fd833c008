package ownership

import (
	"fmt"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// maxLessors is the largest number of lessors (hosts that grant the lease) of a session.
const maxLessors = 3

// Decision is the result of applying one record. Reason says why a record was
// rejected; it is empty for an accepted one.
type Decision struct {
	Accepted bool
	Reason   string
}

func accepted() Decision {
	return Decision{Accepted: true}
}

func rejected(format string, args ...any) Decision {
	return Decision{Reason: fmt.Sprintf(format, args...)}
}

// OwnerEpoch returns the epoch of an owner that the plan record at the offset
// assigns. Epochs are derived from log offsets, so a later record always gives a
// higher one.
func OwnerEpoch(offset logservice.Offset) record.Epoch {
	return record.Epoch(2 * offset)
}

// SuccessorEpoch returns the epoch of a successor that the plan record at the
// offset names. It is above the OwnerEpoch of the same offset, so that the
// successor of a newly assigned owner has the higher epoch.
func SuccessorEpoch(offset logservice.Offset) record.Epoch {
	return record.Epoch(2*offset + 1)
}

// Apply applies the record at the offset. Offsets must increase: a record at or
// below the applied offset is rejected and changes nothing. Any other rejected
// record changes only the applied offset.
func (t *Table) Apply(offset logservice.Offset, r record.Record) Decision {
	if offset <= t.applied {
		return rejected("offset %d is already applied", offset)
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
	return rejected("records of kind %q do not concern ownership", r.Kind)
}

// Skip advances the applied offset past a record that does not concern ownership.
func (t *Table) Skip(offset logservice.Offset) {
	t.applied = max(t.applied, offset)
}

func (t *Table) applyMark(offset logservice.Offset, m record.Mark) Decision {
	if m.Name == "" {
		return rejected("the mark names no zone, host or server")
	}
	switch m.Subject {
	case record.SubjectZone, record.SubjectHost, record.SubjectServer:
	default:
		return rejected("unknown mark subject %q", m.Subject)
	}
	switch m.State {
	case record.MarkActive, record.MarkLeaving, record.MarkLost:
	default:
		return rejected("unknown mark state %q", m.State)
	}
	current := t.Mark(m.Subject, m.Name)
	if current.Version != m.Base {
		return rejected("the mark is at version %d; the record is based on version %d", current.Version, m.Base)
	}
	t.marks[MarkKey{m.Subject, m.Name}] = Mark{State: m.State, Version: offset, Comment: m.Comment}
	if m.Subject == record.SubjectZone && m.State == record.MarkLost {
		t.closeSessionsOfZone(offset, m.Name)
	}
	return accepted()
}

// closeSessionsOfZone closes every open session of a zone that an operator declared
// lost. A slice whose successor is in another zone gets that successor as its
// owner: the zone's lessors may have closed the session and activated the
// successor before they were lost. Every other slice is left without an owner.
func (t *Table) closeSessionsOfZone(offset logservice.Offset, zone string) {
	for _, session := range t.OpenSessions() {
		if session.Zone != zone {
			continue
		}
		session.Closed = true
		session.CloseReason = "zone declared lost"
		for _, key := range t.OwnedSlices(session.ID) {
			slice := t.mutableSlice(key)
			successor := t.sessions[slice.Successor]
			if successor != nil && !successor.Closed && successor.Zone != zone {
				t.transfer(offset, key, slice.Successor, slice.NextEpoch)
				continue
			}
			t.clearSuccessor(offset, slice)
		}
	}
}

// applyOpen opens a session, whose ID is the offset. The previous session of the same
// server must be closed.
func (t *Table) applyOpen(offset logservice.Offset, o record.Open) Decision {
	if o.Addr == "" || o.Service == "" || o.Incarnation == "" {
		return rejected("the open record lacks the address, service or incarnation")
	}
	if decision := checkLessors(o.Lessors); !decision.Accepted {
		return decision
	}
	if latest := t.latestByAddr[o.Addr]; latest != o.Previous {
		return rejected("the server's latest session is %d; the record names %d as the previous one", latest, o.Previous)
	}
	if t.isOpen(o.Previous) {
		return rejected("session %d is still open", o.Previous)
	}
	t.removeIfUnused(o.Previous)
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
	t.latestByAddr[o.Addr] = offset
	return accepted()
}

// removeIfUnused removes a closed session that no longer owns a slice.
func (t *Table) removeIfUnused(id record.SessionID) {
	if session := t.sessions[id]; session != nil && session.Closed && len(t.slicesByOwner[id]) == 0 {
		delete(t.sessions, id)
		delete(t.slicesByOwner, id)
	}
}

// checkLessors rejects a list of lessors that no session can have.
func checkLessors(lessors []record.Lessor) Decision {
	if len(lessors) == 0 || len(lessors) > maxLessors {
		return rejected("%d lessors, want 1 to %d", len(lessors), maxLessors)
	}
	names := make(map[string]bool, len(lessors))
	for _, lessor := range lessors {
		if lessor.Host == "" || lessor.Incarnation == "" || names[lessor.Host] {
			return rejected("a lessor lacks its host or incarnation, or is listed twice")
		}
		names[lessor.Host] = true
	}
	return accepted()
}

// applyClose closes a session. The slices in the record's moves get their new owners;
// the session's other slices are left without an owner.
func (t *Table) applyClose(offset logservice.Offset, c record.Close) Decision {
	session := t.sessions[c.Session]
	if session == nil || session.Closed {
		return rejected("session %d is not open", c.Session)
	}
	if c.Base != 0 && c.Base != session.Version {
		return rejected("session %d is at version %d; the record is based on version %d", c.Session, session.Version, c.Base)
	}
	for _, move := range c.Moves {
		key := SliceKey{move.Service, move.Slice}
		if _, owned := t.slicesByOwner[c.Session][key]; !owned {
			return rejected("session %d does not own slice %d of %s", c.Session, move.Slice, move.Service)
		}
		if move.Epoch <= t.Slice(key).Epoch {
			return rejected("slice %d of %s: epoch %d is not above the present owner's epoch", move.Slice, move.Service, move.Epoch)
		}
		if move.Epoch >= OwnerEpoch(offset) {
			return rejected("slice %d of %s: no earlier record assigned epoch %d", move.Slice, move.Service, move.Epoch)
		}
	}
	session.Closed = true
	session.CloseReason = c.Reason
	for _, move := range c.Moves {
		t.transfer(offset, SliceKey{move.Service, move.Slice}, move.To, move.Epoch)
	}
	for _, key := range t.OwnedSlices(c.Session) {
		t.clearSuccessor(offset, t.mutableSlice(key))
	}
	return accepted()
}

// transfer makes the session newOwner the owner of the slice under the epoch. If
// that session is closed, it has stopped serving too, and the slice is left
// without an owner.
func (t *Table) transfer(offset logservice.Offset, key SliceKey, newOwner record.SessionID, epoch record.Epoch) {
	slice := t.mutableSlice(key)
	t.setOwner(key, slice, newOwner, epoch)
	t.clearSuccessor(offset, slice)
	if session := t.sessions[newOwner]; session != nil {
		session.Version = offset
	}
}

// clearSuccessor removes a slice's successor and pending move after its owner has
// changed or closed, and sets its version. The successor was named for the former
// owner.
func (t *Table) clearSuccessor(offset logservice.Offset, slice *Slice) {
	slice.Version = offset
	slice.Successor = 0
	slice.NextEpoch = 0
	slice.Moving = false
}

// applyPlan applies the changes of a plan, all or none.
func (t *Table) applyPlan(offset logservice.Offset, p record.Plan) Decision {
	if p.Service == "" || len(p.Slices) == 0 {
		return rejected("the plan lacks the service or the slices")
	}
	seen := make(map[int]bool, len(p.Slices))
	for _, change := range p.Slices {
		if seen[change.Slice] {
			return rejected("the plan changes slice %d twice", change.Slice)
		}
		seen[change.Slice] = true
		if decision := t.checkSlicePlan(p.Service, change); !decision.Accepted {
			return decision
		}
	}
	for _, change := range p.Slices {
		t.applySlicePlan(offset, SliceKey{p.Service, change.Slice}, change)
	}
	return accepted()
}

func (t *Table) checkSlicePlan(service string, change record.SlicePlan) Decision {
	if change.Slice < 0 || change.Slice >= MaxSlices {
		return rejected("slice number %d is out of range", change.Slice)
	}
	key := SliceKey{service, change.Slice}
	slice := t.Slice(key)
	if slice.Version != change.Base {
		return rejected("slice %d is at version %d; the plan is based on version %d", change.Slice, slice.Version, change.Base)
	}
	owner := slice.Owner
	if change.Owner != 0 {
		if t.HasOwner(key) {
			return rejected("slice %d already has an owner", change.Slice)
		}
		owner = change.Owner
	}
	if !t.isOpenSessionOf(owner, service) {
		return rejected("slice %d: owner %d is not an open session of %s", change.Slice, owner, service)
	}
	if change.Successor != 0 && (change.Successor == owner || !t.isOpenSessionOf(change.Successor, service)) {
		return rejected("slice %d: successor %d is not another open session of %s", change.Slice, change.Successor, service)
	}
	if change.Owner == 0 && t.IsMoving(slice) {
		return rejected("slice %d is already moving", change.Slice)
	}
	if change.Move && (change.Successor == 0 || change.Owner != 0) {
		return rejected("slice %d: a move needs a successor and a present owner", change.Slice)
	}
	return accepted()
}

// isOpenSessionOf reports whether the session is open and belongs to the service.
func (t *Table) isOpenSessionOf(id record.SessionID, service string) bool {
	return t.isOpen(id) && t.sessions[id].Service == service
}

func (t *Table) applySlicePlan(offset logservice.Offset, key SliceKey, change record.SlicePlan) {
	slice := t.mutableSlice(key)
	former := slice.Owner
	if change.Owner != 0 {
		t.setOwner(key, slice, change.Owner, OwnerEpoch(offset))
		t.removeIfReplaced(former)
	} else {
		t.keepReplaced(key, *slice, change.Successor)
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

// removeIfReplaced removes a closed session if a newer session of the same server
// exists and no slice names the closed one as its owner.
func (t *Table) removeIfReplaced(id record.SessionID) {
	if session := t.sessions[id]; session != nil && t.latestByAddr[session.Addr] != id {
		t.removeIfUnused(id)
	}
}

// applyMoved makes the successors of moving slices their owners.
func (t *Table) applyMoved(offset logservice.Offset, m record.Moved) Decision {
	if len(m.Moves) == 0 {
		return rejected("the record lists no moves")
	}
	for _, move := range m.Moves {
		slice := t.Slice(SliceKey{move.Service, move.Slice})
		if !slice.Moving || slice.Successor != move.To || slice.NextEpoch != move.Epoch {
			return rejected("slice %d of %s is not moving to session %d under epoch %d", move.Slice, move.Service, move.To, move.Epoch)
		}
	}
	for _, move := range m.Moves {
		key := SliceKey{move.Service, move.Slice}
		if former := t.sessions[t.Slice(key).Owner]; former != nil {
			former.Version = offset
		}
		t.transfer(offset, key, move.To, move.Epoch)
	}
	return accepted()
}

// applyLessors replaces a session's lessors. The former ones are kept until the
// replacement is sealed.
func (t *Table) applyLessors(offset logservice.Offset, l record.Lessors) Decision {
	session := t.sessions[l.Session]
	if session == nil || session.Closed {
		return rejected("session %d is not open", l.Session)
	}
	if session.Version != l.Base {
		return rejected("session %d is at version %d; the record is based on version %d", l.Session, session.Version, l.Base)
	}
	if !session.Sealed() {
		return rejected("session %d: the previous replacement of its lessors is not sealed", l.Session)
	}
	if decision := checkLessors(l.Lessors); !decision.Accepted {
		return decision
	}
	session.Former = session.Lessors
	session.FormerSince = session.LessorsSince
	session.Lessors = l.Lessors
	session.LessorsSince = offset
	session.Version = offset
	return accepted()
}

// applySealed completes the replacement of a session's lessors.
func (t *Table) applySealed(s record.Sealed) Decision {
	session := t.sessions[s.Session]
	if session == nil || session.Closed {
		return rejected("session %d is not open", s.Session)
	}
	if session.Sealed() || session.LessorsSince != s.Version {
		return rejected("session %d has no unsealed replacement of lessors at version %d", s.Session, s.Version)
	}
	session.Former = nil
	session.FormerSince = 0
	return accepted()
}
