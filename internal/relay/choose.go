package relay

import (
	"cmp"
	"slices"
	"time"
)

// chooseRelay returns the relay to query for a topic. It returns false if this host has to read from the platform:
// because it must, because others query it, or because no host before it in the order is available.
// A host that has lost contact with the platform queries any host.
func (r *Relay) chooseRelay(topic Topic) (Host, bool) {
	if r.hasLostContact() {
		return r.chooseAnyHost()
	}
	if r.config.MustReadDirectly(topic) {
		return Host{}, false
	}
	hosts, self := r.config.Hosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	if r.wasQueried && now-r.lastQueried < servingTimeout {
		return Host{}, false
	}
	for i, host := range hosts {
		if i == self {
			return Host{}, false
		}
		if r.avoidedUntil[host.Name] <= now {
			return host, true
		}
	}
	return Host{}, false
}

// chooseAnyHost returns the other host that is not avoided and has failed least often in a row; a
// single failure does not count. It returns false if all are avoided, or so many that the platform
// seems to be away for all.
func (r *Relay) chooseAnyHost() (Host, bool) {
	hosts, self := r.config.Hosts()
	candidates := slices.Concat(hosts[:min(self, len(hosts))], hosts[min(self+1, len(hosts)):], r.config.Others())
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	known := len(candidates)
	candidates = slices.DeleteFunc(candidates, func(host Host) bool { return r.avoidedUntil[host.Name] > now })
	if len(candidates) == 0 || known-len(candidates) >= maxAvoided {
		return Host{}, false
	}
	return slices.MinFunc(candidates, func(a, b Host) int {
		return cmp.Compare(max(r.failures[a.Name], 1), max(r.failures[b.Name], 1))
	}), true
}

// avoidHost excludes a host from being queried for avoidDuration.
func (r *Relay) avoidHost(host Host, topic Topic, after time.Duration, reason string) {
	r.mu.Lock()
	r.avoidedUntil[host.Name] = r.config.Clock() + avoidDuration
	r.failures[host.Name]++
	r.mu.Unlock()
	r.config.Log.Event("relay", "relay", host.Name, "topic", string(topic), "after_ms", after.Milliseconds(), "outcome", "avoided", "reason", reason)
}

// recordAnswered records that a host has answered.
func (r *Relay) recordAnswered(host Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failures, host.Name)
}
