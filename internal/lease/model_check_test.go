package lease

import (
	"time"

	"github.com/cockroachdb/errors"
)

// errInvariant reports a state that must never occur.
var errInvariant = errors.New("model: invariant broken")

// check returns an error where an invariant does not hold now.
func (w *world) check() error {
	executing := len(w.activated)
	if w.server.mayExecute(w.real) {
		executing++
	}
	if executing > 1 {
		return errors.Wrapf(errInvariant, "%d servers may execute", executing)
	}
	if len(w.outcomes) > 1 {
		return errors.Wrapf(errInvariant, "closed under %d versions", len(w.outcomes))
	}
	if leads := w.leads(); leads > 1 {
		return errors.Wrapf(errInvariant, "%d leads", leads)
	}
	return nil
}

// leads returns the number of hosts that may lead now.
func (w *world) leads() int {
	leads := 0
	for _, h := range w.hosts {
		if h.lessor != nil && leadsAt(h.lessor, h.clock.at(w.real)) {
			leads++
		}
	}
	return leads
}

// leadsAt reports whether the lessor may lead at now, without changing it.
func leadsAt(l *Lessor, now time.Duration) bool {
	promised := l.promise.to != "" && now < l.promise.until
	return l.phase == PhaseActive && now < l.leadUntil && !promised
}
