// Package ownership computes from the log's records which backend server session
// owns each slice of the keyed services.
//
// A Table is a replicated state machine: package view passes it every record in
// the order of the log, and Apply accepts or rejects the record. Apply reads no
// clock and does no I/O, so all hosts that have applied the same records hold
// equal tables. The planner, the keepers and the request path read the table.
//
// Concurrent writers are expected: a record states the version that it is based
// on, and Apply rejects it when another record came first. The Decision holds the
// reason. Restore returns ErrBadSnapshot for a snapshot that no table can have
// produced. Nothing else fails here.
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

// MaxSlices is the largest number of slices of one service.
const MaxSlices = 65536

// Slice is one shard of a keyed service's hash space. Owner is zero if the slice
// has never had an owner. The slice is served under Epoch while the owner's
// session is open. Owner is kept after that session has closed, but the slice
// then counts as having no owner.
type Slice struct {
	// Version is the offset of the record that last changed the slice.
	Version logservice.Offset `json:"version"`
	Owner   record.SessionID  `json:"owner"`
	Epoch   record.Epoch      `json:"epoch"`
	// Successor is the session that takes over the slice under NextEpoch, zero if
	// there is none.
	Successor record.SessionID `json:"successor"`
	NextEpoch record.Epoch     `json:"next_epoch"`
	// Moving reports that the owner has been asked to release the slice to Successor.
	Moving bool `json:"moving"`
}

// Session is one incarnation of a backend server, with the hosts (lessors) that
// grant its lease.
type Session struct {
	ID          record.SessionID `json:"id"`
	Service     string           `json:"service"`
	Zone        string           `json:"zone"`
	Addr        string           `json:"addr"`
	Incarnation string           `json:"incarnation"`
	Lessors     []record.Lessor  `json:"lessors"`
	// Terms are the lease durations of the open record. Zero means the default settings.
	Terms record.LeaseTerms `json:"terms,omitzero"`
	// Version is the offset of the last record that changed the session's slices,
	// their successors or its lessors.
	Version logservice.Offset `json:"version"`
	// LessorsSince is the offset of the record that named the lessors.
	LessorsSince logservice.Offset `json:"lessors_since"`
	// Former holds the previous lessors while their replacement is not sealed, that
	// is, until a quorum of them acts only for the version that replaced them or for
	// newer ones. It is nil otherwise. FormerSince is the offset of the record that
	// named them.
	Former      []record.Lessor   `json:"former,omitempty"`
	FormerSince logservice.Offset `json:"former_since,omitempty"`
	Closed      bool              `json:"closed"`
	CloseReason string            `json:"close_reason,omitempty"`
	Previous    record.SessionID  `json:"previous"`
}

// Sealed reports whether the last replacement of the session's lessors is
// complete. Until then, electing a primary takes a quorum of the previous lessors
// as well.
func (s *Session) Sealed() bool {
	return s.Former == nil
}

// Mark is the state that an operator set for a zone, host or server. Version is
// the offset of the record that set it.
type Mark struct {
	State   record.MarkState  `json:"state"`
	Version logservice.Offset `json:"version"`
	Comment string            `json:"comment,omitempty"`
}

// MarkKey identifies the zone, host or server that a mark applies to.
type MarkKey struct {
	Subject record.Subject
	Name    string
}

// Table is the state of all sessions, slices and marks at one offset of the log.
type Table struct {
	applied       logservice.Offset
	sessions      map[record.SessionID]*Session
	latestByAddr  map[string]record.SessionID
	services      map[string][]Slice // by service name and slice number
	marks         map[MarkKey]Mark
	slicesByOwner map[record.SessionID]map[SliceKey]struct{}
	// replaced holds the successors that later ones have replaced under the same owner.
	replaced map[SliceKey][]Succession
}

// SliceKey identifies a slice.
type SliceKey struct {
	Service string
	Slice   int
}

// SliceOf returns the number of the slice that a key belongs to, in a service with
// the given number of slices.
func SliceOf(key string, slices int) int {
	return int(xxhash.Sum64String(key) % uint64(slices))
}

// NewTable returns an empty table at offset zero.
func NewTable() *Table {
	return &Table{
		sessions:      make(map[record.SessionID]*Session),
		latestByAddr:  make(map[string]record.SessionID),
		services:      make(map[string][]Slice),
		marks:         make(map[MarkKey]Mark),
		slicesByOwner: make(map[record.SessionID]map[SliceKey]struct{}),
		replaced:      make(map[SliceKey][]Succession),
	}
}

// Applied returns the offset of the last record applied.
func (t *Table) Applied() logservice.Offset {
	return t.applied
}

// Session returns a session, or nil if it is unknown. The caller must not change it.
func (t *Table) Session(id record.SessionID) *Session {
	return t.sessions[id]
}

// Latest returns the newest session of the server at addr, open or closed, or nil
// if there is none.
func (t *Table) Latest(addr string) *Session {
	return t.sessions[t.latestByAddr[addr]]
}

// OpenSessions returns the open sessions, ordered by ID.
func (t *Table) OpenSessions() []*Session {
	var open []*Session
	for _, session := range t.sessions {
		if !session.Closed {
			open = append(open, session)
		}
	}
	slices.SortFunc(open, func(a, b *Session) int { return cmp.Compare(a.ID, b.ID) })
	return open
}

// Slice returns a slice, or the zero Slice if no record has named it yet.
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

// IsMoving reports whether the slice is moving to an open session. A move to a
// closed session can never complete, so it doesn't count and another successor
// may be named.
func (t *Table) IsMoving(slice Slice) bool {
	return slice.Moving && t.isOpen(slice.Successor)
}

// OwnedSlices returns the slices that the session owns, ordered by service and number.
func (t *Table) OwnedSlices(id record.SessionID) []SliceKey {
	keys := make([]SliceKey, 0, len(t.slicesByOwner[id]))
	for key := range t.slicesByOwner[id] {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareSliceKeys)
	return keys
}

// Mark returns the mark of a zone, host or server. One that was never marked is active.
func (t *Table) Mark(subject record.Subject, name string) Mark {
	mark, ok := t.marks[MarkKey{subject, name}]
	if !ok {
		return Mark{State: record.MarkActive}
	}
	return mark
}

// Marks returns all marks that were ever set. The caller must not change the map.
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

// setOwner changes a slice's owner, updates the index of slices by owner and
// drops the replaced successors of the former owner.
func (t *Table) setOwner(key SliceKey, slice *Slice, owner record.SessionID, epoch record.Epoch) {
	if held := t.slicesByOwner[slice.Owner]; held != nil {
		delete(held, key)
	}
	slice.Owner = owner
	slice.Epoch = epoch
	delete(t.replaced, key)
	if t.slicesByOwner[owner] == nil {
		t.slicesByOwner[owner] = make(map[SliceKey]struct{})
	}
	t.slicesByOwner[owner][key] = struct{}{}
}

// mutableSlice returns a pointer to the slice, growing the service's list if
// needed. The pointer is valid until the list grows again.
func (t *Table) mutableSlice(key SliceKey) *Slice {
	all := t.services[key.Service]
	if missing := key.Slice + 1 - len(all); missing > 0 {
		all = append(all, make([]Slice, missing)...)
		t.services[key.Service] = all
	}
	return &all[key.Slice]
}
