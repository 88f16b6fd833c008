package front

import (
	"maps"
	"sync"
	"time"
)

// hostLeavingFor is how long a host counts as shutting down, longer than any grace time.
const hostLeavingFor = time.Minute

// leavingHosts knows which other hosts are shutting down. It is safe for concurrent use.
type leavingHosts struct {
	clock func() time.Duration

	mu sync.Mutex
	// until holds until when each host counts as shutting down, by name.
	until map[string]time.Duration
}

// add records that a host counts as shutting down for some time.
func (l *leavingHosts) add(name string, lasting time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	maps.DeleteFunc(l.until, func(_ string, until time.Duration) bool { return until <= now })
	l.until[name] = max(l.until[name], now+lasting)
}

// contains reports whether a host counts as shutting down.
func (l *leavingHosts) contains(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until[name] > l.clock()
}

// HostLeaves records that another host is shutting down.
func (in *Ingress) HostLeaves(name string) {
	in.forwarders.add(name, hostLeavingFor)
}

// forwarderMayLeave reports whether the host that has forwarded the request may be shutting down. One that has not told its name
// is of a build that does not, and may be.
func (in *Ingress) forwarderMayLeave(r *Request) bool {
	if !r.Forwarded {
		return false
	}
	return r.Forwarder == "" || in.forwarders.contains(r.Forwarder)
}
