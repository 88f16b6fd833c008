package lease

import (
	"time"

	"github.com/cockroachdb/errors"
)

// errInvariant reports a state that violates an invariant of the protocol.
var errInvariant = errors.New("model: invariant violated")

// check returns an error if the present state violates an invariant: more than
// one server may execute requests for the slice, the session is closed under
// more than one version, or there is more than one primary.
func (w *modelState) check() error {
	executing := len(w.activated)
	if w.server.mayExecute(w.realTime) {
		executing++
	}
	if executing > 1 {
		return errors.Wrapf(errInvariant, "%d servers may execute", executing)
	}
	if len(w.outcomes) > 1 {
		return errors.Wrapf(errInvariant, "closed under %d versions", len(w.outcomes))
	}
	if primaries := w.primaries(); primaries > 1 {
		return errors.Wrapf(errInvariant, "%d primaries", primaries)
	}
	return nil
}

// primaries returns the number of hosts that may act as primary now.
func (w *modelState) primaries() int {
	primaries := 0
	for _, h := range w.hosts {
		if h.lessor != nil && isPrimaryAt(h.lessor, h.clock.at(w.realTime)) {
			primaries++
		}
	}
	return primaries
}

// isPrimaryAt reports whether the lessor may act as primary at now. Unlike
// IsPrimary, it does not change the lessor's state.
func isPrimaryAt(l *Lessor, now time.Duration) bool {
	consented := l.givenConsent.to != "" && now < l.givenConsent.until
	return l.phase == PhaseActive && now < l.primaryUntil && !consented
}
