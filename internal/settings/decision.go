package settings

import (
	"fmt"
	"strings"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
)

// VerdictKind is the kind of a Decision.
type VerdictKind string

// Kinds of decisions.
const (
	// Accepted means that the record is in force from its offset on.
	Accepted VerdictKind = "accepted"
	// Conflicting means that a node has changed since the version that the record is based on.
	Conflicting VerdictKind = "conflict"
	// Invalid means that the record's contents are invalid, or would make the tree invalid.
	Invalid VerdictKind = "invalid"
)

// Conflict names a node that has changed since the version that a record is based on.
type Conflict struct {
	Path string `json:"path"`
	// Base is the version of the node that the record is based on.
	Base logservice.Offset `json:"base"`
	// Version is the version that the node has in force.
	Version logservice.Offset `json:"version"`
}

// String returns the conflict as "path: based on version B, but has version V".
func (c Conflict) String() string {
	return fmt.Sprintf("%s: based on version %d, but has version %d", DisplayPath(c.Path), c.Base, c.Version)
}

// Decision is the result of applying a settings record. Conflicts is set if Kind is
// Conflicting, Faults if it is Invalid.
type Decision struct {
	Kind      VerdictKind `json:"kind"`
	Conflicts []Conflict  `json:"conflicts,omitempty"`
	Faults    Faults      `json:"faults,omitempty"`
}

// Accepted reports whether the record is in force.
func (d Decision) Accepted() bool {
	return d.Kind == Accepted
}

// Reason returns why the record was rejected, one reason per line, "" if it was accepted.
func (d Decision) Reason() string {
	var lines []string
	for _, conflict := range d.Conflicts {
		lines = append(lines, conflict.String())
	}
	for _, fault := range d.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
