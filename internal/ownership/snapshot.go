package ownership

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Snapshot is the serializable state of a table at an offset. Its lists are
// sorted, so that equal tables have equal snapshots.
type Snapshot struct {
	Applied  logservice.Offset `json:"applied"`
	Sessions []Session         `json:"sessions"`
	Services []ServiceSnapshot `json:"services"`
	Marks    []MarkSnapshot    `json:"marks"`
	Earlier  []EarlierSnapshot `json:"earlier,omitempty"`
}

// EarlierSnapshot holds the replaced successors of one slice; see
// PossibleSuccessors.
type EarlierSnapshot struct {
	Service     string       `json:"service"`
	Slice       int          `json:"slice"`
	Successions []Succession `json:"successions"`
}

// ServiceSnapshot holds a service's slices, indexed by slice number.
type ServiceSnapshot struct {
	Service string  `json:"service"`
	Slices  []Slice `json:"slices"`
}

// MarkSnapshot is one mark and the zone, host or server that it applies to.
type MarkSnapshot struct {
	Subject record.Subject `json:"subject"`
	Name    string         `json:"name"`
	Mark    Mark           `json:"mark"`
}

// Snapshot returns a copy of the table.
func (t *Table) Snapshot() Snapshot {
	snapshot := Snapshot{Applied: t.applied}
	for _, session := range t.sessions {
		snapshot.Sessions = append(snapshot.Sessions, *session)
	}
	slices.SortFunc(snapshot.Sessions, func(a, b Session) int { return cmp.Compare(a.ID, b.ID) })
	for service, all := range t.services {
		snapshot.Services = append(snapshot.Services, ServiceSnapshot{service, slices.Clone(all)})
	}
	slices.SortFunc(snapshot.Services, func(a, b ServiceSnapshot) int { return cmp.Compare(a.Service, b.Service) })
	for key, mark := range t.marks {
		snapshot.Marks = append(snapshot.Marks, MarkSnapshot{key.Subject, key.Name, mark})
	}
	for key, earlier := range t.replaced {
		snapshot.Earlier = append(snapshot.Earlier, EarlierSnapshot{key.Service, key.Slice, earlier})
	}
	slices.SortFunc(snapshot.Earlier, func(a, b EarlierSnapshot) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Slice, b.Slice))
	})
	slices.SortFunc(snapshot.Marks, func(a, b MarkSnapshot) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Name, b.Name))
	})
	return snapshot
}

// ErrBadSnapshot reports a snapshot that no table can have produced.
var ErrBadSnapshot = errors.New("ownership: bad snapshot")

// Restore returns the table that a snapshot describes. Its error is ErrBadSnapshot.
func Restore(snapshot Snapshot) (*Table, error) {
	t := NewTable()
	t.applied = snapshot.Applied
	for _, session := range snapshot.Sessions {
		if session.ID > snapshot.Applied || session.ID == 0 {
			return nil, errors.Wrapf(ErrBadSnapshot, "session %d is zero or above the applied offset %d", session.ID, snapshot.Applied)
		}
		t.sessions[session.ID] = &session
		t.latestByAddr[session.Addr] = max(t.latestByAddr[session.Addr], session.ID)
	}
	for _, service := range snapshot.Services {
		if len(service.Slices) > MaxSlices {
			return nil, errors.Wrapf(ErrBadSnapshot, "a service has %d slices, more than MaxSlices", len(service.Slices))
		}
		t.services[service.Service] = slices.Clone(service.Slices)
		t.indexOwners(service)
	}
	for _, earlier := range snapshot.Earlier {
		t.replaced[SliceKey{earlier.Service, earlier.Slice}] = earlier.Successions
	}
	for _, mark := range snapshot.Marks {
		t.marks[MarkKey{mark.Subject, mark.Name}] = mark.Mark
	}
	return t, nil
}

// indexOwners enters the service's slices into the index of slices by owner.
func (t *Table) indexOwners(service ServiceSnapshot) {
	for number, slice := range service.Slices {
		if slice.Owner == 0 {
			continue
		}
		if t.slicesByOwner[slice.Owner] == nil {
			t.slicesByOwner[slice.Owner] = make(map[SliceKey]struct{})
		}
		t.slicesByOwner[slice.Owner][SliceKey{service.Service, number}] = struct{}{}
	}
}
