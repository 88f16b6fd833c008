package planner

import (
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// lessorCount is the number of lessors of a session if enough hosts are live.
const lessorCount = 3

// ServerWithoutSession is a backend server of a keyed service that has no open
// session.
type ServerWithoutSession struct {
	Service string
	Zone    string
	Addr    string
	// Previous is the server's latest session, which is closed. It is zero if the
	// server has never had one.
	Previous record.SessionID
}

// ServersWithoutSession returns the servers in the settings that need a session.
// Servers that are marked leaving or lost, or whose zone is, need none.
func ServersWithoutSession(state *settings.State, table *ownership.Table) []ServerWithoutSession {
	var missing []ServerWithoutSession
	for _, service := range state.Services() {
		if !service.Values.Keyed {
			continue
		}
		for _, zone := range service.Zones {
			missing = append(missing, withoutSessionIn(service.Name, zone, table)...)
		}
	}
	return missing
}

// withoutSessionIn returns the servers of one zone that need a session.
func withoutSessionIn(service string, zone settings.Zone, table *ownership.Table) []ServerWithoutSession {
	var missing []ServerWithoutSession
	if table.Mark(record.SubjectZone, zone.Name).State != record.MarkActive {
		return nil
	}
	for _, addr := range zone.Servers {
		if table.Mark(record.SubjectServer, addr).State != record.MarkActive {
			continue
		}
		latest := table.Latest(addr)
		if latest != nil && !latest.Closed {
			continue
		}
		server := ServerWithoutSession{Service: service, Zone: zone.Name, Addr: addr}
		if latest != nil {
			server.Previous = latest.ID
		}
		missing = append(missing, server)
	}
	return missing
}

// ChooseLessors returns up to three lessors for the server at addr in the zone.
// Live lessors in keep are retained, then hosts of the zone come first, then hosts
// of other zones. If the zone has a single live host, no host of another zone is
// added: the zone can then go on serving when it is partitioned from the others.
func ChooseLessors(addr, zone string, live []members.Host, keep []record.Lessor) []record.Lessor {
	var sameZone, otherZones []members.Host
	for _, host := range members.Rank(addr, live) {
		if host.Zone == zone {
			sameZone = append(sameZone, host)
		} else {
			otherZones = append(otherZones, host)
		}
	}
	candidates := sameZone
	if len(sameZone) != 1 {
		candidates = append(candidates, otherZones...)
	}
	chosen := make([]record.Lessor, 0, lessorCount)
	for _, lessor := range keep {
		if len(chosen) < lessorCount && isLiveLessor(lessor, live) {
			chosen = append(chosen, lessor)
		}
	}
	for _, host := range candidates {
		if len(chosen) < lessorCount && !containsHost(chosen, host.Name) {
			chosen = append(chosen, lessorOf(host))
		}
	}
	return chosen
}

func lessorOf(host members.Host) record.Lessor {
	return record.Lessor{Host: host.Name, Incarnation: host.Incarnation, PeerAddr: host.PeerAddr}
}

// containsHost reports whether the host is among the lessors.
func containsHost(lessors []record.Lessor, host string) bool {
	for _, lessor := range lessors {
		if lessor.Host == host {
			return true
		}
	}
	return false
}

// isLiveLessor reports whether the lessor's incarnation of its host is live. A
// restarted host is no longer a lessor.
func isLiveLessor(lessor record.Lessor, live []members.Host) bool {
	for _, host := range live {
		if host.Name == lessor.Host && host.Incarnation == lessor.Incarnation {
			return true
		}
	}
	return false
}

// ReplaceLessors returns the record that replaces or adds one lessor of a session
// that has lost a lessor or has too few. It returns false if none is needed, if the
// previous replacement is not sealed, or if no quorum of the present lessors is live
// to seal the new one. A lost lessor without a substitute stays in the list, because
// it may return.
func ReplaceLessors(session *ownership.Session, live []members.Host) (record.Lessors, bool) {
	if !session.Sealed() || !hasQuorum(session.Lessors, live) {
		return record.Lessors{}, false
	}
	next := replaceOne(session.Lessors, ChooseLessors(session.Addr, session.Zone, live, session.Lessors))
	if len(next) < len(session.Lessors) || sameLessors(next, session.Lessors) {
		return record.Lessors{}, false
	}
	return record.Lessors{Session: session.ID, Base: session.Version, Lessors: next}, true
}

// replaceOne returns the present lessors with at most one of them replaced or one
// added, as a step towards the wanted ones. The new set then contains a quorum of
// the present one.
func replaceOne(present, wanted []record.Lessor) []record.Lessor {
	added := slices.IndexFunc(wanted, func(l record.Lessor) bool { return !slices.Contains(present, l) })
	if added < 0 {
		return present
	}
	next := slices.Clone(present)
	lost := slices.IndexFunc(next, func(l record.Lessor) bool { return !slices.Contains(wanted, l) })
	if lost < 0 {
		return append(next, wanted[added])
	}
	next[lost] = wanted[added]
	return next
}

// sameLessors reports whether two lists hold the same lessors in any order.
func sameLessors(a, b []record.Lessor) bool {
	if len(a) != len(b) {
		return false
	}
	for _, lessor := range a {
		if !slices.Contains(b, lessor) {
			return false
		}
	}
	return true
}
