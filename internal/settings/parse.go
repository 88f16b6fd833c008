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

// Limits on the text of a settings file or of one node.
const (
	maxTextBytes = 4 << 20
	maxNodes     = 10_000
)

// basedOnKey is the key at the top of a file that names the version that the
// file is based on.
const basedOnKey = "based_on"

// Parse reads a whole tree from the text of a settings file and validates it.
// Its error is of type Faults and lists every fault that was found.
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

// parseNode reads the values that one node sets from the TOML text of a record.
func parseNode(path string, text string) (overrides, Faults) {
	p := newParser([]byte(text), path)
	p.parse()
	return p.nodes[path], p.faults.sorted()
}

// parser reads TOML expressions into nodes and collects the faults.
type parser struct {
	text      []byte
	lineEnds  []int  // byte offsets of the newlines in text
	file      bool   // text is a whole file with tables, not a single node
	node      string // path of the node that keys now apply to
	skipTable bool   // the header of the current table is invalid; its keys are skipped
	nodes     map[string]overrides
	lines     map[string]int // line numbers, by path for tables and by fieldKey for fields
	faults    Faults
	basedOn   logservice.Offset
}

// newParser returns a parser of text whose keys apply to the node at the given
// path until a table header names another one.
func newParser(text []byte, node string) *parser {
	p := &parser{
		text:  text,
		node:  node,
		nodes: map[string]overrides{node: {}},
		lines: map[string]int{},
	}
	for i, c := range text {
		if c == '\n' {
			p.lineEnds = append(p.lineEnds, i)
		}
	}
	return p
}

// parse reads the whole text into p.nodes and p.faults.
func (p *parser) parse() {
	if len(p.text) > maxTextBytes {
		p.fault(1, "", fmt.Sprintf("the text has %d bytes, more than the limit of %d", len(p.text), maxTextBytes))
		return
	}
	var expressions unstable.Parser
	expressions.Reset(p.text)
	beforeTables := p.file
	for expressions.NextExpression() {
		node := expressions.Expression()
		switch node.Kind {
		case unstable.Table:
			beforeTables = false
			p.table(node)
		case unstable.ArrayTable:
			beforeTables = false
			p.skipTable = true
			p.fault(p.keyLine(node), "", "a list of tables is not allowed; use a table such as [service.NAME]")
		case unstable.KeyValue:
			p.keyValue(node, beforeTables)
		}
		if len(p.nodes) > maxNodes {
			p.fault(p.keyLine(node), "", fmt.Sprintf("the tree has more than %d nodes", maxNodes))
			return
		}
	}
	p.syntaxFault(expressions.Error())
}

// syntaxFault adds the TOML parser's error, if any, with its line.
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

// table makes the node that a table header names the current one.
func (p *parser) table(node *unstable.Node) {
	line := p.keyLine(node)
	p.skipTable = true
	if !p.file {
		p.fault(line, "", "a table is not allowed in the values of one node")
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
		p.fault(line, "", "defined twice; a node has one table")
		return
	}
	p.lines[path] = line
	p.skipTable = false
	p.addParents(path)
}

// addParents adds the node at path and every missing node between it and the root.
func (p *parser) addParents(path string) {
	for {
		if _, present := p.nodes[path]; present {
			return
		}
		p.nodes[path] = overrides{}
		path = parentPath(path)
	}
}

// tablePath returns the path of the node that a table header names, or a message
// that says what is wrong with the header.
func tablePath(parts []string) (path, problem string) {
	if len(parts) == 1 && parts[0] == "defaults" {
		return Root, ""
	}
	keywords := []string{"service", "place", "zone"}
	if len(parts) > 2*len(keywords) {
		return "", "the table is too deep; the deepest one is [service.NAME.place.NAME.zone.NAME]"
	}
	var names []string
	for i, part := range parts {
		if i%2 == 1 {
			if !validName(part) {
				return "", strconv.Quote(part) + " is not a valid name; a name has 1 to 63 lower case letters, digits and inner hyphens"
			}
			names = append(names, part)
			continue
		}
		if part != keywords[i/2] {
			return "", UnknownNameMessage("table", part, tableKeywords(i/2, keywords))
		}
	}
	if len(parts)%2 == 1 {
		return "", "the table header lacks the name of the " + parts[len(parts)-1]
	}
	return strings.Join(names, "/"), ""
}

// tableKeywords returns the keywords allowed at the given depth of a table header,
// counted from 0.
func tableKeywords(depth int, keywords []string) []string {
	if depth == 0 {
		return []string{"defaults", keywords[0]}
	}
	return keywords[depth : depth+1]
}

// keyValue handles one key with its value: a field of the current node, or a key
// above all tables.
func (p *parser) keyValue(node *unstable.Node, beforeTables bool) {
	if p.skipTable {
		return
	}
	line := p.keyLine(node)
	parts := keyParts(node)
	if len(parts) != 1 {
		p.fault(line, "", "a dotted key is not allowed; use a table header such as [service.NAME]")
		return
	}
	name := parts[0]
	if beforeTables {
		p.topKey(line, name, node.Value())
		return
	}
	index, known := fieldIndex(name)
	if !known {
		p.fault(line, "", UnknownNameMessage("field", name, fieldNames(pathLevel(p.node))))
		return
	}
	p.setField(line, index, node.Value())
}

// setField sets the field with the given index in the current node.
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

// topKey reads a key that stands above all tables; only based_on is allowed there.
func (p *parser) topKey(line int, name string, node *unstable.Node) {
	if name != basedOnKey {
		p.fault(line, "", UnknownNameMessage("key", name, []string{basedOnKey})+"; fields go into a table such as [defaults]")
		return
	}
	raw, err := decodeScalar(node)
	version, isInt := raw.(int64)
	if err != nil || !isInt || version < 0 {
		p.fault(line, name, "expected a version, which is an integer of at least 0")
		return
	}
	p.basedOn = logservice.Offset(version)
}

// fault adds a fault of the current node.
func (p *parser) fault(line int, fieldName, message string) {
	p.faults = append(p.faults, Fault{Line: line, Path: p.node, Field: fieldName, Message: message})
}

// addLines sets the line of each fault that was found in the tree: that of the
// field, or of the node's table.
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

// fieldKey returns the key of a field in parser.lines. It differs from every path,
// because paths contain no newline.
func fieldKey(path, name string) string {
	return path + "\n" + name
}

// keyLine returns the line of a table header or of a key, 0 if it has no name.
func (p *parser) keyLine(node *unstable.Node) int {
	key := node.Key()
	if !key.Next() {
		return 0
	}
	return p.lineOf(int(key.Node().Raw.Offset))
}

// lineOf returns the line, counted from 1, that contains the byte offset.
func (p *parser) lineOf(offset int) int {
	index, _ := slices.BinarySearch(p.lineEnds, offset)
	return index + 1
}

// keyParts returns the parts of a dotted key or table header.
func keyParts(node *unstable.Node) []string {
	var parts []string
	key := node.Key()
	for key.Next() {
		parts = append(parts, string(key.Node().Data))
	}
	return parts
}

// decodeScalar returns a TOML value as one of the types that scalar lists, or an error
// for any other type.
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

// decodeStrings returns a TOML list of strings. Comments in the list are skipped.
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
