package leader

import (
	"maps"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
)

// hostID identifies an incarnation of a host.
type hostID struct {
	name, incarnation string
}

// idOf returns the identity of a listed or registered incarnation.
func idOf(host assign.Host) hostID {
	return hostID{host.Name, host.Incarnation}
}

// incarnationGroup holds the incarnations of one host that may run.
type incarnationGroup struct {
	// listed holds those that the former plan lists.
	listed []assign.Host
	// registered is the one whose registration was read last, or nil. Its record may have been written late, so it
	// may have ended before a listed one began.
	registered *assign.Host
}

// groupOf returns the group of a host, which it creates if necessary.
func groupOf(byName map[string]*incarnationGroup, name string) *incarnationGroup {
	group := byName[name]
	if group == nil {
		group = &incarnationGroup{}
		byName[name] = group
	}
	return group
}

// lists reports whether the former plan lists the incarnation.
func (g *incarnationGroup) lists(host assign.Host) bool {
	return slices.ContainsFunc(g.listed, host.SameIncarnation)
}

// all returns the listed incarnations and the registered one.
func (g *incarnationGroup) all() []assign.Host {
	if g.registered == nil || g.lists(*g.registered) {
		return g.listed
	}
	return append(slices.Clone(g.listed), *g.registered)
}

// incarnations is what a leader knows of the incarnations of hosts from their messages in this term. An incarnation has ended once
// another one of the same host is known to have run at its address later: a process listens at its address
// from before it registers until it ends, and only one can. That another one has registered proves nothing. The
// leader's lock guards it.
type incarnations struct {
	seen map[hostID]sighting
	// ended holds the incarnations that have ended, with the one that took the address.
	ended map[hostID]ending
	// retiredSince is when this leader first found a listed incarnation to be retired.
	retiredSince map[hostID]time.Duration
}

// sighting is what an incarnation has shown of itself.
type sighting struct {
	// at is when it last sent a report, or was listed.
	at time.Duration
	// plan is the newest plan after whose write the incarnation is known to have run.
	plan assign.Fence
	// connections is the number of the newest connection to a server that the incarnation has reported.
	connections continuity.Number
}

// ending says by which incarnation an address was taken, and when this host learned of it.
type ending struct {
	by string
	at time.Duration
}

// endedRetention is how long an ended incarnation that is neither listed nor registered is remembered, at least as long as a
// release that waits for it may last.
const endedRetention = 30 * time.Second

// newIncarnations returns the knowledge with which a term begins.
func newIncarnations() incarnations {
	return incarnations{
		seen: make(map[hostID]sighting), ended: make(map[hostID]ending), retiredSince: make(map[hostID]time.Duration),
	}
}

// ranAt records that an incarnation has shown at the given time that it ran after the write of a plan.
func (in *incarnations) ranAt(id hostID, now time.Duration, plan assign.Fence) {
	known := in.seen[id]
	known.at, known.plan = now, max(known.plan, plan)
	in.seen[id] = known
}

// connected records the number of the newest connection to a server that an incarnation has opened.
func (in *incarnations) connected(id hostID, newest continuity.Number) {
	known := in.seen[id]
	known.connections = max(known.connections, newest)
	in.seen[id] = known
}

// addressTaken records that a call to a listed incarnation was answered by another one.
func (in *incarnations) addressTaken(id hostID, by string, now time.Duration) (news bool) {
	if _, known := in.ended[id]; known {
		return false
	}
	in.ended[id] = ending{by, now}
	return true
}

// findEnded returns the incarnations of a host of which it finds that they have ended: those at whose address another one ran after
// they had begun to listen there, which is before a plan listed them.
func (in *incarnations) findEnded(group *incarnationGroup, now time.Duration) (found []assign.Host) {
	all := group.all()
	if len(all) < 2 {
		return nil
	}
	for _, host := range all {
		for _, other := range all {
			taken := host.Addr == other.Addr && host.Addr != "" && in.ranAfter(other, host) && !in.ranAfter(host, other)
			if taken && in.addressTaken(idOf(host), other.Incarnation, now) {
				found = append(found, host)
			}
		}
	}
	return found
}

// ranAfter reports whether the first of two incarnations is known to have run after a plan had listed the second.
func (in *incarnations) ranAfter(first, second assign.Host) bool {
	return second.Since != 0 && in.seen[idOf(first)].plan >= second.Since
}

// hasEnded reports whether the incarnation is known to have ended.
func (in *incarnations) hasEnded(host assign.Host) bool {
	_, ended := in.ended[idOf(host)]
	return ended
}

// listed records that the next plan lists an incarnation anew.
func (in *incarnations) listed(id hostID, now time.Duration) {
	in.ranAt(id, now, 0)
	in.notRetired(id)
}

// notRetired records that the present plan does not retire an incarnation.
func (in *incarnations) notRetired(id hostID) {
	delete(in.retiredSince, id)
}

// retiredFor returns how long this leader has known that a plan in force retires the incarnation.
func (in *incarnations) retiredFor(id hostID, now time.Duration) time.Duration {
	since, known := in.retiredSince[id]
	if !known {
		in.retiredSince[id] = now
		return 0
	}
	return now - since
}

// silentFor returns how long ago a listed incarnation last sent a report. For one that has sent none, the time counts from when this
// leader first asks.
func (in *incarnations) silentFor(host assign.Host, now time.Duration) time.Duration {
	seen, known := in.seen[idOf(host)]
	if !known {
		in.ranAt(idOf(host), now, 0)
		return 0
	}
	return now - seen.at
}

// prefer reports whether the first of two listed incarnations is rather the one that runs: one that has not ended, is not retired, or
// has sent the later report.
func (in *incarnations) prefer(first, second assign.Host) bool {
	switch {
	case in.hasEnded(first) != in.hasEnded(second):
		return in.hasEnded(second)
	case first.Retired != second.Retired:
		return second.Retired
	}
	return in.seen[idOf(first)].at > in.seen[idOf(second)].at
}

// forget forgets the incarnations that are neither listed nor registered.
func (in *incarnations) forget(byName map[string]*incarnationGroup, now time.Duration) {
	isKnown := func(id hostID) bool {
		group := byName[id.name]
		return group != nil && slices.ContainsFunc(group.all(), func(host assign.Host) bool { return host.Incarnation == id.incarnation })
	}
	maps.DeleteFunc(in.ended, func(id hostID, e ending) bool { return now-e.at > endedRetention && !isKnown(id) })
	if len(in.seen) <= 2*len(byName) {
		return
	}
	maps.DeleteFunc(in.seen, func(id hostID, s sighting) bool { return now-s.at > endedRetention && !isKnown(id) })
	maps.DeleteFunc(in.retiredSince, func(id hostID, _ time.Duration) bool { return !isKnown(id) })
}
