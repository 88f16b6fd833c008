// Package overview implements admin.System for a host. It reads the host's view of the
// log, its list of hosts, its load data and its events, and publishes operator records
// through the host's publisher. A host creates one Overview and serves the
// administration API from it.
//
// Everything but History is answered from memory, so it works while the log is
// unavailable but may then be outdated.
package overview

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
	"github.com/poplarcroft/poplarcroft/internal/view"
)

// reachableWithin is the time since its last answer within which a host counts as
// reachable.
const reachableWithin = 2 * time.Second

// Sources are the parts of a host that an Overview uses. All are safe for concurrent use.
type Sources struct {
	// Host is the name of this host.
	Host      string
	View      *view.View
	Log       logservice.Log
	Publisher *publish.Publisher
	Events    *timeline.Recorder
	// Members returns the known hosts, this one included, ordered by name.
	Members func() []members.Host
	// Primary returns the primary host of a session, "" if it is not known.
	Primary func(record.SessionID) string
	// Load returns the load of the backend servers as far as this host knows it.
	Load func() []admin.ServerLoad
	// Now returns the current time.
	Now func() time.Time
}

// Overview implements admin.System.
type Overview struct {
	sources Sources
}

// New returns an overview of the sources, all of which must be set.
func New(sources Sources) *Overview {
	return &Overview{sources: sources}
}

// Settings implements admin.System.
func (o *Overview) Settings() *settings.State {
	var clone *settings.State
	o.sources.View.Read(func(state *settings.State, _ *ownership.Table) {
		clone = state.Clone()
	})
	return clone
}

// Applied implements admin.System.
func (o *Overview) Applied() logservice.Offset {
	return o.sources.View.Applied()
}

// SinceLogConfirmed implements admin.System.
func (o *Overview) SinceLogConfirmed() time.Duration {
	return o.sources.Now().Sub(o.sources.View.ConfirmedAt())
}

// Publish implements admin.System.
func (o *Overview) Publish(ctx context.Context, r record.Record) (publish.Result, error) {
	return o.sources.Publisher.Publish(ctx, r)
}

// Seen implements admin.System.
func (o *Overview) Seen(id record.ID) (publish.Result, bool) {
	return o.sources.Publisher.Seen(id)
}

// Marks implements admin.System.
func (o *Overview) Marks() []admin.Mark {
	marks := []admin.Mark{}
	o.sources.View.Read(func(_ *settings.State, table *ownership.Table) {
		for key, mark := range table.Marks() {
			marks = append(marks, admin.Mark{
				Subject: key.Subject,
				Name:    key.Name,
				State:   mark.State,
				Version: mark.Version,
				Comment: mark.Comment,
			})
		}
	})
	slices.SortFunc(marks, func(a, b admin.Mark) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Name, b.Name))
	})
	return marks
}

// History implements admin.System.
func (o *Overview) History(ctx context.Context) ([]publish.HistoryEntry, error) {
	return publish.History(ctx, o.sources.Log)
}

// Owner implements admin.System.
func (o *Overview) Owner(service, key string) (admin.Owner, error) {
	values, err := o.Settings().Effective(service)
	if err != nil || !values.Keyed {
		return admin.Owner{}, errors.Mark(errors.Newf("there is no keyed service %q", service), admin.ErrNotFound)
	}
	owner := admin.Owner{
		Service: service,
		Key:     key,
		Slice:   ownership.SliceOf(key, values.Slices),
	}
	o.sources.View.Read(func(_ *settings.State, table *ownership.Table) {
		fillOwner(&owner, table)
	})
	if owner.Session != 0 {
		owner.Lead = o.sources.Primary(owner.Session)
	}
	return owner, nil
}

// fillOwner sets the session of the owner and that of the successor from the slice's
// entry in the table.
func fillOwner(owner *admin.Owner, table *ownership.Table) {
	slice := table.Slice(ownership.SliceKey{Service: owner.Service, Slice: owner.Slice})
	if session := table.Session(slice.Owner); session != nil && !session.Closed {
		owner.Session = session.ID
		owner.Server = session.Addr
		owner.Zone = session.Zone
		owner.Epoch = slice.Epoch
	}
	if session := table.Session(slice.Successor); session != nil {
		owner.Successor = session.ID
		owner.SuccessorServer = session.Addr
		owner.Moving = slice.Moving
	}
}

// Sessions implements admin.System.
func (o *Overview) Sessions() []admin.Session {
	sessions := []admin.Session{}
	o.sources.View.Read(func(_ *settings.State, table *ownership.Table) {
		for _, session := range table.OpenSessions() {
			sessions = append(sessions, admin.Session{
				ID:          session.ID,
				Service:     session.Service,
				Zone:        session.Zone,
				Server:      session.Addr,
				Incarnation: session.Incarnation,
				Lessors:     lessorNames(session.Lessors),
				Slices:      len(table.OwnedSlices(session.ID)),
				Version:     session.Version,
			})
		}
	})
	for i := range sessions {
		sessions[i].Lead = o.sources.Primary(sessions[i].ID)
	}
	return sessions
}

// lessorNames returns the host names of lessors.
func lessorNames(lessors []record.Lessor) []string {
	names := make([]string, len(lessors))
	for i, lessor := range lessors {
		names[i] = lessor.Host
	}
	return names
}

// Load implements admin.System.
func (o *Overview) Load() []admin.ServerLoad {
	return o.sources.Load()
}

// Hosts implements admin.System.
func (o *Overview) Hosts() []admin.HostStatus {
	hosts := []admin.HostStatus{}
	for _, host := range o.sources.Members() {
		hosts = append(hosts, o.statusOf(host))
	}
	return hosts
}

// statusOf returns the status of one host. This host is always reachable; another one is
// judged by its last answer.
func (o *Overview) statusOf(host members.Host) admin.HostStatus {
	status := admin.HostStatus{
		Host:        host.Name,
		Zone:        host.Zone,
		Incarnation: host.Incarnation,
		State:       string(host.State),
	}
	if host.Name == o.sources.Host {
		status.Reachable = true
		status.Applied = o.Applied()
		return status
	}
	sinceAnswer := o.sources.Now().Sub(host.Answered)
	status.Reachable = sinceAnswer < reachableWithin
	status.Applied = host.Applied
	if !host.Answered.IsZero() {
		status.AnsweredMS = sinceAnswer.Milliseconds()
	}
	return status
}

// Events implements admin.System.
func (o *Overview) Events(since uint64) []timeline.Event {
	return o.sources.Events.Since(since)
}
