package lease

import (
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Lessor is the state of one lessor of one session. It is not safe for
// concurrent use. A process has at most one Lessor for a session at a time. It
// may drop one that is retired and create another when it is named again.
type Lessor struct {
	cfg     Config
	self    string
	session record.SessionID
	// now is the latest reading of the own clock that was passed in.
	now time.Duration

	// version is the version for which the lessor acts.
	version Version
	// members are the lessors at version; membersSince is the version that named them.
	members      []string
	membersSince Version
	// formers are earlier sets of lessors under which another may still lead.
	formers [][]string
	// formersUnknown means that lessors were replaced without this lessor
	// knowing the set before, so that it cannot ask for its consent.
	formersUnknown bool
	sealed         bool
	// settled is when no lead of a former set is left; zero while unsealed.
	settled time.Duration
	// peers holds the highest version for which each other lessor is known to act.
	peers map[string]Version

	promise promise
	// muteUntil is until when the lessor gives no consent. It is set at the first
	// reading of the clock where an earlier lessor of this name may have promised some.
	muteUntil time.Duration
	started   bool
	// consents holds until when each member's consent lasts, the own included.
	consents  map[string]time.Duration
	leadSince time.Duration
	leadUntil time.Duration
	yieldedAt time.Duration
	yielded   bool

	clock clockReading
	// leasesEnd is when the last lease granted by this lessor has surely ended.
	leasesEnd time.Duration

	phase   Phase
	closing closing
	outcome *Closing

	faults faults
}

// promise is the consent given to another lessor.
type promise struct {
	to    string
	until time.Duration
	// asked is the asker's time of the newest request granted.
	asked time.Duration
}

// clockReading is a reading of the server's clock and when it was received.
type clockReading struct {
	known      bool
	clockMS    int64
	receivedAt time.Duration
}

// New returns the state of a lessor that the log has named for a session. The
// lessors of the session's open record are those whose Since is the session.
func New(cfg Config, self string, session record.SessionID, version Version, lessors Lessors) *Lessor {
	l := &Lessor{
		cfg:            cfg,
		self:           self,
		session:        session,
		version:        version,
		members:        slices.Clone(lessors.Names),
		membersSince:   lessors.Since,
		formersUnknown: lessors.Since != session,
		sealed:         lessors.Sealed,
		peers:          make(map[string]Version),
		consents:       make(map[string]time.Duration),
	}
	if !slices.Contains(lessors.Names, self) {
		l.phase = PhaseRetired
	}
	return l
}

// Version returns the version for which the lessor acts.
func (l *Lessor) Version() Version { return l.version }

// Sealed reports whether a quorum of every former set of lessors is known to
// have retired the versions before the present set.
func (l *Lessor) Sealed() bool { return l.sealed }

// Phase returns the lessor's phase as of the last call that took the time.
func (l *Lessor) Phase() Phase { return l.phase }

// Outcome returns the outcome of the closing, nil while the session is not closed.
func (l *Lessor) Outcome() *Closing { return l.outcome }

// Peers returns the other lessors to which requests for consent and for
// closing are sent: those of the present set and, until it is settled, of former sets.
func (l *Lessor) Peers() []string {
	var peers []string
	for _, set := range l.sets() {
		for _, name := range set {
			if name != l.self && !slices.Contains(peers, name) {
				peers = append(peers, name)
			}
		}
	}
	return peers
}

// sets returns the present set of lessors and the former ones that still count.
func (l *Lessor) sets() [][]string {
	return append([][]string{l.members}, l.formers...)
}

// Quorum returns the number of lessors that make up a quorum of n.
func Quorum(n int) int {
	return n/2 + 1
}

// isMember reports whether name is another lessor of the present set.
func (l *Lessor) isMember(name string) bool {
	return name != l.self && slices.Contains(l.members, name)
}

// advance moves the own time forward and applies what has become due. A
// reading older than one seen before counts as that one.
func (l *Lessor) advance(now time.Duration) time.Duration {
	l.now = max(l.now, now)
	if !l.started {
		l.start()
	}
	if l.sealed && l.settled == 0 && l.unsettled() {
		l.settled = l.now + l.outlast(l.cfg.LeadTTL)
	}
	if l.settled != 0 && l.now >= l.settled {
		l.formers = nil
		l.formersUnknown = false
		l.settled = 0
	}
	l.finishClosing()
	return l.now
}

// start notes the first reading of the clock.
func (l *Lessor) start() {
	l.started = true
	if l.formersUnknown {
		l.muteUntil = l.now + l.outlast(l.cfg.LeadTTL)
	}
}

// unsettled reports whether a lead of a former set of lessors may be left.
func (l *Lessor) unsettled() bool {
	return l.formersUnknown || len(l.formers) > 0
}

// observe notes for which version another lessor acts, and whether it knows
// that the lessors named at that version are sealed.
func (l *Lessor) observe(from string, version Version, sealed bool) {
	if from == l.self {
		return
	}
	l.peers[from] = max(l.peers[from], version)
	if sealed && version >= l.version {
		l.seal()
	}
	l.sealByPeers()
}
