package settings

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
)

// ErrNoNode reports a path that names no node of the tree.
var ErrNoNode = errors.New("settings: no such node")

// overrides are the values that a node sets itself, instead of inheriting them.
type overrides struct {
	set    fieldSet
	values Values
}

// apply overwrites in v the values that the node sets.
func (o overrides) apply(v *Values) {
	for i := range fields {
		if o.set.has(i) {
			fields[i].copy(v, &o.values)
		}
	}
}

// text returns the values that the node sets as TOML, one per line in a fixed order.
func (o overrides) text() string {
	var b strings.Builder
	for i := range fields {
		if o.set.has(i) {
			b.WriteString(fields[i].name + " = " + fields[i].format(&o.values) + "\n")
		}
	}
	return b.String()
}

// Tree is a whole tree of settings. It is immutable and may be shared; callers
// must not modify what its methods return.
type Tree struct {
	// BasedOn is the version that the tree's file names in based_on, zero if it names none.
	BasedOn logservice.Offset

	nodes     map[string]overrides // by path, the root included
	effective map[string]Values    // values in force, by path
	services  []Service            // ordered by name
}

// Service is a service with the values in force for it. Its zones are ordered
// by path.
type Service struct {
	Name   string
	Values Values
	Zones  []Zone
}

// Zone is the part of one service that runs in one availability zone, with the
// values in force there. Place is the place that the zone lies in.
type Zone struct {
	Place   string
	Name    string
	Servers []string
	Values  Values
}

// newTree builds a tree from the values that the nodes set themselves: it computes
// the values in force and the services. nodes must include the root.
func newTree(nodes map[string]overrides) *Tree {
	t := &Tree{nodes: nodes, effective: make(map[string]Values, len(nodes))}
	for _, path := range t.Paths() {
		t.effective[path] = t.inherit(path)
	}
	t.services = t.buildServices()
	return t
}

// emptyTree returns a tree that consists of a root without overrides.
func emptyTree() *Tree {
	return newTree(map[string]overrides{Root: {}})
}

// inherit returns the values in force at a node. Those of its parent must have
// been computed already.
func (t *Tree) inherit(path string) Values {
	values := Defaults()
	if path != Root {
		values = t.effective[parentPath(path)]
	}
	t.nodes[path].apply(&values)
	return values
}

// Paths returns the paths of all nodes in order; every node follows its parent.
func (t *Tree) Paths() []string {
	return slices.SortedFunc(maps.Keys(t.nodes), comparePaths)
}

// comparePaths orders paths name by name: a node precedes its children, and its
// children precede the node's later siblings.
func comparePaths(a, b string) int {
	return slices.Compare(splitPath(a), splitPath(b))
}

// Effective returns the values in force at the node with the given path. If there
// is no such node, the error is ErrNoNode and suggests the most similar path.
func (t *Tree) Effective(path string) (Values, error) {
	values, known := t.effective[path]
	if !known {
		return Values{}, errors.Wrap(ErrNoNode, UnknownNameMessage("path", path, t.Paths()))
	}
	return values, nil
}

// Services returns the services ordered by name. The result is shared and must
// not be modified.
func (t *Tree) Services() []Service {
	return t.services
}

// buildServices collects the services and their zones from the nodes.
func (t *Tree) buildServices() []Service {
	var services []Service
	for _, path := range t.Paths() {
		names := splitPath(path)
		values := t.effective[path]
		switch pathLevel(path) {
		case levelService:
			services = append(services, Service{Name: names[0], Values: values})
		case levelZone:
			if len(services) == 0 {
				continue
			}
			last := &services[len(services)-1]
			zone := Zone{Place: names[1], Name: names[2], Servers: values.Servers, Values: values}
			last.Zones = append(last.Zones, zone)
		}
	}
	return services
}

// Zones returns the names of all availability zones in order, each once.
func (t *Tree) Zones() []string {
	var names []string
	for _, service := range t.services {
		for _, zone := range service.Zones {
			names = append(names, zone.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Servers returns the addresses of all backend servers in order.
func (t *Tree) Servers() []string {
	var addresses []string
	for _, service := range t.services {
		for _, zone := range service.Zones {
			addresses = append(addresses, zone.Servers...)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// Text returns the tree as TOML that Parse can read. Its first line names the
// version that the tree is based on.
func (t *Tree) Text(basedOn logservice.Offset) string {
	var b strings.Builder
	b.WriteString(basedOnKey + " = " + strconv.FormatUint(uint64(basedOn), 10) + "\n")
	for _, path := range t.Paths() {
		text := t.nodes[path].text()
		if path == Root && text == "" {
			continue
		}
		b.WriteString("\n" + tableHeader(path) + "\n" + text)
	}
	return b.String()
}

// EffectiveText returns all fields of values as TOML, one per line in a fixed order.
func EffectiveText(values Values) string {
	all := overrides{values: values}
	for i := range fields {
		all.set = all.set.with(i)
	}
	return all.text()
}
