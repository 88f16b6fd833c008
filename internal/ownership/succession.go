package ownership

import (
	"cmp"
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Succession is a session that may have taken a slice over, and under which epoch.
type Succession struct {
	Session record.SessionID `json:"session"`
	Epoch   record.Epoch     `json:"epoch"`
}

// Successions returns the open sessions that may have taken the slice over from
// its owner, in the order of their IDs. Lessors that have not read the log's end
// may still close the owner's session under an older version, and activate a
// successor that the log has replaced since.
func (t *Table) Successions(key SliceKey) []Succession {
	slice := t.Slice(key)
	var all []Succession
	if t.isOpen(slice.Successor) {
		all = append(all, Succession{slice.Successor, slice.NextEpoch})
	}
	for _, earlier := range t.earlier[key] {
		if t.isOpen(earlier.Session) {
			all = append(all, earlier)
		}
	}
	slices.SortFunc(all, compareSuccessions)
	return all
}

// replaceSuccessor keeps a successor that another one replaces, as long as the
// owner stays the same.
func (t *Table) replaceSuccessor(key SliceKey, slice Slice, next record.SessionID) {
	earlier := slices.DeleteFunc(slices.Clone(t.earlier[key]), func(s Succession) bool {
		return s.Session == next || !t.isOpen(s.Session)
	})
	if slice.Successor != next && t.isOpen(slice.Successor) {
		earlier = append(earlier, Succession{slice.Successor, slice.NextEpoch})
	}
	slices.SortFunc(earlier, compareSuccessions)
	t.setEarlier(key, earlier)
}

// setEarlier replaces the earlier successors of a slice.
func (t *Table) setEarlier(key SliceKey, earlier []Succession) {
	if len(earlier) == 0 {
		delete(t.earlier, key)
		return
	}
	t.earlier[key] = earlier
}

func compareSuccessions(a, b Succession) int {
	return cmp.Compare(a.Session, b.Session)
}
