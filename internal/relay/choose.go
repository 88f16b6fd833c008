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
	if r.hasLostContact(topic) {
		return r.chooseAnyHost(topic)
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
		if !r.avoids(host, topic, now) {
			return host, true
		}
	}
	return Host{}, false
}

// chooseAnyHost returns the other host that is not avoided and has failed least often in a row; a
// single failure does not count. It returns false if all are avoided, or so many that the platform
// seems to be away for all.
func (r *Relay) chooseAnyHost(topic Topic) (Host, bool) {
	hosts, self := r.config.Hosts()
	candidates := slices.Concat(hosts[:min(self, len(hosts))], hosts[min(self+1, len(hosts)):], r.config.Others())
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	known := len(candidates)
	candidates = slices.DeleteFunc(candidates, func(host Host) bool { return r.avoids(host, topic, now) })
	if len(candidates) == 0 || known-len(candidates) >= maxAvoided {
		return Host{}, false
	}
	return slices.MinFunc(candidates, func(a, b Host) int {
		return cmp.Compare(max(r.failures[a.Name], 1), max(r.failures[b.Name], 1))
	}), true
}

// avoidance identifies a host that is not queried for a topic, or for any if the topic is "".
type avoidance struct {
	host  string
	topic Topic
}

// avoids reports whether a host is not queried for a topic at present. The caller holds the lock.
func (r *Relay) avoids(host Host, topic Topic, now time.Duration) bool {
	return r.avoidedUntil[avoidance{host: host.Name}] > now || r.avoidedUntil[avoidance{host.Name, topic}] > now
}

// avoidHost excludes a host, which has not answered a query of a topic, from being queried for avoidDuration.
func (r *Relay) avoidHost(host Host, topic Topic, after time.Duration, reason string) {
	r.avoid(avoidance{host: host.Name}, topic, after, reason)
}

// avoidForTopic excludes a host, which has no recent confirmation of a topic, from being queried for that topic for avoidDuration.
func (r *Relay) avoidForTopic(host Host, topic Topic, after time.Duration, reason string) {
	r.avoid(avoidance{host.Name, topic}, topic, after, reason)
}

// avoid adds an avoidance because of a query of a topic.
func (r *Relay) avoid(a avoidance, topic Topic, after time.Duration, reason string) {
	r.mu.Lock()
	r.avoidedUntil[a] = r.config.Clock() + avoidDuration
	r.failures[a.host]++
	r.mu.Unlock()
	r.config.Log.Event("relay", "relay", a.host, "topic", string(topic), "after_ms", after.Milliseconds(), "outcome", "avoided", "reason", reason)
}

// recordAnswered records that a host has answered.
func (r *Relay) recordAnswered(host Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failures, host.Name)
}
