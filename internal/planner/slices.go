// Package planner computes what the table of ownership lacks: sessions to
// open, slices to assign, successors to name, moves to begin and lessors to replace.
//
// Its functions are pure. Every host computes the same plan from the same table;
// the log's fold keeps the first of equal plans and refuses the others.
package planner

import (
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/placement"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// MaxMoving is the largest number of a service's slices that move at a time.
const MaxMoving = 8

// Slices returns the plan for a keyed service: owners for slices that have
// none, successors where one is missing, and moves towards an even share. It
// returns false where nothing is to be done.
func Slices(service settings.Service, table *ownership.Table) (record.Plan, bool) {
	p := newSlicePlanner(service, table)
	if len(p.servers) == 0 {
		return record.Plan{}, false
	}
	plan := record.Plan{Service: service.Name}
	for number := range service.Values.Slices {
		if change, needed := p.change(number); needed {
			plan.Slices = append(plan.Slices, change)
		}
	}
	return plan, len(plan.Slices) > 0
}

type slicePlanner struct {
	service    string
	table      *ownership.Table
	servers    []placement.Server
	current    []record.SessionID
	wanted     []record.SessionID
	successors []record.SessionID
	moving     int
}

func newSlicePlanner(service settings.Service, table *ownership.Table) *slicePlanner {
	p := &slicePlanner{service: service.Name, table: table}
	p.servers = Servers(service, table)
	count := service.Values.Slices
	p.current = make([]record.SessionID, count)
	afterMoves := make([]record.SessionID, count)
	named := make([]record.SessionID, count)
	for number := range count {
		key := ownership.SliceKey{Service: service.Name, Slice: number}
		if !table.HasOwner(key) {
			continue
		}
		slice := table.Slice(key)
		p.current[number] = slice.Owner
		afterMoves[number] = slice.Owner
		named[number] = slice.Successor
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
	p.successors = placement.Successors(owners, p.servers, named)
	return p
}

// Servers returns the open sessions of the service. One that its settings no longer
// list, or that is marked, is leaving.
func Servers(service settings.Service, table *ownership.Table) []placement.Server {
	listed := make(map[string]bool)
	for _, zone := range service.Zones {
		for _, addr := range zone.Servers {
			listed[addr] = true
		}
	}
	var all []placement.Server
	for _, session := range table.Sessions() {
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

func isLeaving(session *ownership.Session, table *ownership.Table) bool {
	return table.Mark(record.SubjectZone, session.Zone).State != record.MarkActive ||
		table.Mark(record.SubjectServer, session.Addr).State != record.MarkActive
}

// change returns what one slice needs.
func (p *slicePlanner) change(number int) (record.SlicePlan, bool) {
	slice := p.table.Slice(ownership.SliceKey{Service: p.service, Slice: number})
	change := record.SlicePlan{Slice: number, Base: slice.Version}
	switch {
	case p.current[number] == placement.None:
		change.Owner = p.wanted[number]
		change.Successor = p.successors[number]
		return change, change.Owner != placement.None
	case p.table.IsMoving(slice):
		return change, false
	case slice.Moving:
		change.Successor = p.successors[number]
		change.Move = true
		return change, change.Successor != placement.None
	case p.wanted[number] != p.current[number] && p.wanted[number] != placement.None:
		if p.moving >= MaxMoving {
			return change, false
		}
		p.moving++
		change.Successor = p.wanted[number]
		change.Move = true
		return change, true
	}
	change.Successor = p.successors[number]
	return change, change.Successor != slice.Successor
}
