package lease

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Config holds the durations of the protocol. All lessors of a session use equal values.
type Config struct {
	// LeadTTL is how long a lessor's consent to a primary lasts.
	LeadTTL time.Duration
	// LeaseTTL is how long a server's lease lasts, counted from the reading of the
	// server's clock that the lease is based on.
	LeaseTTL time.Duration
	// DriftPermille bounds the difference in rate of any two clocks, in thousandths.
	DriftPermille int
}

// permille is the denominator of DriftPermille.
const permille = 1000

// withDrift lengthens d by the drift bound: the result, measured on this
// host's clock, is not shorter than d measured on any other clock.
func (c Config) withDrift(d time.Duration) time.Duration {
	extra := d * time.Duration(c.DriftPermille)
	return d + (extra+permille-1)/permille
}

// Version is a version of a session: the offset of the log record that created it.
type Version = logservice.Offset

// LessorName returns the name under which a lessor takes part in the protocol.
// It contains the incarnation: a restarted host has lost its consents, so it
// must not be taken for the lessor that gave them.
func LessorName(r record.Lessor) string {
	return r.Host + "/" + r.Incarnation
}

// Lessors is a set of lessors as the log names it. All names are built by LessorName.
type Lessors struct {
	Names []string
	// Since is the offset of the record that named the set.
	Since Version
	// Sealed reports that the log holds a seal for the set. The set of the open
	// record needs none: it is sealed from the start.
	Sealed bool
	// Former is the previous set and FormerSince the offset of the record that
	// named it. A lessor that did not act for that set waits after the seal until
	// every primary of the set has expired, up to LeadTTL with drift, before it
	// becomes primary.
	Former      []string
	FormerSince Version
}

// Phase is a lessor's progress in closing its session.
type Phase int

const (
	// PhaseActive means that the lessor takes part in no closing.
	PhaseActive Phase = iota
	// PhaseProposing means that the lessor has proposed to close and that no quorum has joined yet.
	PhaseProposing
	// PhaseJoined means that the lessor has joined another lessor's closing: under its
	// version it is not primary and neither requests nor gives consent again.
	PhaseJoined
	// PhaseClosing means that a quorum has joined and that the lessor waits for the
	// end of every lease.
	PhaseClosing
	// PhaseClosed means that nothing is served under the session any longer.
	PhaseClosed
	// PhaseRetired means that the host is not a lessor of the session at the newest version.
	PhaseRetired
)

var phaseNames = [...]string{"active", "proposing", "joined", "closing", "closed", "retired"}

// String returns the phase's name.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "invalid"
	}
	return phaseNames[p]
}

// Proof is evidence that a server serves nothing under a session any longer.
type Proof int

const (
	// ProofNone means that there is no evidence; a closing waits until every lease has ended.
	ProofNone Proof = iota
	// ProofNewIncarnation means that a newer incarnation of the server has answered.
	ProofNewIncarnation
	// ProofEnded means that the server has acknowledged the end of the session, or
	// that an operator has declared the server lost.
	ProofEnded
)

// Closing is the outcome of a closing. All lessors that receive a session's
// outcome receive the same version.
type Closing struct {
	Session record.SessionID `json:"session"`
	Version Version          `json:"version"`
	// By lists the names of the lessors that formed the quorum, sorted.
	By     []string `json:"by"`
	Reason string   `json:"reason"`
	Proof  Proof    `json:"proof"`
}

// LeadRequest asks a lessor to consent to the sender as primary or, with Yield,
// reports that the sender has stepped down.
type LeadRequest struct {
	From    string           `json:"from"`
	Session record.SessionID `json:"session"`
	Version Version          `json:"version"`
	// Sealed reports that the sender has seen a seal for the lessors named at Version.
	Sealed bool `json:"sealed"`
	// Asked is the time of the request on the sender's clock. It orders the requests of one sender.
	Asked time.Duration `json:"asked"`
	// Yield ends every consent that the sender requested up to Asked.
	Yield bool `json:"yield"`
}

// LeadReply answers a LeadRequest.
type LeadReply struct {
	From    string           `json:"from"`
	Session record.SessionID `json:"session"`
	// Version is the version for which the answering lessor acts.
	Version Version `json:"version"`
	Sealed  bool    `json:"sealed"`
	Granted bool    `json:"granted"`
	// Holder is the lessor that has the answering lessor's consent, if any.
	Holder string `json:"holder"`
	// RetryIn is how long the answering lessor still gives no consent to the requester.
	RetryIn time.Duration `json:"retry_in"`
	Phase   Phase         `json:"phase"`
	// Outcome is set once the session is closed.
	Outcome *Closing `json:"outcome,omitempty"`
}

// CloseRequest asks a lessor to join in closing the session.
type CloseRequest struct {
	From    string           `json:"from"`
	Session record.SessionID `json:"session"`
	Version Version          `json:"version"`
	Reason  string           `json:"reason"`
}

// CloseReply answers a CloseRequest. Joined reports that, under Version, the
// answering lessor is not primary and will neither request nor give consent again.
type CloseReply struct {
	From    string           `json:"from"`
	Session record.SessionID `json:"session"`
	Version Version          `json:"version"`
	Joined  bool             `json:"joined"`
	// Holder is the lessor that has the answering lessor's consent, if any.
	Holder  string   `json:"holder"`
	Phase   Phase    `json:"phase"`
	Outcome *Closing `json:"outcome,omitempty"`
}
