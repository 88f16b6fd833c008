package lease

import (
	"slices"
	"time"
)

// AdvanceTo makes the lessor act for a newer version and never again for an older
// one. Versions may be skipped. A proposal to close that no one has joined is
// withdrawn. It returns false if the lessor has joined a closing: it then keeps
// acting for the version under which it joined, unless so many other lessors act
// for newer versions that the session can never be closed under that one.
//
// Consents, given and received, stay valid across versions. If the lessors
// change, the new set is not sealed. Until it is, and until every primary of the
// former set has expired, a primary needs a quorum of each of the two sets.
func (l *Lessor) AdvanceTo(now time.Duration, version Version, lessors Lessors) bool {
	l.advance(now)
	if version < l.version {
		return true
	}
	if version == l.version {
		l.Seal(now, lessors)
		return true
	}
	l.Withdraw(now)
	if !l.mayAdvance() {
		return false
	}
	l.closing = closing{}
	l.version = version
	l.phase = PhaseActive
	l.replaceMembers(lessors)
	if !slices.Contains(l.members, l.self) {
		l.phase = PhaseRetired
		l.clearPrimary()
	}
	l.sealByPeers()
	return true
}

// mayAdvance reports whether the lessor may move on from the present version.
func (l *Lessor) mayAdvance() bool {
	switch l.phase {
	case PhaseActive, PhaseRetired:
		return true
	case PhaseJoined:
		return l.faults.retireJoined || l.cannotClose()
	default:
		return false
	}
}

// cannotClose reports whether so many other lessors act for a newer version that
// the rest is not a quorum.
func (l *Lessor) cannotClose() bool {
	advanced := 0
	for _, name := range l.members {
		if name != l.self && l.peerVersions[name] > l.version {
			advanced++
		}
	}
	return len(l.members)-advanced < Quorum(len(l.members))
}

// replaceMembers replaces the set of lessors if the given one is newer, and
// applies its seal.
func (l *Lessor) replaceMembers(lessors Lessors) {
	if lessors.Since > l.membersSince {
		if l.faults.ignoreFormerSets {
			l.formerSetUnknown = false
		} else if lessors.FormerSince == l.membersSince {
			l.formerSets = append(l.formerSets, l.members)
		} else {
			l.formerSetUnknown = true
		}
		l.members = slices.Clone(lessors.Names)
		l.membersSince = lessors.Since
		l.sealed = false
		l.formerPrimariesEnd = 0
		l.primaryUntil = min(l.primaryUntil, l.consentsUntil())
	}
	if lessors.Sealed {
		l.seal()
	}
}

// Seal records that the log holds a seal for the set of lessors. It has no effect
// for a set other than the present one.
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
	l.formerPrimariesEnd = 0
	l.advance(l.now)
}

// sealByPeers seals the present set if messages of other lessors show that a
// quorum of every former set acts for the present set's version or newer ones.
// This works while the log is unavailable.
func (l *Lessor) sealByPeers() {
	if l.sealed || l.formerSetUnknown {
		return
	}
	for _, set := range l.formerSets {
		if l.countAtVersion(set, l.membersSince) < Quorum(len(set)) {
			return
		}
	}
	l.seal()
}

// QuorumAt reports whether the set is sealed and a quorum of the lessors is known
// to act for version or a newer one, so that the session can no longer be closed
// under an older one.
func (l *Lessor) QuorumAt(version Version) bool {
	if !l.sealed {
		return false
	}
	return l.countAtVersion(l.members, version) >= Quorum(len(l.members))
}

// countAtVersion returns how many lessors of a set, this one included, act for
// version or a newer one.
func (l *Lessor) countAtVersion(set []string, version Version) int {
	count := 0
	for _, name := range set {
		acts := l.peerVersions[name]
		if name == l.self {
			acts = l.version
		}
		if acts >= version {
			count++
		}
	}
	return count
}
