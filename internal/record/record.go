// Package record defines the records that the system keeps in the platform's
// log, and their codec.
//
// Every record has a unique ID, by which its writer finds it again after a lost
// answer, and names the versions that it is based on. Whether a record is
// accepted is decided by its readers, all by the same rule: see package
// ownership for sessions and slices and package settings for the settings tree.
package record

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
)

// Kind names the type of a record's body.
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

// Epoch orders the owners of a slice. It is derived from the offset of the
// record that named the owner.
type Epoch uint64

// ID is a record's unique ID.
type ID string

// NewID returns a new unique ID.
func NewID() ID {
	return ID(uuid.NewString())
}

// Record is one record of the stream. Exactly one body is set, the one that
// its kind names.
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

// Checkpoint holds the folded state at an offset, so that a reader can start
// there after the log has trimmed the records before it.
type Checkpoint struct {
	Offset logservice.Offset `json:"offset"`
	State  json.RawMessage   `json:"state"`
}

// Settings replaces nodes of the settings tree. It is accepted only if the
// base of every node still holds.
type Settings struct {
	Nodes   []SettingsNode `json:"nodes"`
	Comment string         `json:"comment,omitempty"`
}

// SettingsNode replaces the values of one node of the tree, not those of its
// children. Base is the version of the node that the change is based on, zero
// where the node does not exist. TOML holds the node's own values.
type SettingsNode struct {
	Path    string            `json:"path"`
	Base    logservice.Offset `json:"base"`
	TOML    string            `json:"toml"`
	Removed bool              `json:"removed,omitempty"`
}

// Subject is what a mark is put on.
type Subject string

// Subjects of marks.
const (
	SubjectZone   Subject = "zone"
	SubjectHost   Subject = "host"
	SubjectServer Subject = "server"
)

// MarkState is what an operator says of a zone, host or backend server.
type MarkState string

// States of marks.
const (
	// MarkActive is the state of everything that carries no mark.
	MarkActive MarkState = "active"
	// MarkLeaving asks that no new work is sent there and that its slices move away.
	MarkLeaving MarkState = "leaving"
	// MarkLost asserts that every process there has stopped for good.
	MarkLost MarkState = "lost"
)

// Mark sets the state of a zone, host or backend server. It is accepted only
// if Base is the offset of the subject's latest mark, zero where it has none.
type Mark struct {
	Subject Subject           `json:"subject"`
	Name    string            `json:"name"`
	State   MarkState         `json:"state"`
	Base    logservice.Offset `json:"base"`
	Comment string            `json:"comment,omitempty"`
}

// Lessor is a host that may renew and close a session, named together with the
// incarnation that was told of it: a restarted host has forgotten its promises
// and is no lessor.
type Lessor struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	PeerAddr    string `json:"peer_addr"`
}

// LeaseTerms are the durations under which a session is leased. They are fixed
// when it is opened: lessors that count by different durations protect nothing,
// and settings change at different times on different hosts.
type LeaseTerms struct {
	LeadTTLMS     int64 `json:"lead_ttl_ms"`
	LeaseTTLMS    int64 `json:"lease_ttl_ms"`
	DriftPermille int   `json:"drift_permille"`
}

// Open opens a session for a backend server. It is accepted only if Previous
// is the server's latest session, and that one is closed.
type Open struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Addr is the server's IP address and port; it identifies the server.
	Addr        string    `json:"addr"`
	Incarnation string    `json:"incarnation"`
	Lessors     []Lessor  `json:"lessors"`
	Previous    SessionID `json:"previous"`
	// Terms may be left out; the default settings then apply, whatever is published.
	Terms LeaseTerms `json:"terms,omitzero"`
}

// Close reports that a session has ended for good: nothing will be served
// under it again. Moves lists the slices that went to their successors.
type Close struct {
	Session SessionID   `json:"session"`
	By      []string    `json:"by"`
	Reason  string      `json:"reason"`
	Moves   []SliceMove `json:"moves"`
	// Base is set where the record rests on the word of the servers that may own
	// the slices, instead of a quorum of lessors: it is then accepted only if Base
	// is the session's version, since a later one may name further servers.
	Base logservice.Offset `json:"base,omitempty"`
}

// SliceMove says that a slice went from one session to another under an epoch.
type SliceMove struct {
	Service string    `json:"service"`
	Slice   int       `json:"slice"`
	To      SessionID `json:"to"`
	Epoch   Epoch     `json:"epoch"`
}

// Plan assigns slices without an owner and names successors.
type Plan struct {
	Service string      `json:"service"`
	Slices  []SlicePlan `json:"slices"`
}

// SlicePlan changes one slice. It is accepted only if Base is the slice's version.
type SlicePlan struct {
	Slice int               `json:"slice"`
	Base  logservice.Offset `json:"base"`
	// Owner is set only where the slice has no owner, or its owner's session is closed.
	Owner SessionID `json:"owner,omitempty"`
	// Successor is the session that takes the slice over when the owner lets go of it.
	Successor SessionID `json:"successor,omitempty"`
	// Move asks the owner to let go now. A move cannot be changed until it is done.
	Move bool `json:"move,omitempty"`
}

// Moved reports that slices have moved to their successors.
type Moved struct {
	Moves []SliceMove `json:"moves"`
}

// Lessors replaces a session's lessors. It is accepted only if Base is the
// session's version and the previous replacement was sealed.
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

// ErrMalformed reports a record that cannot be decoded or lacks its body.
var ErrMalformed = errors.New("record: malformed")

// Encode returns the record's bytes.
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
		return errors.Wrap(ErrMalformed, "no id")
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
	known, set := bodies[r.Kind]
	if !set {
		return errors.Wrapf(ErrMalformed, "unknown kind %q", r.Kind)
	}
	if !known {
		return errors.Wrapf(ErrMalformed, "kind %q without its body", r.Kind)
	}
	for kind, present := range bodies {
		if present && kind != r.Kind {
			return errors.Wrapf(ErrMalformed, "kind %q with a body of kind %q", r.Kind, kind)
		}
	}
	return nil
}
