// Package ownership folds the log's records into the table of sessions, slices
// and marks. The fold is pure: it reads no clock, does no I/O, and every host
// that has applied the same records holds an equal table.
//
// A Table is not safe for concurrent use.
package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// MaxSlices bounds the number of slices of one service.
const MaxSlices = 65536

// Slice is one part of a keyed service's hash space. Owner is zero for a slice
// that has never had an owner. The slice is served under Epoch while the owner's session is
// open; an owner whose session is closed leaves the slice without an owner.
type Slice struct {
	// Version is the offset of the record that last changed the slice.
	Version logservice.Offset `json:"version"`
	Owner   record.SessionID  `json:"owner"`
	Epoch   record.Epoch      `json:"epoch"`
	// Successor takes the slice over under NextEpoch; zero where none is named.
	Successor record.SessionID `json:"successor"`
	NextEpoch record.Epoch     `json:"next_epoch"`
	// Moving says that the owner has been asked to let go of the slice.
	Moving bool `json:"moving"`
}

// Session is one incarnation of one backend server and the hosts that lease it.
type Session struct {
	ID          record.SessionID `json:"id"`
	Service     string           `json:"service"`
	Zone        string           `json:"zone"`
	Addr        string           `json:"addr"`
	Incarnation string           `json:"incarnation"`
	Lessors     []record.Lessor  `json:"lessors"`
	// Terms are those of the open record; zero for the default settings.
	Terms record.LeaseTerms `json:"terms,omitzero"`
	// Version is the offset of the last record that changed the session's slices, their successors or its lessors.
	Version logservice.Offset `json:"version"`
	// LessorsSince is the offset of the record that named the lessors.
	LessorsSince logservice.Offset `json:"lessors_since"`
	// Former holds the lessors before a replacement that is not sealed yet; nil
	// otherwise. FormerSince is the offset of the record that named them.
	Former      []record.Lessor   `json:"former,omitempty"`
	FormerSince logservice.Offset `json:"former_since,omitempty"`
	Closed      bool              `json:"closed"`
	CloseReason string            `json:"close_reason,omitempty"`
	Previous    record.SessionID  `json:"previous"`
}

// Sealed reports whether the session's lessors may act.
func (s *Session) Sealed() bool {
	return s.Former == nil
}

// Mark is the state that an operator gave a subject.
type Mark struct {
	State   record.MarkState  `json:"state"`
	Version logservice.Offset `json:"version"`
	Comment string            `json:"comment,omitempty"`
}

// MarkKey identifies what a mark is put on.
type MarkKey struct {
	Subject record.Subject
	Name    string
}

// Table is the state of ownership at an offset of the log.
type Table struct {
	applied  logservice.Offset
	sessions map[record.SessionID]*Session
	latest   map[string]record.SessionID // by server address
	services map[string][]Slice
	marks    map[MarkKey]Mark
	owned    map[record.SessionID]map[SliceKey]struct{}
	// earlier holds the successors that others have replaced under the same owner.
	earlier map[SliceKey][]Succession
}

// SliceKey identifies a slice.
type SliceKey struct {
	Service string
	Slice   int
}

// SliceOf returns the slice that a key belongs to, of a service with that many slices.
func SliceOf(key string, slices int) int {
	return int(xxhash.Sum64String(key) % uint64(slices))
}

// NewTable returns an empty table at offset zero.
func NewTable() *Table {
	return &Table{
		sessions: make(map[record.SessionID]*Session),
		latest:   make(map[string]record.SessionID),
		services: make(map[string][]Slice),
		marks:    make(map[MarkKey]Mark),
		owned:    make(map[record.SessionID]map[SliceKey]struct{}),
		earlier:  make(map[SliceKey][]Succession),
	}
}

// Applied returns the offset of the last record applied.
func (t *Table) Applied() logservice.Offset {
	return t.applied
}

// Session returns a session, or nil. The caller must not change it.
func (t *Table) Session(id record.SessionID) *Session {
	return t.sessions[id]
}

// Latest returns the newest session of the server at addr, or nil.
func (t *Table) Latest(addr string) *Session {
	return t.sessions[t.latest[addr]]
}

// Sessions returns the open sessions in the order of their IDs.
func (t *Table) Sessions() []*Session {
	var open []*Session
	for _, session := range t.sessions {
		if !session.Closed {
			open = append(open, session)
		}
	}
	slices.SortFunc(open, func(a, b *Session) int { return cmp.Compare(a.ID, b.ID) })
	return open
}

// Slice returns a slice; its zero value where no record has named it yet.
func (t *Table) Slice(key SliceKey) Slice {
	all := t.services[key.Service]
	if key.Slice < 0 || key.Slice >= len(all) {
		return Slice{}
	}
	return all[key.Slice]
}

// HasOwner reports whether the slice's owner is an open session.
func (t *Table) HasOwner(key SliceKey) bool {
	return t.isOpen(t.Slice(key).Owner)
}

// IsMoving reports whether the slice moves to an open session. A move whose
// successor's session is closed can never end there; another successor may be named.
func (t *Table) IsMoving(slice Slice) bool {
	return slice.Moving && t.isOpen(slice.Successor)
}

// Owned returns the slices that the session owns, in order.
func (t *Table) Owned(id record.SessionID) []SliceKey {
	keys := make([]SliceKey, 0, len(t.owned[id]))
	for key := range t.owned[id] {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareSliceKeys)
	return keys
}

// Mark returns the mark of a subject; a subject without one is active.
func (t *Table) Mark(subject record.Subject, name string) Mark {
	mark, ok := t.marks[MarkKey{subject, name}]
	if !ok {
		return Mark{State: record.MarkActive}
	}
	return mark
}

// Marks returns all marks that were ever set.
func (t *Table) Marks() map[MarkKey]Mark {
	return t.marks
}

func (t *Table) isOpen(id record.SessionID) bool {
	session := t.sessions[id]
	return session != nil && !session.Closed
}

func compareSliceKeys(a, b SliceKey) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Slice, b.Slice))
}

// setOwner changes a slice's owner and keeps the index of owned slices.
func (t *Table) setOwner(key SliceKey, slice *Slice, owner record.SessionID, epoch record.Epoch) {
	if held := t.owned[slice.Owner]; held != nil {
		delete(held, key)
	}
	slice.Owner = owner
	slice.Epoch = epoch
	delete(t.earlier, key)
	if t.owned[owner] == nil {
		t.owned[owner] = make(map[SliceKey]struct{})
	}
	t.owned[owner][key] = struct{}{}
}

// slot returns the slice for changing, growing the service's list where needed.
func (t *Table) slot(key SliceKey) *Slice {
	all := t.services[key.Service]
	if missing := key.Slice + 1 - len(all); missing > 0 {
		all = append(all, make([]Slice, missing)...)
		t.services[key.Service] = all
	}
	return &all[key.Slice]
}
