package planner

import (
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// lessorCount is the number of lessors of a session where enough hosts live.
const lessorCount = 3

// Unopened is a backend server of a keyed service without an open session.
type Unopened struct {
	Service string
	Zone    string
	Addr    string
	// Previous is the server's latest session, which is closed, or zero.
	Previous record.SessionID
}

// ToOpen returns the listed servers that need a session. Marked ones do not.
func ToOpen(state *settings.State, table *ownership.Table) []Unopened {
	var missing []Unopened
	for _, service := range state.Services() {
		if !service.Values.Keyed {
			continue
		}
		for _, zone := range service.Zones {
			missing = append(missing, toOpenIn(service.Name, zone, table)...)
		}
	}
	return missing
}

func toOpenIn(service string, zone settings.Zone, table *ownership.Table) []Unopened {
	var missing []Unopened
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
		server := Unopened{Service: service, Zone: zone.Name, Addr: addr}
		if latest != nil {
			server.Previous = latest.ID
		}
		missing = append(missing, server)
	}
	return missing
}

// ChooseLessors returns the lessors for a server in a zone: hosts of that zone
// first. A zone with two hosts takes a third elsewhere. A zone with a single
// host uses it alone, so that it can go on when it is cut off.
func ChooseLessors(addr, zone string, live []members.Host, keep []record.Lessor) []record.Lessor {
	var near, far []members.Host
	for _, host := range members.Rank(addr, live) {
		if host.Zone == zone {
			near = append(near, host)
		} else {
			far = append(far, host)
		}
	}
	candidates := near
	if len(near) != 1 {
		candidates = append(candidates, far...)
	}
	chosen := make([]record.Lessor, 0, lessorCount)
	for _, lessor := range keep {
		if len(chosen) < lessorCount && isLiveLessor(lessor, live) {
			chosen = append(chosen, lessor)
		}
	}
	for _, host := range candidates {
		if len(chosen) < lessorCount && !names(chosen, host.Name) {
			chosen = append(chosen, lessorOf(host))
		}
	}
	return chosen
}

func lessorOf(host members.Host) record.Lessor {
	return record.Lessor{Host: host.Name, Incarnation: host.Incarnation, PeerAddr: host.PeerAddr}
}

func names(lessors []record.Lessor, host string) bool {
	for _, lessor := range lessors {
		if lessor.Host == host {
			return true
		}
	}
	return false
}

func isLiveLessor(lessor record.Lessor, live []members.Host) bool {
	for _, host := range live {
		if host.Name == lessor.Host && host.Incarnation == lessor.Incarnation {
			return true
		}
	}
	return false
}

// ReplaceLessors returns the replacement for a session that has lost a lessor,
// or has fewer than it should: one lessor at a time. It returns false where none is
// needed, the previous replacement is not sealed, or no quorum of the present
// lessors answers that could seal it. A lessor without a substitute stays: it may return.
func ReplaceLessors(session *ownership.Session, live []members.Host) (record.Lessors, bool) {
	if !session.Sealed() || !hasQuorum(session.Lessors, live) {
		return record.Lessors{}, false
	}
	next := oneChange(session.Lessors, ChooseLessors(session.Addr, session.Zone, live, session.Lessors))
	if len(next) < len(session.Lessors) || sameLessors(next, session.Lessors) {
		return record.Lessors{}, false
	}
	return record.Lessors{Session: session.ID, Base: session.Version, Lessors: next}, true
}

// oneChange returns the present lessors with at most one of them replaced, or
// one added, on the way to the wanted ones. A quorum of both sets is then shared.
func oneChange(present, wanted []record.Lessor) []record.Lessor {
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
