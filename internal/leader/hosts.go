package leader

import (
	"maps"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// admissionInterval is the least time between two plans that list new hosts. Many hosts may start at once, and each plan
// goes to all hosts.
const admissionInterval = 250 * time.Millisecond

// retireTimeout is how long a host may send no report before it is retired, that is, before it
// may no longer renew grants.
const retireTimeout = 5 * time.Second

// nextHosts returns the hosts of the next plan: those of the former one and the ones registered in the
// era of the version, each in its newest incarnation, without the retired ones that must have stopped
// renewing. Without admit, other hosts that the former plan does not list have to wait. The caller holds the lock.
func (l *Leader) nextHosts(former []assign.Host, version assign.Fence, admit bool, now time.Duration) []assign.Host {
	byName := make(map[string]assign.Host)
	for _, host := range former {
		byName[host.Name] = host
	}
	self := l.Self
	self.Led = true
	self.Era = version.Era()
	for _, host := range append(l.Hosts(), self) {
		if host.Era < version.Era() {
			// After a restore of the log, this may be an incarnation that another one has replaced.
			continue
		}
		if known, ok := byName[host.Name]; ok && known.SameIncarnation(host) {
			// A leader of an older build writes the hosts without the fields that it does not know.
			known.Weight, known.KnownOrder = host.Weight, host.KnownOrder
			byName[host.Name] = known
			continue
		}
		if !admit && host.Name != self.Name {
			continue
		}
		host.Since = version
		byName[host.Name] = host
		l.lastReport[host.Name] = now
		delete(l.retiredSince, host.Name)
	}
	known := byName[self.Name]
	known.Led = true
	byName[self.Name] = known
	for name, host := range byName {
		l.updateRetired(byName, name, host, now)
	}
	l.markCutOff(byName)
	return slices.SortedFunc(maps.Values(byName), func(a, b assign.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// mayAdmit reports whether the next plan may list new hosts.
func (l *Leader) mayAdmit(now time.Duration) bool {
	return l.admittedAt == 0 || now-l.admittedAt >= admissionInterval
}

// noteAdmission records when a plan was written that lists new hosts.
func (l *Leader) noteAdmission(written assign.Plan) {
	if slices.ContainsFunc(written.Hosts, func(host assign.Host) bool { return host.Since == written.Version }) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.admittedAt = l.Clock()
	}
}

// markCutOff marks the hosts that reach no server, unless that is so for all of them: then the servers are
// down. If this host is one of them, another one may renew grants in all zones in its place.
func (l *Leader) markCutOff(byName map[string]assign.Host) {
	var reaching []string
	allowed := false
	for name, host := range byName {
		host.CutOff = l.CutOff(name)
		byName[name] = host
		if !host.CutOff && !host.Retired {
			reaching = append(reaching, name)
			allowed = allowed || host.Led
		}
	}
	if len(reaching) == 0 {
		for name, host := range byName {
			host.CutOff = false
			byName[name] = host
		}
		return
	}
	if !allowed {
		host := byName[slices.Min(reaching)]
		host.Led = true
		byName[host.Name] = host
	}
}

// updateRetired marks a host as retired if it has stopped reporting, and removes it once it has been
// retired for so long that it must have stopped renewing and its last grants have expired. A
// retired host that reports again is reinstated.
func (l *Leader) updateRetired(byName map[string]assign.Host, name string, host assign.Host, now time.Duration) {
	reported, ok := l.lastReport[name]
	if !ok {
		l.lastReport[name] = now
		reported = now
	}
	silent := now-reported > retireTimeout && name != l.Self.Name
	if !host.Retired {
		host.Retired = silent
		byName[name] = host
		delete(l.retiredSince, name)
		return
	}
	if !silent {
		host.Retired = false
		byName[name] = host
		return
	}
	retiredAt, ok := l.retiredSince[name]
	if !ok {
		l.retiredSince[name] = now
		return
	}
	if now-retiredAt > l.Timing.RenewalsStopWithin()+l.Timing.MaxGrantLifetime() {
		delete(byName, name)
	}
}
