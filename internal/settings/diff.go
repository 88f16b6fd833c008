package settings

import (
	"strings"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// NodeDiff is the difference between two trees in the values that one node sets.
type NodeDiff struct {
	Path    string      `json:"path"`
	Added   bool        `json:"added,omitempty"`
	Removed bool        `json:"removed,omitempty"`
	Fields  []FieldDiff `json:"fields,omitempty"`
}

// FieldDiff holds the old and the new value of one field as TOML. Either is empty
// if the node does not set the field.
type FieldDiff struct {
	Name string `json:"name"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Diff returns the nodes that set different values in two trees, ordered by path.
// Inherited values are not compared.
func Diff(from, to *Tree) []NodeDiff {
	union := make(map[string]overrides)
	for path := range from.nodes {
		union[path] = overrides{}
	}
	for path := range to.nodes {
		union[path] = overrides{}
	}
	var diffs []NodeDiff
	for _, path := range (&Tree{nodes: union}).Paths() {
		diff := diffNode(path, from, to)
		if diff.Added || diff.Removed || len(diff.Fields) > 0 {
			diffs = append(diffs, diff)
		}
	}
	return diffs
}

// diffNode returns the difference of the node at path, which is in at least one of
// the trees.
func diffNode(path string, from, to *Tree) NodeDiff {
	diff := NodeDiff{
		Path:    path,
		Added:   !from.has(path),
		Removed: !to.has(path),
	}
	before, after := from.nodes[path], to.nodes[path]
	for i := range fields {
		oldText, newText := fieldText(before, i), fieldText(after, i)
		if oldText != newText {
			diff.Fields = append(diff.Fields, FieldDiff{Name: fields[i].name, Old: oldText, New: newText})
		}
	}
	return diff
}

// fieldText returns the value of the field with index i as TOML, "" if the node does
// not set it.
func fieldText(own overrides, i int) string {
	if !own.set.has(i) {
		return ""
	}
	return fields[i].format(&own.values)
}

// Change returns the record that turns the tree in force into another one. Each of
// its nodes is based on the version of that node in force. It has no nodes if the
// trees are equal.
func (s *State) Change(to *Tree, comment string) record.Settings {
	change := record.Settings{Comment: comment}
	for _, diff := range Diff(s.tree, to) {
		node := record.SettingsNode{
			Path:    diff.Path,
			Base:    s.versions[diff.Path],
			Removed: diff.Removed,
		}
		if !diff.Removed {
			node.TOML = to.nodes[diff.Path].text()
		}
		change.Nodes = append(change.Nodes, node)
	}
	return change
}

// ChangedSince returns as conflicts the nodes of a change whose base is newer than
// the given version. These nodes have changed in the log since that version.
func ChangedSince(version logservice.Offset, change record.Settings) []Conflict {
	var conflicts []Conflict
	for _, node := range change.Nodes {
		if node.Base > version {
			conflicts = append(conflicts, Conflict{Path: node.Path, Base: version, Version: node.Base})
		}
	}
	return conflicts
}

// DiffText returns differences as text for people: a header line per node, then a
// line with - for each old value and one with + for each new value.
func DiffText(diffs []NodeDiff) string {
	var b strings.Builder
	for _, diff := range diffs {
		b.WriteString(tableHeader(diff.Path) + diffNote(diff) + "\n")
		for _, f := range diff.Fields {
			if f.Old != "" {
				b.WriteString("- " + f.Name + " = " + f.Old + "\n")
			}
			if f.New != "" {
				b.WriteString("+ " + f.Name + " = " + f.New + "\n")
			}
		}
	}
	return b.String()
}

// diffNote returns the note after a node's header: whether it was added or removed.
func diffNote(diff NodeDiff) string {
	switch {
	case diff.Added:
		return " added"
	case diff.Removed:
		return " removed"
	}
	return ""
}
