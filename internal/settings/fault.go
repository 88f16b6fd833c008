package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing wrong with settings.
type Fault struct {
	// Line is the line in the text that was checked, zero where it is not known.
	Line int `json:"line,omitempty"`
	// Path is the node's path.
	Path string `json:"path"`
	// Field is the field's name, empty where the node itself is at fault.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns the fault as "line N: path.field: message".
func (f Fault) String() string {
	where := DisplayPath(f.Path)
	if f.Field != "" {
		where += "." + f.Field
	}
	if f.Line == 0 {
		return where + ": " + f.Message
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, where, f.Message)
}

// Faults lists everything wrong with settings. It is an error.
type Faults []Fault

// Error returns the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// sorted returns the faults by line, path, field and message, each once.
func (f Faults) sorted() Faults {
	slices.SortFunc(f, compareFaults)
	return slices.Compact(f)
}

func compareFaults(a, b Fault) int {
	if a.Line != b.Line {
		return a.Line - b.Line
	}
	if c := strings.Compare(a.Path, b.Path); c != 0 {
		return c
	}
	if c := strings.Compare(a.Field, b.Field); c != 0 {
		return c
	}
	return strings.Compare(a.Message, b.Message)
}
