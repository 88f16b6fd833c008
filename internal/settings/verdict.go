package settings

import (
	"fmt"
	"strings"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
)

// VerdictKind names what the fold made of a record.
type VerdictKind string

// Kinds of verdicts.
const (
	// Accepted means that the record is in force from its offset on.
	Accepted VerdictKind = "accepted"
	// Conflicting means that a node has changed since the version that the record is based on.
	Conflicting VerdictKind = "conflict"
	// Invalid means that the record's contents are at fault, or would make the tree so.
	Invalid VerdictKind = "invalid"
)

// Conflict names a node whose base no longer holds.
type Conflict struct {
	Path string `json:"path"`
	// Base is the version that the record names.
	Base logservice.Offset `json:"base"`
	// Version is the version that the node has.
	Version logservice.Offset `json:"version"`
}

// String returns the conflict in words.
func (c Conflict) String() string {
	return fmt.Sprintf("%s: based on version %d, but has version %d", DisplayPath(c.Path), c.Base, c.Version)
}

// Verdict is what the fold made of a record.
type Verdict struct {
	Kind      VerdictKind `json:"kind"`
	Conflicts []Conflict  `json:"conflicts,omitempty"`
	Faults    Faults      `json:"faults,omitempty"`
}

// Accepted reports whether the record is in force.
func (v Verdict) Accepted() bool {
	return v.Kind == Accepted
}

// Reason returns why the record was refused, one reason a line, and "" where it was accepted.
func (v Verdict) Reason() string {
	var lines []string
	for _, conflict := range v.Conflicts {
		lines = append(lines, conflict.String())
	}
	for _, fault := range v.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
