package lease

import (
	"slices"
	"time"
)

// Retire makes the lessor act for a newer version and never again for an older
// one. Versions may be left out. It withdraws an own proposal that no
// one has answered. It is false where the lessor has answered another's
// closing: it then goes on acting for the version under which it answered,
// unless so many others have retired it that it can never be closed.
//
// Promises and consents outlive the version. Where the lessors change, the new
// set is not sealed: until it is, and as long after as a former lead may last,
// leading takes a quorum of the new and of the former set.
func (l *Lessor) Retire(now time.Duration, version Version, lessors Lessors) bool {
	l.advance(now)
	if version < l.version {
		return true
	}
	if version == l.version {
		l.Seal(now, lessors)
		return true
	}
	l.Withdraw(now)
	if !l.mayRetire() {
		return false
	}
	l.closing = closing{}
	l.version = version
	l.phase = PhaseActive
	l.replaceMembers(lessors)
	if !slices.Contains(l.members, l.self) {
		l.phase = PhaseRetired
		l.dropLead()
	}
	l.sealByPeers()
	return true
}

// mayRetire reports whether the present version may be given up.
func (l *Lessor) mayRetire() bool {
	switch l.phase {
	case PhaseActive, PhaseRetired:
		return true
	case PhaseJoined:
		return l.faults.retireJoined || l.cannotClose()
	default:
		return false
	}
}

// cannotClose reports whether so many other lessors have retired the present
// version that the rest is not a quorum.
func (l *Lessor) cannotClose() bool {
	retired := 0
	for _, name := range l.members {
		if name != l.self && l.peers[name] > l.version {
			retired++
		}
	}
	return len(l.members)-retired < Quorum(len(l.members))
}

// replaceMembers puts a new set of lessors in place of the present one.
func (l *Lessor) replaceMembers(lessors Lessors) {
	if lessors.Since > l.membersSince {
		if l.faults.forgetFormers {
			l.formersUnknown = false
		} else if lessors.FormerSince == l.membersSince {
			l.formers = append(l.formers, l.members)
		} else {
			l.formersUnknown = true
		}
		l.members = slices.Clone(lessors.Names)
		l.membersSince = lessors.Since
		l.sealed = false
		l.settled = 0
		l.leadUntil = min(l.leadUntil, l.consentsUntil())
	}
	if lessors.Sealed {
		l.seal()
	}
}

// Seal notes that the log holds a seal for the set of lessors. It has no
// effect for a set that is not the one for which the lessor acts.
func (l *Lessor) Seal(now time.Duration, lessors Lessors) {
	l.advance(now)
	if lessors.Sealed && lessors.Since == l.membersSince {
		l.seal()
	}
}

func (l *Lessor) seal() {
	if l.sealed {
		return
	}
	l.sealed = true
	l.settled = 0
	l.advance(l.now)
}

// sealByPeers seals the present set where the peers' own words show that a
// quorum of every former set has retired the versions before. The log need not
// be up for that.
func (l *Lessor) sealByPeers() {
	if l.sealed || l.formersUnknown {
		return
	}
	for _, set := range l.formers {
		if l.countRetired(set, l.membersSince) < Quorum(len(set)) {
			return
		}
	}
	l.seal()
}

// QuorumAt reports whether a quorum of the lessors is known to act for version
// or a newer one, so that the session can no longer be closed under an older one.
func (l *Lessor) QuorumAt(version Version) bool {
	if !l.sealed {
		return false
	}
	return l.countRetired(l.members, version) >= Quorum(len(l.members))
}

// countRetired returns how many lessors of a set, the own included, act for
// version or a newer one.
func (l *Lessor) countRetired(set []string, version Version) int {
	count := 0
	for _, name := range set {
		acts := l.peers[name]
		if name == l.self {
			acts = l.version
		}
		if acts >= version {
			count++
		}
	}
	return count
}
