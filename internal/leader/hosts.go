package leader

import (
	"maps"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// retireAfter is how long a host may be silent before it may renew no longer.
const retireAfter = 5 * time.Second

// hosts returns the hosts that may renew from now on.
func (l *Leader) hosts(former []assign.Host, version assign.Fence, now time.Duration) []assign.Host {
	byName := make(map[string]assign.Host)
	for _, host := range former {
		byName[host.Name] = host
	}
	self := l.Self
	self.Led = true
	for _, host := range append(l.Hosts(), self) {
		if known, ok := byName[host.Name]; !ok || !known.Same(host) {
			host.Since = version
			byName[host.Name] = host
			l.heard[host.Name] = now
			delete(l.retired, host.Name)
		}
	}
	known := byName[self.Name]
	known.Led = true
	byName[self.Name] = known
	for name, host := range byName {
		l.retire(byName, name, host, now)
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b assign.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// retire takes the right to renew from a host that is silent, and forgets a host
// that must have stopped.
func (l *Leader) retire(byName map[string]assign.Host, name string, host assign.Host, now time.Duration) {
	heard, ok := l.heard[name]
	if !ok {
		l.heard[name] = now
		heard = now
	}
	silent := now-heard > retireAfter && name != l.Self.Name
	if !host.Retired {
		host.Retired = silent
		byName[name] = host
		delete(l.retired, name)
		return
	}
	if !silent {
		host.Retired = false
		byName[name] = host
		return
	}
	seen, ok := l.retired[name]
	if !ok {
		l.retired[name] = now
		return
	}
	if now-seen > l.Timing.SilentAfter()+l.Timing.Outlives() {
		delete(byName, name)
	}
}
