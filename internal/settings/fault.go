package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in settings.
type Fault struct {
	// Line is the line in the checked text, zero if it is not known.
	Line int `json:"line,omitempty"`
	// Path is the path of the node that the fault is about.
	Path string `json:"path"`
	// Field is the name of the field, empty if the fault is about the node itself.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns the fault as "line N: path.field: message", without the parts that
// are not known.
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

// Faults lists every error found in settings. It implements error.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// sorted returns the faults ordered by line, path, field and message, without
// duplicates. It sorts f in place.
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
