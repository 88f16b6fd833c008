// Package planner computes the changes that the ownership table needs: sessions
// to open, slices to assign, successors to name, moves to start, lessors to
// replace and sessions to recover.
//
// Package host calls it on every host and appends the resulting records to the
// log. All functions are pure, so every host computes the same plan from the same
// table. When several hosts write it, package ownership accepts the first and
// rejects the others because they are based on an outdated version. The functions
// never fail: they return false or nothing if no change is needed or possible now,
// and the caller asks again later.
package planner

import (
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/placement"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// MaxConcurrentMoves is the largest number of a service's slices that move at the
// same time.
const MaxConcurrentMoves = 8

// PlanSlices returns the plan for a keyed service: owners for slices that have
// none, successors for slices that lack a suitable one, and moves towards an even
// distribution. It returns false if no change is needed.
func PlanSlices(service settings.Service, table *ownership.Table) (record.Plan, bool) {
	p := newSlicePlanner(service, table)
	if len(p.servers) == 0 {
		return record.Plan{}, false
	}
	plan := record.Plan{Service: service.Name}
	for number := range service.Values.Slices {
		if change, needed := p.planSlice(number); needed {
			plan.Slices = append(plan.Slices, change)
		}
	}
	return plan, len(plan.Slices) > 0
}

// slicePlanner holds the input of one plan and its target. current, wanted and
// successors are indexed by slice number.
type slicePlanner struct {
	service string
	table   *ownership.Table
	servers []placement.Server
	// current holds the owners whose sessions are open, wanted the owners after all
	// moves.
	current []record.SessionID
	wanted  []record.SessionID
	// successors holds the successors to name.
	successors []record.SessionID
	// moving counts the moves under way and those that the plan starts.
	moving int
}

func newSlicePlanner(service settings.Service, table *ownership.Table) *slicePlanner {
	p := &slicePlanner{service: service.Name, table: table}
	p.servers = PlacementServers(service, table)
	count := service.Values.Slices
	p.current = make([]record.SessionID, count)
	afterMoves := make([]record.SessionID, count)
	namedSuccessors := make([]record.SessionID, count)
	for number := range count {
		key := ownership.SliceKey{Service: service.Name, Slice: number}
		if !table.HasOwner(key) {
			continue
		}
		slice := table.Slice(key)
		p.current[number] = slice.Owner
		afterMoves[number] = slice.Owner
		namedSuccessors[number] = slice.Successor
		if table.IsMoving(slice) {
			p.moving++
			afterMoves[number] = slice.Successor
		}
	}
	p.wanted = placement.Assign(count, p.servers, afterMoves)
	owners := make([]record.SessionID, count)
	for number, owner := range p.current {
		owners[number] = owner
		if owner == placement.None {
			owners[number] = p.wanted[number]
		}
	}
	p.successors = placement.Successors(owners, p.servers, namedSuccessors)
	return p
}

// PlacementServers returns the open sessions of the service. A session is leaving
// if the settings no longer list its server, or if its server or zone carries a
// mark other than active.
func PlacementServers(service settings.Service, table *ownership.Table) []placement.Server {
	listed := make(map[string]bool)
	for _, zone := range service.Zones {
		for _, addr := range zone.Servers {
			listed[addr] = true
		}
	}
	var all []placement.Server
	for _, session := range table.OpenSessions() {
		if session.Service != service.Name {
			continue
		}
		all = append(all, placement.Server{
			ID:      session.ID,
			Zone:    session.Zone,
			Leaving: !listed[session.Addr] || isLeaving(session, table),
		})
	}
	return all
}

// isLeaving reports whether the session's zone or server is marked leaving or lost.
func isLeaving(session *ownership.Session, table *ownership.Table) bool {
	return table.Mark(record.SubjectZone, session.Zone).State != record.MarkActive ||
		table.Mark(record.SubjectServer, session.Addr).State != record.MarkActive
}

// planSlice returns the change that one slice needs. It returns false if the slice
// needs none, or if the change must wait for a session or for other moves.
func (p *slicePlanner) planSlice(number int) (record.SlicePlan, bool) {
	slice := p.table.Slice(ownership.SliceKey{Service: p.service, Slice: number})
	change := record.SlicePlan{Slice: number, Base: slice.Version}
	switch {
	case p.current[number] == placement.None:
		change.Owner = p.wanted[number]
		change.Successor = p.successors[number]
		return change, change.Owner != placement.None
	case p.table.IsMoving(slice):
		return change, false
	case slice.Moving: // to a session that has closed: name another one
		change.Successor = p.successors[number]
		change.Move = true
		return change, change.Successor != placement.None
	case p.wanted[number] != p.current[number] && p.wanted[number] != placement.None:
		if p.moving >= MaxConcurrentMoves {
			return change, false // starts once other moves have completed
		}
		p.moving++
		change.Successor = p.wanted[number]
		change.Move = true
		return change, true
	}
	change.Successor = p.successors[number]
	return change, change.Successor != slice.Successor
}
