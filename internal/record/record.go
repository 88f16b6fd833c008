// Package record defines the records that the system keeps in the platform's
// log, and their codec.
//
// The log is the input of a replicated state machine: every host reads all records
// in log order and applies them to its own copy of the state. A record names the
// versions of what it changes (its base). The readers, not the log, decide whether
// it is accepted: a record whose base is outdated is rejected, so of two concurrent
// changes of the same thing the first in the log wins. All readers use the same
// rules: see package ownership for sessions, slices and marks, and package settings
// for the settings tree. A record that cannot be decoded is counted and skipped.
//
// Every record has a unique ID. If the answer to an append is lost, the writer reads
// the log and looks for the ID to learn whether the append took effect.
package record

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
)

// Kind names the body that a record has.
type Kind string

// Kinds of records.
const (
	KindSettings   Kind = "settings"
	KindMark       Kind = "mark"
	KindOpen       Kind = "open"
	KindClose      Kind = "close"
	KindPlan       Kind = "plan"
	KindMoved      Kind = "moved"
	KindLessors    Kind = "lessors"
	KindSealed     Kind = "sealed"
	KindCheckpoint Kind = "checkpoint"
)

// SessionID identifies a backend server's session: the offset of its open record.
type SessionID = logservice.Offset

// Epoch is the fencing token of a slice's owner: a later owner has a higher epoch,
// and servers reject requests under a lower one. It is derived from the offset of
// the record that named the owner.
type Epoch uint64

// ID is a record's unique ID.
type ID string

// NewID returns a new unique ID.
func NewID() ID {
	return ID(uuid.NewString())
}

// Record is one record of the log's stream. Exactly one body is set: the one that
// Kind names.
type Record struct {
	ID   ID   `json:"id"`
	Kind Kind `json:"kind"`
	// Author is the host or operator that wrote the record.
	Author string `json:"author"`
	// TimeMS is the author's wall clock in Unix milliseconds, for display only.
	TimeMS int64 `json:"time_ms"`

	Settings   *Settings   `json:"settings,omitempty"`
	Mark       *Mark       `json:"mark,omitempty"`
	Open       *Open       `json:"open,omitempty"`
	Close      *Close      `json:"close,omitempty"`
	Plan       *Plan       `json:"plan,omitempty"`
	Moved      *Moved      `json:"moved,omitempty"`
	Lessors    *Lessors    `json:"lessors,omitempty"`
	Sealed     *Sealed     `json:"sealed,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// Checkpoint holds the state after all records up to Offset have been applied. A
// reader starts from it when the log has trimmed earlier records.
type Checkpoint struct {
	Offset logservice.Offset `json:"offset"`
	State  json.RawMessage   `json:"state"`
}

// Settings replaces or removes nodes of the settings tree. It is accepted only if
// no node has changed since its base and the resulting tree is valid.
type Settings struct {
	Nodes   []SettingsNode `json:"nodes"`
	Comment string         `json:"comment,omitempty"`
}

// SettingsNode replaces the values that one node of the tree sets itself; its
// children keep theirs. Base is the version of the node that the change is based
// on, zero if no record has set the node yet. TOML holds the new values, without
// inherited ones. Removed removes the node; TOML is then empty.
type SettingsNode struct {
	Path    string            `json:"path"`
	Base    logservice.Offset `json:"base"`
	TOML    string            `json:"toml"`
	Removed bool              `json:"removed,omitempty"`
}

// Subject is the type of thing that a mark is set on.
type Subject string

// Subjects of marks.
const (
	SubjectZone   Subject = "zone"
	SubjectHost   Subject = "host"
	SubjectServer Subject = "server"
)

// MarkState is the state that an operator gives a zone, host or backend server.
type MarkState string

// States of marks.
const (
	// MarkActive is the normal state, also of everything without a mark.
	MarkActive MarkState = "active"
	// MarkLeaving drains the subject: no new work is sent there and its slices move away.
	MarkLeaving MarkState = "leaving"
	// MarkLost asserts that every process there has stopped and will not resume.
	MarkLost MarkState = "lost"
)

// Mark sets the state of a zone, host or backend server. It is accepted only
// if Base is the offset of the subject's latest mark, zero if it has none.
type Mark struct {
	Subject Subject           `json:"subject"`
	Name    string            `json:"name"`
	State   MarkState         `json:"state"`
	Base    logservice.Offset `json:"base"`
	Comment string            `json:"comment,omitempty"`
}

// Lessor is a host that may renew the lease of a session and close it. Incarnation is
// the incarnation of the host that was made lessor: a restarted host no longer has
// the consents that it gave, and therefore is not a lessor of the session.
type Lessor struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	PeerAddr    string `json:"peer_addr"`
}

// LeaseTerms are the durations under which a session is leased. They are fixed when
// the session is opened, because the lease is safe only if all its lessors use the
// same durations, and a change of the settings reaches hosts at different times.
type LeaseTerms struct {
	LeadTTLMS     int64 `json:"lead_ttl_ms"`
	LeaseTTLMS    int64 `json:"lease_ttl_ms"`
	DriftPermille int   `json:"drift_permille"`
}

// Open opens a session for a backend server. It is accepted only if Previous is the
// server's latest session and is closed, or is zero and the server has had none.
type Open struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Addr is the server's IP address and port; it identifies the server.
	Addr        string    `json:"addr"`
	Incarnation string    `json:"incarnation"`
	Lessors     []Lessor  `json:"lessors"`
	Previous    SessionID `json:"previous"`
	// Terms may be absent; the built-in defaults then apply, not the published settings.
	Terms LeaseTerms `json:"terms,omitzero"`
}

// Close reports that a session has ended: no request will be served under it again. By
// lists the hosts that closed it, Reason says why, and Moves lists the slices that went
// to their successors.
type Close struct {
	Session SessionID   `json:"session"`
	By      []string    `json:"by"`
	Reason  string      `json:"reason"`
	Moves   []SliceMove `json:"moves"`
	// Base is set if the close was confirmed by all servers that may own the slices,
	// instead of by a quorum of lessors. The record is then accepted only if Base is
	// the session's version, since a later version may name further servers.
	Base logservice.Offset `json:"base,omitempty"`
}

// SliceMove reports that a slice went to the session To, which owns it under Epoch.
type SliceMove struct {
	Service string    `json:"service"`
	Slice   int       `json:"slice"`
	To      SessionID `json:"to"`
	Epoch   Epoch     `json:"epoch"`
}

// Plan assigns slices that have no owner and names successors of those that have one.
type Plan struct {
	Service string      `json:"service"`
	Slices  []SlicePlan `json:"slices"`
}

// SlicePlan changes one slice. It is accepted only if Base is the slice's version.
type SlicePlan struct {
	Slice int               `json:"slice"`
	Base  logservice.Offset `json:"base"`
	// Owner may be set only if the slice has no owner or its owner's session is closed.
	Owner SessionID `json:"owner,omitempty"`
	// Successor is the session that takes the slice over when the owner drops it.
	Successor SessionID `json:"successor,omitempty"`
	// Move asks the owner to drop the slice now. A move cannot be changed until it is done.
	Move bool `json:"move,omitempty"`
}

// Moved reports that slices have moved to their successors while the sessions of
// their former owners stay open.
type Moved struct {
	Moves []SliceMove `json:"moves"`
}

// Lessors replaces a session's lessors. It is accepted only if Base is the session's
// version and the previous replacement was sealed (see Sealed).
type Lessors struct {
	Session SessionID         `json:"session"`
	Base    logservice.Offset `json:"base"`
	Lessors []Lessor          `json:"lessors"`
}

// Sealed reports that a quorum of a session's former lessors has stopped
// acting under versions before Version, the offset of the record that replaced them.
type Sealed struct {
	Session SessionID         `json:"session"`
	Version logservice.Offset `json:"version"`
}

// ErrMalformed marks the error for a record that cannot be decoded, or that does not
// have an ID and exactly the body that its kind names.
var ErrMalformed = errors.New("record: malformed")

// Encode returns the record as JSON. It rejects a record that Decode would reject.
func Encode(r Record) ([]byte, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "record: encode")
}

// Decode returns the record in data. Its error is marked ErrMalformed.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Mark(errors.Wrap(err, "record: decode"), ErrMalformed)
	}
	return r, r.validate()
}

// validate checks that the record has an ID and exactly the body that its kind names.
func (r Record) validate() error {
	if r.ID == "" {
		return errors.Wrap(ErrMalformed, "the record has no id")
	}
	bodies := map[Kind]bool{
		KindSettings:   r.Settings != nil,
		KindMark:       r.Mark != nil,
		KindOpen:       r.Open != nil,
		KindClose:      r.Close != nil,
		KindPlan:       r.Plan != nil,
		KindMoved:      r.Moved != nil,
		KindLessors:    r.Lessors != nil,
		KindSealed:     r.Sealed != nil,
		KindCheckpoint: r.Checkpoint != nil,
	}
	hasBody, known := bodies[r.Kind]
	if !known {
		return errors.Wrapf(ErrMalformed, "unknown kind %q", r.Kind)
	}
	if !hasBody {
		return errors.Wrapf(ErrMalformed, "kind %q without its body", r.Kind)
	}
	for kind, present := range bodies {
		if present && kind != r.Kind {
			return errors.Wrapf(ErrMalformed, "kind %q with a body of kind %q", r.Kind, kind)
		}
	}
	return nil
}
