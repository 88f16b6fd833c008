// Package assign defines the plan and computes its next version. The plan says which backend
// server owns which key range, under which fencing token, and which hosts may renew the grants.
// A grant is a lease on a key range. Package leader calls Reconcile and writes the result;
// packages renew and front read the newest plan from Current.
//
// The plan is stored as a single record. A host replaces the whole record with a conditional
// write, so when several hosts write at once, one write succeeds and the others are rejected.
// The fencing token of a change is derived from the position of the record in the log, so it is
// higher than all earlier ones, also after the log has been restored from an older copy.
//
// Safety: a range moves from one server to another only through the phase Releasing, in which
// no host renews it. It leaves this phase only with a Proof that the former owner no longer holds it.
// Ending the phase early would give a key two owners. Renewing one grant from several hosts is
// harmless.
package assign

import (
	"math"
	"reflect"
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/continuity"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// Fence is a fencing token: it orders the grants of a key. A server refuses a grant whose token
// is lower than one that it has seen for the key.
type Fence uint64

// MaxFence is above the fencing tokens of all plans.
const MaxFence = Fence(math.MaxUint64)

// fenceOffsetBits is the number of bits of a fencing token that hold the offset.
const fenceOffsetBits = 32

// FenceAt returns the fencing token of the plan that is stored at an offset of the log, written in
// the era with the given number. A restore of the log begins a new era and gives offsets out again,
// so tokens are ordered by era first. Tokens of an era begin at one, since zero stands for the
// empty plan.
func FenceAt(era, offset uint64) Fence {
	return Fence(era<<fenceOffsetBits | (offset + 1))
}

// Era returns the number of the era in which the token was issued.
func (f Fence) Era() uint64 {
	return uint64(f) >> fenceOffsetBits
}

// Offset returns the offset of the token's plan. The empty plan has none.
func (f Fence) Offset() uint64 {
	return uint64(f)&(1<<fenceOffsetBits-1) - 1
}

// Host is one incarnation (one run of the process) of a host that may renew grants.
type Host struct {
	Name string `json:"name"`
	// Incarnation is a new random value at each start of the process.
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	// Addr is the address at which the host serves calls of other hosts.
	Addr string `json:"addr"`
	// Since is the version of the plan that first listed this incarnation. The host renews no
	// grants with a lower fencing token: their server may have restarted, and its new
	// incarnation must not get a grant that was meant for the former one.
	Since Fence `json:"since"`
	// Era is the number of the era of the log in which this incarnation registered last. A restored
	// log may bring back the registration of an older incarnation, which is of an older era.
	Era uint64 `json:"era,omitempty"`
	// Led is set if this incarnation may have renewed grants in all zones, since it has been leader or
	// has renewed in place of a leader that was cut off.
	Led bool `json:"led,omitempty"`
	// CutOff is set while the host reaches no server. It renews no grants then, but may have done so before.
	CutOff bool `json:"cut_off,omitempty"`
	// Capacity is the CPU capacity of the host, in cores. Larger hosts are preferred as relays.
	Capacity float64 `json:"capacity,omitempty"`
	// Weight is the capacity of the host for requests, in units of 0.16 cores or 10 Mbit/s of its link,
	// whichever is less. Zero means that it is not known. It is used with OrderByWeight.
	Weight float64 `json:"weight,omitempty"`
	// KnownOrder is the newest order of hosts that the host's build knows.
	KnownOrder HostOrder `json:"known_order,omitempty"`
	// Retired is set if the incarnation may no longer renew grants, since it sends no reports or another one has registered.
	// It stays listed until it is known to have ended, or must have stopped renewing.
	Retired bool `json:"retired,omitempty"`
	// Connections is the number of the connection to a server that the host had opened last when it reported to the leader before this
	// plan was written. So all connections up to that number are older than the plan. See package renew.
	Connections continuity.Number `json:"connections,omitempty"`
	// FillsConnections is set if the host's build, as the leader, fills in Connections.
	FillsConnections bool `json:"fills_connections,omitempty"`
}

// SameHosts reports whether two plans list the same hosts. What they know of the hosts' connections does not count.
func SameHosts(a, b []Host) bool {
	return slices.EqualFunc(a, b, func(x, y Host) bool {
		x.Connections, y.Connections = 0, 0
		return x == y
	})
}

// SameIncarnation reports whether both are the same incarnation of the same host.
func (h Host) SameIncarnation(other Host) bool {
	return h.Name == other.Name && h.Incarnation == other.Incarnation
}

// Server is one incarnation of a backend server.
type Server struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
	// Born is the start time of this incarnation as the server reports it, in Unix milliseconds.
	Born int64 `json:"born"`
}

// SameIncarnation reports whether both are the same incarnation of the same server.
func (s Server) SameIncarnation(other Server) bool {
	return s.ID == other.ID && s.Born == other.Born
}

// Phase says whether a key range is free, held by a server or being released.
type Phase string

const (
	// Free means that no server holds the range.
	Free Phase = "free"
	// Held means that the range is granted to its server and the grant is renewed.
	Held Phase = "held"
	// Releasing means that the server may still hold the range, but no host renews the grant.
	Releasing Phase = "releasing"
)

// Assignment is a key range with its phase, its server and its fencing token.
type Assignment struct {
	keyrange.Range
	Phase  Phase  `json:"phase"`
	Server Server `json:"server"`
	// Fence is the fencing token of the last change of the assignment.
	Fence Fence `json:"fence"`
	// Handover is the opaque value that the former owner returned on release; it is passed to the next owner.
	Handover string `json:"handover,omitempty"`
	// Next is the ID of the server that is preferred as the next owner, or empty.
	Next string `json:"next,omitempty"`
}

// Plan is the state that all hosts agree on.
type Plan struct {
	// Leader is the host that wrote the plan.
	Leader Host `json:"leader"`
	// Hosts lists the hosts that may renew grants, and retired ones that may still be renewing, in order of their names. Of
	// several incarnations of a host, only the first can be one that is not retired.
	Hosts []Host `json:"hosts"`
	// Order is the order of the hosts for each server. It is OrderByHash while a host of the plan does
	// not know another one.
	Order HostOrder `json:"order,omitempty"`
	// Services holds the assignments of each service. They cover all keys once, in ascending order.
	Services map[string][]Assignment `json:"services"`
	// Orders is the ordinal of the position up to which the leader has read the operator records. A
	// host that has not read as far soon cancels its pending read, whose answer has probably been lost.
	Orders uint64 `json:"orders,omitempty"`
	// Era is the number of the era in which the plan was written. A restored log holds plans of
	// older eras, at offsets that other plans have had since.
	Era uint64 `json:"era,omitempty"`
	// Version is the fencing token of the plan's era and offset; zero is the empty plan.
	Version Fence `json:"-"`

	// rankings is nil for a plan that may still change.
	rankings *rankings
}

// Equal reports whether both plans say the same. What is kept to speed up look-ups does not count.
func (p Plan) Equal(other Plan) bool {
	p.rankings, other.rankings = nil, nil
	return reflect.DeepEqual(p, other)
}

// Clone returns a copy whose hosts and assignments can be changed without affecting the plan.
func (p Plan) Clone() Plan {
	services := make(map[string][]Assignment, len(p.Services))
	for name, assignments := range p.Services {
		services[name] = slices.Clone(assignments)
	}
	p.Services = services
	p.Hosts = slices.Clone(p.Hosts)
	p.rankings = nil
	return p
}

// HostCount returns the number of hosts that the plan lists. Several incarnations of a host count as one.
func (p Plan) HostCount() int {
	count := 0
	for i := range p.Hosts {
		if i == 0 || p.Hosts[i].Name != p.Hosts[i-1].Name {
			count++
		}
	}
	return count
}

// Lookup returns the assignment that contains a key of a service. It returns false if the service has none.
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

// MayRenew reports whether the plan allows the host to renew grants with the fencing token.
func (p Plan) MayRenew(host Host, fence Fence) bool {
	return slices.ContainsFunc(p.Hosts, func(h Host) bool {
		return h.SameIncarnation(host) && h.mayRenew(fence)
	})
}

// mayRenew reports whether a host that a plan lists may renew grants with the fencing token.
func (h Host) mayRenew(fence Fence) bool {
	return !h.Retired && h.Since <= fence
}

// PossibleRenewers returns the hosts that may have renewed grants of servers in the zone: the
// hosts of the zone, and all hosts that may have renewed in all zones.
func (p Plan) PossibleRenewers(zone string) []Host {
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

// ConnectionsOf returns the number of the newest connection of a host that is known to be older than the plan, or false if the
// plan's leader, of an older build, does not tell such numbers.
func (p Plan) ConnectionsOf(host Host) (continuity.Number, bool) {
	i := slices.IndexFunc(p.Hosts, host.SameIncarnation)
	if i < 0 {
		return 0, p.Leader.FillsConnections
	}
	return p.Hosts[i].Connections, p.Leader.FillsConnections
}

// ShouldRenew reports whether the host is one of the Renewers of the assignment's grant.
func (p Plan) ShouldRenew(host Host, a Assignment) bool {
	return p.RenewedBy(host)(a)
}

// RenewedBy returns a function that reports whether the host is one of the Renewers of an assignment's grant. Grants of
// other zones cost it no ranking, unless the host may renew in all zones.
func (p Plan) RenewedBy(host Host) func(Assignment) bool {
	i := slices.IndexFunc(p.Hosts, host.SameIncarnation)
	if i < 0 {
		return func(Assignment) bool { return false }
	}
	listed := p.Hosts[i]
	return func(a Assignment) bool {
		if a.Phase != Held || !listed.mayRenew(a.Fence) || a.Server.Zone != listed.Zone && !listed.Led {
			return false
		}
		return slices.ContainsFunc(p.Renewers(a), host.SameIncarnation)
	}
}

// Renewers returns the hosts that renew the grant of an assignment: the first renewersPerServer hosts of
// the server's zone that may renew it and reach servers. If the zone has none, it is the leader or, if that
// reaches no server either, hosts that may renew in all zones.
func (p Plan) Renewers(a Assignment) []Host {
	eligible := func(h Host) bool { return h.Since <= a.Fence && !h.CutOff }
	first := p.FirstHosts(a.Server, renewersPerServer, eligible)
	if len(first) > 0 {
		return first
	}
	ranked := p.RankedInAllZones(a.Server, func(h Host) bool { return h.Led && eligible(h) })
	if i := slices.IndexFunc(ranked, p.Leader.SameIncarnation); i >= 0 {
		return ranked[i : i+1]
	}
	return ranked[:min(renewersPerServer, len(ranked))]
}

// RankedHosts returns the eligible hosts of a server's zone that are not retired, in the server's
// order of preference. The order comes from rendezvous hashing, so the loss of a host changes the
// first choice only of the servers for which that host was first.
func (p Plan) RankedHosts(server Server, eligible func(Host) bool) []Host {
	return p.FirstHosts(server, len(p.Hosts), eligible)
}

// FirstHosts returns the first hosts of RankedHosts, at most n.
func (p Plan) FirstHosts(server Server, n int, eligible func(Host) bool) []Host {
	return p.firstInZone(server.Zone, server.ID, n, eligible)
}

// RankedInAllZones is RankedHosts for the hosts of all zones.
func (p Plan) RankedInAllZones(server Server, eligible func(Host) bool) []Host {
	return p.RankedFor(server.ID, eligible)
}

// RankedFor returns the eligible hosts of all zones that are not retired, in the order of preference for the
// object with the ID. IDs should be few: their rankings are kept while the hosts stay the same.
func (p Plan) RankedFor(id string, eligible func(Host) bool) []Host {
	all := p.ranked().all
	return p.first(all, all.ranking(p.Order, id), len(p.Hosts), eligible)
}

// RankedInZone is RankedFor for the hosts of one zone.
func (p Plan) RankedInZone(zone, id string) []Host {
	return p.firstInZone(zone, id, len(p.Hosts), func(Host) bool { return true })
}

// RankedByHash is RankedFor in OrderByHash, whatever the order of the plan, for any number of IDs.
func (p Plan) RankedByHash(id string, eligible func(Host) bool) []Host {
	all := p.ranked().all
	return p.first(all, rankMembers(all.members, OrderByHash, id), len(p.Hosts), eligible)
}

// ranked returns the plan's rankings, or new ones if it keeps none.
func (p Plan) ranked() *rankings {
	if p.rankings != nil {
		return p.rankings
	}
	return newRankings(p, nil)
}

// firstInZone returns the first eligible hosts of a zone in the order of preference for an ID, at most n.
func (p Plan) firstInZone(zone, id string, n int, eligible func(Host) bool) []Host {
	group, ok := p.ranked().zones[zone]
	if !ok {
		return nil
	}
	return p.first(group, group.ranking(p.Order, id), n, eligible)
}

// first returns the first eligible hosts of a group in an order, at most n.
func (p Plan) first(group *rankedGroup, ranking []uint16, n int, eligible func(Host) bool) []Host {
	var first []Host
	for _, position := range ranking {
		if len(first) == n {
			break
		}
		if host := p.Hosts[group.indices[position]]; eligible(host) {
			first = append(first, host)
		}
	}
	return first
}

// Valid reports whether the assignments of each service cover all keys exactly once, in ascending order.
func (p Plan) Valid() bool {
	for _, assignments := range p.Services {
		if !coverAllKeys(assignments) {
			return false
		}
	}
	return true
}

// coverAllKeys reports whether the assignments cover all keys exactly once, in ascending order.
func coverAllKeys(assignments []Assignment) bool {
	next := 0
	for _, a := range assignments {
		if int(a.First) != next || a.Last < a.First {
			return false
		}
		next = int(a.Last) + 1
	}
	return next == keyrange.Count
}
