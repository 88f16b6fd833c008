package front

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

const (
	// hostLeavingFor is how long a host counts as shutting down, longer than any grace time.
	hostLeavingFor = time.Minute
	// leavingQuestionTimeout is how long a host may take to say whether it is shutting down.
	leavingQuestionTimeout = 300 * time.Millisecond
	// unansweredFor is how long a host counts as shutting down that has not said whether it is. Then it is asked again.
	unansweredFor = 500 * time.Millisecond
)

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

// forwarderMayLeave reports whether the host that has forwarded the request may be shutting down. It asks that host, since a
// message that it is may not have reached this one: it may have been lost, or this host may have started later. One that does
// not answer, is not known or has not told its name, as that of an older build, may be shutting down.
func (in *Ingress) forwarderMayLeave(r *Request) bool {
	if !r.Forwarded {
		return false
	}
	if r.Forwarder == "" || in.forwarders.contains(r.Forwarder) {
		return true
	}
	leaves, err := in.askWhetherLeaving(r.Forwarder)
	if err != nil {
		in.log.Routine("leave", "id", r.ID, "from", r.Forwarder, "outcome", "not known", "err", err.Error())
		in.forwarders.add(r.Forwarder, unansweredFor)
		return true
	}
	if leaves {
		in.log.Event("leave", "id", r.ID, "from", r.Forwarder, "outcome", "asked")
		in.HostLeaves(r.Forwarder)
	}
	return leaves
}

// errUnknownHost reports that the plan does not list a host.
var errUnknownHost = errors.New("the host is not in the plan")

// askWhetherLeaving asks the host with the name whether it is shutting down.
func (in *Ingress) askWhetherLeaving(name string) (bool, error) {
	hosts := in.config.Current.Plan().Hosts
	i := slices.IndexFunc(hosts, func(host assign.Host) bool { return host.Name == name })
	if i < 0 {
		return false, errUnknownHost
	}
	ctx, cancel := context.WithTimeout(context.Background(), leavingQuestionTimeout)
	defer cancel()
	return in.config.AskLeaving(ctx, hosts[i])
}
