package ownership

import (
	"cmp"
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Succession is a session that may have taken over a slice, and the epoch under
// which it owns the slice if it has.
type Succession struct {
	Session record.SessionID `json:"session"`
	Epoch   record.Epoch     `json:"epoch"`
}

// PossibleSuccessors returns the open sessions that may have taken over the slice
// from its owner, ordered by ID. More than one can be possible: lessors that lag
// behind the log may close the owner's session at an older version and then
// activate a successor that a later record has already replaced.
func (t *Table) PossibleSuccessors(key SliceKey) []Succession {
	slice := t.Slice(key)
	var all []Succession
	if t.isOpen(slice.Successor) {
		all = append(all, Succession{slice.Successor, slice.NextEpoch})
	}
	for _, replaced := range t.replaced[key] {
		if t.isOpen(replaced.Session) {
			all = append(all, replaced)
		}
	}
	slices.SortFunc(all, compareBySession)
	return all
}

// keepReplaced records the slice's present successor as a replaced one before
// next takes its place. Replaced successors are kept until the owner changes.
func (t *Table) keepReplaced(key SliceKey, slice Slice, next record.SessionID) {
	replaced := slices.DeleteFunc(slices.Clone(t.replaced[key]), func(s Succession) bool {
		return s.Session == next || !t.isOpen(s.Session)
	})
	if slice.Successor != next && t.isOpen(slice.Successor) {
		replaced = append(replaced, Succession{slice.Successor, slice.NextEpoch})
	}
	slices.SortFunc(replaced, compareBySession)
	t.setReplaced(key, replaced)
}

// setReplaced sets the replaced successors of a slice.
func (t *Table) setReplaced(key SliceKey, replaced []Succession) {
	if len(replaced) == 0 {
		delete(t.replaced, key)
		return
	}
	t.replaced[key] = replaced
}

func compareBySession(a, b Succession) int {
	return cmp.Compare(a.Session, b.Session)
}
