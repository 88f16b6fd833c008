package leader

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// admissionInterval is the least time between two plans that list new hosts. Many hosts may start at once, and each plan
// goes to all hosts.
const admissionInterval = 250 * time.Millisecond

// retireTimeout is how long a host may send no report before it is retired, that is, before it
// may no longer renew grants.
const retireTimeout = 5 * time.Second

// nextHosts returns the hosts of the next plan: of each host, the incarnation that may renew grants, and the others, retired,
// until it is proved that they renew nothing any more. Without admit, incarnations that the former plan does not list have to
// wait, and those that have ended stay. The caller holds the lock.
func (l *Leader) nextHosts(former []assign.Host, version assign.Fence, admit bool, now time.Duration) []assign.Host {
	self := l.Self
	self.Led = true
	self.Era = version.Era()
	byName := make(map[string]*incarnationGroup, len(former))
	for _, host := range former {
		group := groupOf(byName, host.Name)
		group.listed = append(group.listed, host)
	}
	for _, host := range l.Hosts() {
		// After a restore of the log, a registration of an older era may be of an incarnation that another one has replaced.
		if host.Era >= version.Era() {
			groupOf(byName, host.Name).registered = &host
		}
	}
	groupOf(byName, self.Name).registered = &self
	l.incarnations.ranAt(idOf(self), now, max(version, 1)-1)
	l.incarnations.forget(byName, now)
	hosts := make([]assign.Host, 0, len(former))
	for _, group := range byName {
		for _, host := range l.incarnations.findEnded(group, now) {
			l.logEnded(host)
		}
		hosts = append(hosts, l.nextIncarnations(group, version, admit, now)...)
	}
	l.markCutOff(hosts)
	slices.SortFunc(hosts, compareHosts)
	return hosts
}

// compareHosts orders hosts by name, and incarnations of one host so that those that are not retired come first.
func compareHosts(a, b assign.Host) int {
	if order := strings.Compare(a.Name, b.Name); order != 0 {
		return order
	}
	if a.Retired != b.Retired {
		if b.Retired {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

// nextIncarnations returns the incarnations of one host that the next plan lists.
func (l *Leader) nextIncarnations(group *incarnationGroup, version assign.Fence, admit bool, now time.Duration) []assign.Host {
	var next []assign.Host
	current := l.current(group, admit)
	if current != nil && !group.lists(*current) {
		host := *current
		host.Since = version
		l.incarnations.listed(idOf(host), now)
		next = append(next, host)
	}
	for _, host := range group.listed {
		if current != nil && host.SameIncarnation(*current) {
			next = l.appendCurrent(next, host, *current, now)
			continue
		}
		if l.incarnations.hasEnded(host) && admit {
			continue
		}
		next = l.appendRetired(next, host, now)
	}
	return next
}

// current returns the incarnation of a host that may renew grants: the one that has registered last, unless that has ended.
// One that has ended stays until another one may be listed, so that one plan and not two makes the change. It returns nil if there is none.
func (l *Leader) current(group *incarnationGroup, admit bool) *assign.Host {
	registered := group.registered
	if registered != nil && !l.incarnations.hasEnded(*registered) &&
		(admit || group.lists(*registered) || registered.Name == l.Self.Name) {
		return registered
	}
	var current *assign.Host
	for i := range group.listed {
		host := &group.listed[i]
		if current == nil || l.incarnations.prefer(*host, *current) {
			current = host
		}
	}
	return current
}

// appendCurrent appends the listed incarnation that may renew grants. It is retired while it sends no reports, and left out
// once it must have stopped renewing and its last grants have expired.
func (l *Leader) appendCurrent(next []assign.Host, host, registered assign.Host, now time.Duration) []assign.Host {
	// A leader of an older build writes the hosts without the fields that it does not know.
	host.Weight, host.KnownOrder = registered.Weight, registered.KnownOrder
	if host.Name == l.Self.Name {
		host.Led = true
	} else if l.incarnations.silentFor(host, now) > retireTimeout {
		return l.appendRetired(next, host, now)
	}
	host.Retired = false
	l.incarnations.notRetired(idOf(host))
	return append(next, host)
}

// appendRetired appends a listed incarnation as retired, unless it has been retired for so long that it must have stopped
// renewing and its last grants have expired.
func (l *Leader) appendRetired(next []assign.Host, host assign.Host, now time.Duration) []assign.Host {
	if !host.Retired {
		l.incarnations.notRetired(idOf(host))
		host.Retired = true
		return append(next, host)
	}
	if l.incarnations.retiredFor(idOf(host), now) > l.Timing.RenewalsStopWithin()+l.Timing.MaxGrantLifetime() {
		return next
	}
	return append(next, host)
}

// mayAdmit reports whether the next plan may list new incarnations of hosts, and leave out those that have ended.
func (l *Leader) mayAdmit(now time.Duration) bool {
	return l.admittedAt == 0 || now-l.admittedAt >= admissionInterval
}

// noteAdmission records when a plan was written that lists new incarnations, or no longer lists some.
func (l *Leader) noteAdmission(changes []hostChange) {
	if slices.ContainsFunc(changes, func(change hostChange) bool { return change.before == nil || change.after == nil }) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.admittedAt = l.Clock()
	}
}

// markCutOff marks the hosts that reach no server, unless that is so for all of them: then the servers are
// down. If this host is one of them, another one may renew grants in all zones in its place.
func (l *Leader) markCutOff(hosts []assign.Host) {
	reaching := -1
	allowed := false
	for i := range hosts {
		host := &hosts[i]
		host.CutOff = l.CutOff(host.Name)
		if host.CutOff || host.Retired {
			continue
		}
		if reaching < 0 || host.Name < hosts[reaching].Name {
			reaching = i
		}
		allowed = allowed || host.Led
	}
	if reaching < 0 {
		for i := range hosts {
			hosts[i].CutOff = false
		}
		return
	}
	if !allowed {
		hosts[reaching].Led = true
	}
}
