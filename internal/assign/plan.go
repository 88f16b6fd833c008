// Package assign holds the plan: which backend server owns which keys, under
// which fence, and which hosts may renew the grants.
//
// The plan is one record. A host replaces it as a whole, on the condition that
// nobody else has written since, so that racing hosts get one winner. The fence of a
// change is the record's own place in the store, hence above all former ones.
//
// Safety. A range that one server holds goes to another only through the phase
// Releasing, in which nobody renews it. It leaves that phase by a Proof only; see
// there. Renewing one grant from several hosts is harmless.
package assign

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// Fence orders the grants of a key. A server refuses a grant below one that it has seen.
type Fence uint64

// FenceAt returns the fence of the plan at a place in the store.
func FenceAt(offset uint64) Fence {
	return Fence(offset + 1)
}

// Host is a host that may renew grants.
type Host struct {
	Name string `json:"name"`
	// Incarnation is drawn anew at each start of the process.
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	// Addr is where the host answers other hosts.
	Addr string `json:"addr"`
	// Since is the version of the plan that first named this life of the host. It renews
	// no older grants: their server may have begun a new life that knows nothing of them.
	Since Fence `json:"since"`
	// Led says that this life of the host has led, and so renewed grants in all zones.
	Led bool `json:"led,omitempty"`
	// Capacity is the host's share of a processor; the larger hosts read for the others.
	Capacity float64 `json:"capacity,omitempty"`
	// Retired hosts may no longer renew; they are kept until they must have noticed.
	Retired bool `json:"retired,omitempty"`
}

// Same reports whether both are the same life of the same host.
func (h Host) Same(other Host) bool {
	return h.Name == other.Name && h.Incarnation == other.Incarnation
}

// Server is one life of a backend server.
type Server struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
	// Born is the start of this life as the server tells it, in Unix milliseconds.
	Born int64 `json:"born"`
}

// SameLife reports whether both are the same life of the same server.
func (s Server) SameLife(other Server) bool {
	return s.ID == other.ID && s.Born == other.Born
}

// Phase is the state of a range.
type Phase string

const (
	// Free ranges are held by nobody.
	Free Phase = "free"
	// Held ranges are granted to their server, and renewed.
	Held Phase = "held"
	// Releasing ranges may still be held by their server; nobody renews them.
	Releasing Phase = "releasing"
)

// Assignment is the state of one range of keys.
type Assignment struct {
	keyrange.Range
	Phase  Phase  `json:"phase"`
	Server Server `json:"server"`
	// Fence is that of the last change of the assignment.
	Fence Fence `json:"fence"`
	// Handover is what the last holder gave on release, for the next one.
	Handover string `json:"handover,omitempty"`
	// Next is the ID of the server that is to hold the range after its release, if one is planned.
	Next string `json:"next,omitempty"`
}

// Plan is the whole state that hosts agree on.
type Plan struct {
	// Leader is the host that wrote the plan.
	Leader Host `json:"leader"`
	// Hosts may renew grants.
	Hosts []Host `json:"hosts"`
	// Services holds for each service all its keys, in order.
	Services map[string][]Assignment `json:"services"`
	// Orders is how far the leader has read the operators' records. A host that has not
	// read as far has a read that hangs.
	Orders uint64 `json:"orders,omitempty"`
	// Version is the fence of the plan's place in the store; zero is the empty plan.
	Version Fence `json:"-"`
}

// Clone returns a copy that shares nothing with the plan.
func (p Plan) Clone() Plan {
	services := make(map[string][]Assignment, len(p.Services))
	for name, assignments := range p.Services {
		services[name] = slices.Clone(assignments)
	}
	p.Services = services
	p.Hosts = slices.Clone(p.Hosts)
	return p
}

// Lookup returns the assignment of a key of a service.
func (p Plan) Lookup(service string, key keyrange.Key) (Assignment, bool) {
	assignments := p.Services[service]
	i, _ := slices.BinarySearchFunc(assignments, key, func(a Assignment, key keyrange.Key) int {
		if a.Last < key {
			return -1
		}
		return 1
	})
	if i == len(assignments) || !assignments[i].Contains(key) {
		return Assignment{}, false
	}
	return assignments[i], true
}

// MayRenew reports whether the host may renew grants with the fence under this plan.
func (p Plan) MayRenew(host Host, fence Fence) bool {
	return slices.ContainsFunc(p.Hosts, func(h Host) bool {
		return h.Same(host) && !h.Retired && h.Since <= fence
	})
}

// Renewers returns the hosts that may have renewed grants of servers in the zone:
// those of the zone and all that have led.
func (p Plan) Renewers(zone string) []Host {
	var renewers []Host
	for _, host := range p.Hosts {
		if host.Zone == zone || host.Led {
			renewers = append(renewers, host)
		}
	}
	return renewers
}

// renewersPerServer is the number of hosts that renew the grants of one server.
const renewersPerServer = 3

// Covers reports whether the host renews the assignment under this plan. A few hosts of
// the server's zone do, and the leader where the zone has none that may.
func (p Plan) Covers(host Host, a Assignment) bool {
	if a.Phase != Held || !p.MayRenew(host, a.Fence) {
		return false
	}
	able := p.Able(a.Server, func(h Host) bool { return h.Since <= a.Fence })
	if len(able) == 0 {
		return p.Leader.Same(host)
	}
	return slices.ContainsFunc(able[:min(renewersPerServer, len(able))], host.Same)
}

// Able returns the hosts of a server's zone that are not retired and fit, in the server's own
// order: by rendezvous hashing, so that the loss of a host changes only what it was first for.
func (p Plan) Able(server Server, fit func(Host) bool) []Host {
	var able []Host
	for _, host := range p.Hosts {
		if host.Zone == server.Zone && !host.Retired && fit(host) {
			able = append(able, host)
		}
	}
	slices.SortFunc(able, func(a, b Host) int {
		return cmp.Compare(rank(b, server), rank(a, server))
	})
	return able
}

func rank(host Host, server Server) uint64 {
	return xxhash.Sum64String(host.Name + "\x00" + server.ID)
}

// Valid reports whether each service's assignments cover all keys once, in order.
func (p Plan) Valid() bool {
	for _, assignments := range p.Services {
		if !covers(assignments) {
			return false
		}
	}
	return true
}

func covers(assignments []Assignment) bool {
	next := 0
	for _, a := range assignments {
		if int(a.First) != next || a.Last < a.First {
			return false
		}
		next = int(a.Last) + 1
	}
	return next == keyrange.Count
}
