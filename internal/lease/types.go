package lease

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Config holds the durations of the protocol. All lessors of a session use equal values.
type Config struct {
	// LeadTTL is how long a lessor's consent lasts.
	LeadTTL time.Duration
	// LeaseTTL is how long a server's lease lasts after the clock reading that it is based on.
	LeaseTTL time.Duration
	// DriftPermille bounds the difference in rate of any two clocks, in thousandths.
	DriftPermille int
}

// permille is the denominator of DriftPermille.
const permille = 1000

// outlast returns a duration on the own clock that is not shorter than d on any other clock.
func (c Config) outlast(d time.Duration) time.Duration {
	extra := d * time.Duration(c.DriftPermille)
	return d + (extra+permille-1)/permille
}

// Version orders the contents of a session: the offset of the last record that changed it.
type Version = logservice.Offset

// Name returns the name under which a lessor takes part in the protocol. It
// contains the incarnation: a restarted host has forgotten its promises, so
// it must not be taken for the lessor that gave them.
func Name(r record.Lessor) string {
	return r.Host + "/" + r.Incarnation
}

// Lessors is a set of lessors as the log names it. All names are built by Name.
type Lessors struct {
	Names []string
	// Since is the offset of the record that named the set.
	Since Version
	// Sealed says that the log holds a seal for the set. The set of the open
	// record needs none: it is sealed from the start.
	Sealed bool
	// Former is the set before and FormerSince the record that named it. They
	// may be left out; leading then takes up to LeadTTL longer after the seal.
	Former      []string
	FormerSince Version
}

// Phase is a lessor's state with respect to closing its session.
type Phase int

const (
	// PhaseActive is the phase of a lessor that neither closes nor has closed the session.
	PhaseActive Phase = iota
	// PhaseProposing means that the lessor's own closing was not answered yet by a quorum.
	PhaseProposing
	// PhaseJoined means that the lessor has answered another's closing and stopped for good.
	PhaseJoined
	// PhaseClosing means that a quorum has stopped for good and the waits are running.
	PhaseClosing
	// PhaseClosed means that nothing is served under the session any longer.
	PhaseClosed
	// PhaseRetired means that the host is no lessor of the session at the newest version.
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
	// ProofNewIncarnation means that another incarnation of the server has answered.
	ProofNewIncarnation
	// ProofEnded means that the server has acknowledged the end of the session.
	ProofEnded
)

// Closing is the outcome of a closing. All lessors that learn a session's
// outcome learn the same version.
type Closing struct {
	Session record.SessionID `json:"session"`
	Version Version          `json:"version"`
	// By lists the lessors that made up the quorum, in order.
	By     []string `json:"by"`
	Reason string   `json:"reason"`
	Proof  Proof    `json:"proof"`
}

// LeadRequest asks a lessor for its consent, or gives consent back.
type LeadRequest struct {
	From    string           `json:"from"`
	Session record.SessionID `json:"session"`
	Version Version          `json:"version"`
	// Sealed says that the lessors named at Version are known to be sealed.
	Sealed bool `json:"sealed"`
	// Asked is the time of asking on the asker's clock. It orders the requests of one asker.
	Asked time.Duration `json:"asked"`
	// Yield gives back every consent that was asked for up to Asked.
	Yield bool `json:"yield"`
}

// LeadReply answers a LeadRequest.
type LeadReply struct {
	From    string           `json:"from"`
	Session record.SessionID `json:"session"`
	// Version is the version for which the giver acts.
	Version Version `json:"version"`
	Sealed  bool    `json:"sealed"`
	Granted bool    `json:"granted"`
	// Holder is the lessor to whom consent is promised, if any.
	Holder string `json:"holder"`
	// RetryIn is how long the promise to another lessor still lasts.
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

// CloseReply answers a CloseRequest. Joined says that the answering lessor has
// stopped leading, asking and consenting under Version for good.
type CloseReply struct {
	From    string           `json:"from"`
	Session record.SessionID `json:"session"`
	Version Version          `json:"version"`
	Joined  bool             `json:"joined"`
	// Holder is the lessor that leads as far as the answering one knows, if any.
	Holder  string   `json:"holder"`
	Phase   Phase    `json:"phase"`
	Outcome *Closing `json:"outcome,omitempty"`
}
