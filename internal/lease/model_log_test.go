package lease

import (
	"fmt"
	"slices"
)

// view is what a host knows of the session from the log.
type view struct {
	logEntry
}

// viewOf folds a prefix of the log.
func (w *world) viewOf(entries int) view {
	var v view
	for _, e := range w.log[:entries] {
		if e.seal {
			v.lessors.Sealed = true
			continue
		}
		v.logEntry = e
	}
	return v
}

// entryOf returns the entry that made a version.
func (w *world) entryOf(version Version) logEntry {
	for _, e := range w.log {
		if !e.seal && e.version == version {
			return e
		}
	}
	panic(fmt.Sprintf("model: no version %d", version))
}

// appendVersion lets the log accept a new version of the session. A move is
// not replaced before it is done.
func (w *world) appendVersion(names []string, successor string, move bool) {
	last := w.viewOf(len(w.log))
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
	w.note("log: version %d, lessors %v sealed %v, %s, move %v", next.version, next.lessors.Names, next.lessors.Sealed, successor, move)
}

// appendSeal lets the log accept a seal where a quorum of the former lessors
// acts for the version that replaced them.
func (w *world) appendSeal() bool {
	last := w.viewOf(len(w.log))
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
	w.note("log: seal of %d", last.lessors.Since)
	return true
}

// hasRetired reports whether a host acts for no version before the given one.
func (w *world) hasRetired(h *modelHost, version Version) bool {
	if h.lessor == nil {
		return h.folded > 0 && w.viewOf(h.folded).version >= version
	}
	return h.lessor.Version() >= version
}
