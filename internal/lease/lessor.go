package lease

import (
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Lessor is the state of one lessor of one session. It is not safe for
// concurrent use. A process has at most one Lessor for a session at a time. It
// may drop a retired Lessor, and create another when the log names the host again.
type Lessor struct {
	cfg     Config
	self    string
	session record.SessionID
	// now is the latest clock reading that was passed in.
	now time.Duration

	// version is the version for which the lessor acts.
	version Version
	// members are the lessors at version; membersSince is the version that named them.
	members      []string
	membersSince Version
	// formerSets are earlier sets of lessors that may still have a primary.
	formerSets [][]string
	// formerSetUnknown means that lessors were replaced and this lessor does not
	// know the former set, so it cannot request that set's consent.
	formerSetUnknown bool
	sealed           bool
	// formerPrimariesEnd is when the last primary of a former set has expired;
	// zero while unsealed and after that time.
	formerPrimariesEnd time.Duration
	// peerVersions holds, by lessor, the highest version for which another lessor is known to act.
	peerVersions map[string]Version

	givenConsent givenConsent
	// noConsentUntil is until when the lessor gives no consent. It is set at the first
	// clock reading if an earlier Lessor of this name may have given consent
	// that has not expired.
	noConsentUntil time.Duration
	started        bool
	// consentEnds holds until when each member's consent to this lessor lasts, its own included.
	consentEnds   map[string]time.Duration
	primarySince  time.Duration
	primaryUntil  time.Duration
	steppedDownAt time.Duration
	steppedDown   bool

	serverClock clockReading
	// leasesEnd is the latest time at which a lease granted by this lessor may end.
	leasesEnd time.Duration

	phase   Phase
	closing closing
	outcome *Closing

	faults faults
}

// givenConsent is this lessor's consent to another lessor as primary.
type givenConsent struct {
	to    string
	until time.Duration
	// asked is the time of the newest granted request, on the requester's clock.
	asked time.Duration
}

// clockReading is a reading of the server's clock and when it was received.
type clockReading struct {
	known      bool
	clockMS    int64
	receivedAt time.Duration
}

// New returns the state of a lessor that the log has named for a session.
// lessors.Since equals the session's ID for the set named by the open record.
func New(cfg Config, self string, session record.SessionID, version Version, lessors Lessors) *Lessor {
	l := &Lessor{
		cfg:              cfg,
		self:             self,
		session:          session,
		version:          version,
		members:          slices.Clone(lessors.Names),
		membersSince:     lessors.Since,
		formerSetUnknown: lessors.Since != session,
		sealed:           lessors.Sealed,
		peerVersions:     make(map[string]Version),
		consentEnds:      make(map[string]time.Duration),
	}
	if !slices.Contains(lessors.Names, self) {
		l.phase = PhaseRetired
	}
	return l
}

// Version returns the version for which the lessor acts.
func (l *Lessor) Version() Version { return l.version }

// Sealed reports whether a quorum of every former set of lessors is known to
// act only for the version of the present set or newer ones.
func (l *Lessor) Sealed() bool { return l.sealed }

// Phase returns the lessor's phase as of the last call that took the time.
func (l *Lessor) Phase() Phase { return l.phase }

// Outcome returns the outcome of the closing, nil while the session is not closed.
func (l *Lessor) Outcome() *Closing { return l.outcome }

// Peers returns the other lessors to which requests for consent and for closing
// are sent: those of the present set and, while they may still have a primary,
// of former sets.
func (l *Lessor) Peers() []string {
	var peers []string
	for _, set := range l.requiredSets() {
		for _, name := range set {
			if name != l.self && !slices.Contains(peers, name) {
				peers = append(peers, name)
			}
		}
	}
	return peers
}

// requiredSets returns the sets of lessors whose quorums a primary needs: the
// present set and the former sets that may still have a primary.
func (l *Lessor) requiredSets() [][]string {
	return append([][]string{l.members}, l.formerSets...)
}

// Quorum returns the size of a quorum of n lessors.
func Quorum(n int) int {
	return n/2 + 1
}

// isMember reports whether name is another lessor of the present set.
func (l *Lessor) isMember(name string) bool {
	return name != l.self && slices.Contains(l.members, name)
}

// advance sets the lessor's time to now, or keeps it if now is older, and
// applies what has become due. It returns the lessor's time.
func (l *Lessor) advance(now time.Duration) time.Duration {
	l.now = max(l.now, now)
	if !l.started {
		l.startClock()
	}
	if l.sealed && l.formerPrimariesEnd == 0 && l.mayHaveFormerPrimary() {
		l.formerPrimariesEnd = l.now + l.withDrift(l.cfg.LeadTTL)
	}
	if l.formerPrimariesEnd != 0 && l.now >= l.formerPrimariesEnd {
		l.formerSets = nil
		l.formerSetUnknown = false
		l.formerPrimariesEnd = 0
	}
	l.finishClosing()
	return l.now
}

// startClock handles the first clock reading. If an earlier Lessor of this name
// may have given consent, this one gives none for LeadTTL plus drift.
func (l *Lessor) startClock() {
	l.started = true
	if l.formerSetUnknown {
		l.noConsentUntil = l.now + l.withDrift(l.cfg.LeadTTL)
	}
}

// mayHaveFormerPrimary reports whether a former set of lessors may still have a primary.
func (l *Lessor) mayHaveFormerPrimary() bool {
	return l.formerSetUnknown || len(l.formerSets) > 0
}

// recordPeer records the version for which another lessor acts. sealed reports
// that the other lessor has seen a seal for the lessors named at that version.
func (l *Lessor) recordPeer(from string, version Version, sealed bool) {
	if from == l.self {
		return
	}
	l.peerVersions[from] = max(l.peerVersions[from], version)
	if sealed && version >= l.version {
		l.seal()
	}
	l.sealByPeers()
}
