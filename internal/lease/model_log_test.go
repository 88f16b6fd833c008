package lease

import (
	"fmt"
	"slices"
)

// logState is the session's state after a prefix of the log: its newest version.
type logState struct {
	logEntry
}

// logStateAt applies the first entries of the log.
func (w *modelState) logStateAt(entries int) logState {
	var v logState
	for _, e := range w.log[:entries] {
		if e.seal {
			v.lessors.Sealed = true
			continue
		}
		v.logEntry = e
	}
	return v
}

// entryOf returns the entry that created a version.
func (w *modelState) entryOf(version Version) logEntry {
	for _, e := range w.log {
		if !e.seal && e.version == version {
			return e
		}
	}
	panic(fmt.Sprintf("model: no version %d", version))
}

// appendVersion appends a new version of the session to the log. A nil names keeps
// the lessors. While a move is in progress, the successor stays the same.
func (w *modelState) appendVersion(names []string, successor string, move bool) {
	last := w.logStateAt(len(w.log))
	next := last.logEntry
	next.version = Version(int(firstVersion) + 10*len(w.log))
	if w.moving {
		successor, move = last.successor, true
	}
	next.successor = successor
	next.move = move
	w.moving = move
	if names != nil && last.lessors.Sealed {
		next.lessors = Lessors{
			Names:       names,
			Since:       next.version,
			Former:      last.lessors.Names,
			FormerSince: last.lessors.Since,
		}
	}
	w.log = append(w.log, next)
	w.tracef("log: version %d, lessors %v sealed %v, %s, move %v", next.version, next.lessors.Names, next.lessors.Sealed, successor, move)
}

// appendSeal appends a seal if a quorum of the former lessors acts for the version
// that replaced them. It reports whether it did.
func (w *modelState) appendSeal() bool {
	last := w.logStateAt(len(w.log))
	if last.lessors.Sealed {
		return false
	}
	retired := 0
	for _, h := range w.hosts {
		if slices.Contains(last.lessors.Former, h.name()) && w.hasRetired(h, last.lessors.Since) {
			retired++
		}
	}
	if retired < Quorum(len(last.lessors.Former)) {
		return false
	}
	w.log = append(w.log, logEntry{seal: true})
	w.tracef("log: seal of the lessors named at version %d", last.lessors.Since)
	return true
}

// hasRetired reports whether a host acts only for the given version or newer ones.
func (w *modelState) hasRetired(h *modelHost, version Version) bool {
	if h.lessor == nil {
		return h.appliedEntries > 0 && w.logStateAt(h.appliedEntries).version >= version
	}
	return h.lessor.Version() >= version
}
