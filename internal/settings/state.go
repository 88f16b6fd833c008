package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// State is the settings tree after all log records up to some offset have been
// applied. It is a deterministic state machine: every reader that applies the same
// records gets the same state. Only Apply and UnmarshalJSON change a State.
// A Clone is cheap, since a State replaces its maps and its tree instead of
// changing them.
type State struct {
	tree     *Tree
	versions map[string]logservice.Offset // by path: the record that last set or removed the node
	fixed    map[string]fixedValues       // by service, removed ones included
	version  logservice.Offset            // the latest accepted record
}

// fixedValues are the values of a service that cannot change once it exists, nor
// when a removed service is added again.
type fixedValues struct {
	Keyed  bool `json:"keyed"`
	Slices int  `json:"slices"`
}

// NewState returns the state before any record was applied.
func NewState() *State {
	return &State{
		tree:     emptyTree(),
		versions: map[string]logservice.Offset{},
		fixed:    map[string]fixedValues{},
	}
}

// Clone returns a copy that later changes of s do not affect.
func (s *State) Clone() *State {
	clone := *s
	return &clone
}

// Version returns the offset of the latest accepted record, zero if there is none.
func (s *State) Version() logservice.Offset {
	return s.version
}

// NodeVersion returns the offset of the record that last set or removed the node,
// zero if no record has.
func (s *State) NodeVersion(path string) logservice.Offset {
	return s.versions[path]
}

// Tree returns the tree that is in force.
func (s *State) Tree() *Tree {
	return s.tree
}

// Effective returns the values in force at the node with the given path.
func (s *State) Effective(path string) (Values, error) {
	return s.tree.Effective(path)
}

// Services returns the services ordered by name. The result is shared and must
// not be modified.
func (s *State) Services() []Service {
	return s.tree.Services()
}

// Apply applies the settings record at an offset. The record is either accepted
// as a whole, or rejected and changes nothing.
func (s *State) Apply(offset logservice.Offset, change record.Settings) Decision {
	if conflicts := s.conflicts(change); len(conflicts) > 0 {
		return Decision{Kind: Conflicting, Conflicts: conflicts}
	}
	tree, faults := s.changedTree(change)
	if len(faults) > 0 {
		return Decision{Kind: Invalid, Faults: faults}
	}
	s.tree = tree
	s.version = offset
	s.versions = maps.Clone(s.versions)
	for _, node := range change.Nodes {
		s.versions[node.Path] = offset
	}
	s.fixed = tree.fixedValues(s.fixed)
	return Decision{Kind: Accepted}
}

// conflicts returns the nodes that have changed since the version that the record
// is based on.
func (s *State) conflicts(change record.Settings) []Conflict {
	var conflicts []Conflict
	for _, node := range change.Nodes {
		version := s.versions[node.Path]
		if version != node.Base {
			conflicts = append(conflicts, Conflict{Path: node.Path, Base: node.Base, Version: version})
		}
	}
	return conflicts
}

// changedTree returns the tree that results from applying a change to the tree in
// force, and what is wrong with the change or with that tree.
func (s *State) changedTree(change record.Settings) (*Tree, Faults) {
	nodes := maps.Clone(s.tree.nodes)
	faults := checkNodeList(change)
	for _, node := range change.Nodes {
		if len(faults) > 0 {
			return nil, faults.sorted()
		}
		faults = changeNode(nodes, node)
	}
	if len(faults) > 0 {
		return nil, faults.sorted()
	}
	tree := newTree(nodes)
	faults = tree.check()
	faults = append(faults, tree.checkFixed(s.fixed)...)
	return tree, faults.sorted()
}

// checkNodeList checks the paths of the nodes in a record: there is at least one, each
// is valid and occurs once.
func checkNodeList(change record.Settings) Faults {
	if len(change.Nodes) == 0 {
		return Faults{{Message: "the record changes no node"}}
	}
	var faults Faults
	seen := make(map[string]bool)
	for _, node := range change.Nodes {
		if !validPath(node.Path) {
			faults = append(faults, Fault{Path: node.Path, Message: "not a path of at most 3 names of lower case letters, digits and inner hyphens"})
		}
		if seen[node.Path] {
			faults = append(faults, Fault{Path: node.Path, Message: "changed twice by one record; a record changes a node once"})
		}
		seen[node.Path] = true
	}
	return faults
}

// changeNode applies the change of one node to nodes.
func changeNode(nodes map[string]overrides, change record.SettingsNode) Faults {
	if change.Removed {
		return removeNode(nodes, change)
	}
	own, faults := parseNode(change.Path, change.TOML)
	if len(faults) > 0 {
		return faults
	}
	if _, present := nodes[change.Path]; !present && len(nodes) >= maxNodes {
		return Faults{{Path: change.Path, Message: fmt.Sprintf("the tree would have more than %d nodes", maxNodes)}}
	}
	nodes[change.Path] = own
	return nil
}

// removeNode applies the removal of one node to nodes.
func removeNode(nodes map[string]overrides, change record.SettingsNode) Faults {
	if change.Path == Root {
		return Faults{{Path: Root, Message: "the root cannot be removed"}}
	}
	if change.TOML != "" {
		return Faults{{Path: change.Path, Message: "removed and set by one record; a removal carries no values"}}
	}
	if _, present := nodes[change.Path]; !present {
		return Faults{{Path: change.Path, Message: "cannot be removed, because it does not exist"}}
	}
	delete(nodes, change.Path)
	return nil
}

// checkFixed reports services whose fixed values differ from the recorded ones.
func (t *Tree) checkFixed(fixed map[string]fixedValues) Faults {
	var faults Faults
	for _, service := range t.services {
		had, known := fixed[service.Name]
		if !known {
			continue
		}
		if had.Keyed != service.Values.Keyed {
			faults = append(faults, Fault{Path: service.Name, Field: "keyed", Message: fmt.Sprintf("is %t and cannot change", had.Keyed)})
		}
		if had.Keyed && had.Slices != service.Values.Slices {
			faults = append(faults, Fault{Path: service.Name, Field: "slices", Message: fmt.Sprintf("is %d and cannot change", had.Slices)})
		}
	}
	return faults
}

// fixedValues returns the known fixed values together with those of the tree's
// services.
func (t *Tree) fixedValues(known map[string]fixedValues) map[string]fixedValues {
	fixed := maps.Clone(known)
	for _, service := range t.services {
		fixed[service.Name] = fixedValues{Keyed: service.Values.Keyed, Slices: service.Values.Slices}
	}
	return fixed
}

// snapshot is the JSON form of a State, as stored in a checkpoint.
type snapshot struct {
	Version logservice.Offset      `json:"version"`
	Nodes   []snapshotNode         `json:"nodes"`
	Fixed   map[string]fixedValues `json:"fixed"`
}

// snapshotNode holds one node's version and the values that it sets. A removed
// node is kept because its version is still needed to detect conflicts.
type snapshotNode struct {
	Path    string            `json:"path"`
	Version logservice.Offset `json:"version"`
	TOML    string            `json:"toml,omitempty"`
	Removed bool              `json:"removed,omitempty"`
}

// ErrBadSnapshot marks the error for a snapshot that cannot be restored.
var ErrBadSnapshot = errors.New("settings: bad snapshot")

// MarshalJSON returns a snapshot of the state. Equal states give equal bytes.
func (s *State) MarshalJSON() ([]byte, error) {
	out := snapshot{Version: s.version, Fixed: s.fixed, Nodes: []snapshotNode{}}
	for _, path := range slices.SortedFunc(maps.Keys(s.versions), comparePaths) {
		own, present := s.tree.nodes[path]
		node := snapshotNode{Path: path, Version: s.versions[path], TOML: own.text(), Removed: !present}
		out.Nodes = append(out.Nodes, node)
	}
	return json.Marshal(out)
}

// UnmarshalJSON restores a state from a snapshot. On an error, marked
// ErrBadSnapshot, the state is left as it was.
func (s *State) UnmarshalJSON(data []byte) error {
	var in snapshot
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Mark(errors.Wrap(err, "settings: decode snapshot"), ErrBadSnapshot)
	}
	restored, faults := restore(in)
	if len(faults) > 0 {
		return errors.Mark(errors.Wrap(faults, "settings: restore snapshot"), ErrBadSnapshot)
	}
	*s = *restored
	return nil
}

// restore returns the state in a snapshot, or what is wrong with the snapshot.
func restore(in snapshot) (*State, Faults) {
	state := NewState()
	state.version = in.Version
	maps.Copy(state.fixed, in.Fixed)
	nodes := map[string]overrides{Root: {}}
	for _, node := range in.Nodes {
		if !validPath(node.Path) {
			return nil, Faults{{Path: node.Path, Message: "not a valid path"}}
		}
		state.versions[node.Path] = node.Version
		if node.Removed {
			continue
		}
		own, faults := parseNode(node.Path, node.TOML)
		if len(faults) > 0 {
			return nil, faults
		}
		nodes[node.Path] = own
	}
	state.tree = newTree(nodes)
	return state, state.tree.check()
}
