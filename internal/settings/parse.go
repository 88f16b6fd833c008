package settings

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
)

// Limits of one text of settings.
const (
	maxTextBytes = 4 << 20
	maxNodes     = 10_000
)

// basedOnKey is the key at the top of a file that names the version it is based on.
const basedOnKey = "based_on"

// Parse reads a whole tree from the text of a settings file and checks it. Its
// error is of type Faults and names every fault.
func Parse(text []byte) (*Tree, error) {
	p := newParser(text, "")
	p.file = true
	p.parse()
	tree := newTree(p.nodes)
	faults := p.faults
	if len(faults) == 0 {
		faults = p.addLines(tree.check())
	}
	if len(faults) > 0 {
		return nil, faults.sorted()
	}
	tree.BasedOn = p.basedOn
	return tree, nil
}

// parseNode reads one node's own values from the text of a record.
func parseNode(path string, text string) (overrides, Faults) {
	p := newParser([]byte(text), path)
	p.parse()
	return p.nodes[path], p.faults.sorted()
}

// parser reads TOML expressions into nodes and collects the faults.
type parser struct {
	text    []byte
	newline []int // offsets of the ends of lines
	file    bool  // text is a whole file, with tables
	node    string
	skip    bool // the present table is at fault
	nodes   map[string]overrides
	lines   map[string]int // line of each node's table and of each of its fields
	faults  Faults
	basedOn logservice.Offset
}

func newParser(text []byte, node string) *parser {
	p := &parser{
		text:  text,
		node:  node,
		nodes: map[string]overrides{node: {}},
		lines: map[string]int{},
	}
	for i, c := range text {
		if c == '\n' {
			p.newline = append(p.newline, i)
		}
	}
	return p
}

func (p *parser) parse() {
	if len(p.text) > maxTextBytes {
		p.fault(1, "", fmt.Sprintf("%d bytes are more than %d", len(p.text), maxTextBytes))
		return
	}
	var expressions unstable.Parser
	expressions.Reset(p.text)
	top := p.file
	for expressions.NextExpression() {
		node := expressions.Expression()
		switch node.Kind {
		case unstable.Table:
			top = false
			p.table(node)
		case unstable.ArrayTable:
			top = false
			p.skip = true
			p.fault(p.keyLine(node), "", "a list of tables is not allowed")
		case unstable.KeyValue:
			p.keyValue(node, top)
		}
		if len(p.nodes) > maxNodes {
			p.fault(p.keyLine(node), "", fmt.Sprintf("more than %d nodes", maxNodes))
			return
		}
	}
	p.syntaxFault(expressions.Error())
}

func (p *parser) syntaxFault(err error) {
	if err == nil {
		return
	}
	line := 0
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) {
		line = p.lineOf(cap(p.text) - cap(syntax.Highlight))
	}
	p.fault(line, "", "TOML: "+err.Error())
}

// table starts the node that a table header names.
func (p *parser) table(node *unstable.Node) {
	line := p.keyLine(node)
	p.skip = true
	if !p.file {
		p.fault(line, "", "a table is not allowed in a node")
		return
	}
	path, problem := tablePath(keyParts(node))
	if problem != "" {
		p.node = Root
		p.fault(line, "", problem)
		return
	}
	p.node = path
	if _, twice := p.lines[path]; twice {
		p.fault(line, "", "defined twice")
		return
	}
	p.lines[path] = line
	p.skip = false
	p.addParents(path)
}

// addParents adds the node at path and those above it that the text does not name.
func (p *parser) addParents(path string) {
	for {
		if _, present := p.nodes[path]; present {
			return
		}
		p.nodes[path] = overrides{}
		path = parentPath(path)
	}
}

// tablePath returns the path of the node that a table header names, or what is wrong with it.
func tablePath(parts []string) (path, problem string) {
	if len(parts) == 1 && parts[0] == "defaults" {
		return Root, ""
	}
	keywords := []string{"service", "place", "zone"}
	if len(parts) > 2*len(keywords) {
		return "", "the table is too deep"
	}
	var names []string
	for i, part := range parts {
		if i%2 == 1 {
			if !validName(part) {
				return "", strconv.Quote(part) + " is no name of lower case letters, digits and hyphens"
			}
			names = append(names, part)
			continue
		}
		if part != keywords[i/2] {
			return "", UnknownName("table", part, tableKeywords(i/2, keywords))
		}
	}
	if len(parts)%2 == 1 {
		return "", "the table lacks the name of the " + parts[len(parts)-1]
	}
	return strings.Join(names, "/"), ""
}

// tableKeywords returns the words that may stand at a depth of a table header.
func tableKeywords(depth int, keywords []string) []string {
	if depth == 0 {
		return []string{"defaults", keywords[0]}
	}
	return keywords[depth : depth+1]
}

// keyValue sets one field of the present node.
func (p *parser) keyValue(node *unstable.Node, top bool) {
	if p.skip {
		return
	}
	line := p.keyLine(node)
	parts := keyParts(node)
	if len(parts) != 1 {
		p.fault(line, "", "a dotted key is not allowed; use a table header")
		return
	}
	name := parts[0]
	if top {
		p.topKey(line, name, node.Value())
		return
	}
	index, known := fieldIndex(name)
	if !known {
		p.fault(line, "", UnknownName("field", name, fieldNames(pathLevel(p.node))))
		return
	}
	p.setField(line, index, node.Value())
}

func (p *parser) setField(line, index int, node *unstable.Node) {
	f := fields[index]
	if !pathLevel(p.node).allows(f.level) {
		p.fault(line, f.name, "may be set at "+f.level.String()+" only, not at "+pathLevel(p.node).String())
		return
	}
	own := p.nodes[p.node]
	if own.set.has(index) {
		p.fault(line, f.name, "set twice")
		return
	}
	raw, err := decodeScalar(node)
	if err == nil {
		err = f.set(&own.values, raw)
	}
	if err != nil {
		p.fault(line, f.name, err.Error())
		return
	}
	own.set = own.set.with(index)
	p.nodes[p.node] = own
	p.lines[fieldKey(p.node, f.name)] = line
}

// topKey reads a key above all tables.
func (p *parser) topKey(line int, name string, node *unstable.Node) {
	if name != basedOnKey {
		p.fault(line, "", UnknownName("key", name, []string{basedOnKey})+"; fields go into a table such as [defaults]")
		return
	}
	raw, err := decodeScalar(node)
	version, isInt := raw.(int64)
	if err != nil || !isInt || version < 0 {
		p.fault(line, name, "wants a version")
		return
	}
	p.basedOn = logservice.Offset(version)
}

// fault adds a fault of the present node.
func (p *parser) fault(line int, fieldName, message string) {
	p.faults = append(p.faults, Fault{Line: line, Path: p.node, Field: fieldName, Message: message})
}

// addLines fills in the lines of faults found in the tree.
func (p *parser) addLines(faults Faults) Faults {
	for i, fault := range faults {
		line, known := p.lines[fieldKey(fault.Path, fault.Field)]
		if !known {
			line = p.lines[fault.Path]
		}
		faults[i].Line = line
	}
	return faults
}

// fieldKey returns the key in parser.lines of a field; a newline is in no path.
func fieldKey(path, name string) string {
	return path + "\n" + name
}

// keyLine returns the line of a table header or key.
func (p *parser) keyLine(node *unstable.Node) int {
	key := node.Key()
	if !key.Next() {
		return 0
	}
	return p.lineOf(int(key.Node().Raw.Offset))
}

// lineOf returns the line of a byte offset, counted from 1.
func (p *parser) lineOf(offset int) int {
	index, _ := slices.BinarySearch(p.newline, offset)
	return index + 1
}

func keyParts(node *unstable.Node) []string {
	var parts []string
	key := node.Key()
	for key.Next() {
		parts = append(parts, string(key.Node().Data))
	}
	return parts
}

// decodeScalar returns a TOML value of one of the types that fields have.
func decodeScalar(node *unstable.Node) (scalar, error) {
	switch node.Kind {
	case unstable.Bool:
		return bytes.Equal(node.Data, []byte("true")), nil
	case unstable.String:
		return string(node.Data), nil
	case unstable.Integer:
		value, err := strconv.ParseInt(string(node.Data), 0, 64)
		return value, errors.Wrap(err, "integer")
	case unstable.Array:
		return decodeStrings(node)
	}
	return nil, errors.Newf("a value of type %s is not allowed", node.Kind)
}

func decodeStrings(node *unstable.Node) ([]string, error) {
	list := []string{}
	items := node.Children()
	for items.Next() {
		if items.Node().Kind == unstable.Comment {
			continue
		}
		if items.Node().Kind != unstable.String {
			return nil, errors.New("a list may hold strings only")
		}
		list = append(list, string(items.Node().Data))
	}
	return list, nil
}
