package document

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxKeyParts limits the recorded parts of a dotted key, because the path of each prefix is stored: for a key of 100 KB
// with one letter per part, these paths add up to 2.5 GB.
const maxKeyParts = 16

// lineIndex maps the dotted path of each key of a text to its line. It holds the number of elements seen so far of each
// array of tables, and the path of the table that the parser is in.
type lineIndex struct {
	parser       unstable.Parser
	lines        map[string]int
	elements     map[string]int
	currentTable string
}

// linesOf returns the lines of the keys of a valid TOML text by dotted path.
func linesOf(data []byte) map[string]int {
	x := &lineIndex{lines: map[string]int{}, elements: map[string]int{}}
	x.parser.Reset(data)
	for x.parser.NextExpression() {
		n := x.parser.Expression()
		switch n.Kind {
		case unstable.Table:
			x.currentTable = x.addKey("", n)
		case unstable.ArrayTable:
			x.currentTable = x.addArrayTable(n)
		case unstable.KeyValue:
			x.addKeyValue(x.currentTable, n)
		default:
		}
	}
	return x.lines
}

func (x *lineIndex) addKeyValue(prefix string, n *unstable.Node) {
	path := x.addKey(prefix, n)
	value := n.Value()
	switch value.Kind {
	case unstable.InlineTable:
		x.addInlineTable(path, value)
	case unstable.Array:
		i := 0
		for it := value.Children(); it.Next(); i++ {
			if it.Node().Kind == unstable.InlineTable {
				x.addInlineTable(fmt.Sprintf("%s[%d]", path, i), it.Node())
			}
		}
	default:
	}
}

func (x *lineIndex) addInlineTable(path string, n *unstable.Node) {
	for it := n.Children(); it.Next(); {
		if it.Node().Kind == unstable.KeyValue {
			x.addKeyValue(path, it.Node())
		}
	}
}

// addKey records the line of each part of a dotted key and returns its path; a part that names an array of tables
// refers to its last element.
func (x *lineIndex) addKey(prefix string, n *unstable.Node) string {
	path := prefix
	it := n.Key()
	for i := 0; i < maxKeyParts && it.Next(); i++ {
		path = join(path, string(it.Node().Data))
		x.record(path, it.Node())
		if c := x.elements[path]; c > 0 {
			path = fmt.Sprintf("%s[%d]", path, c-1)
		}
	}
	return path
}

// addArrayTable records a header [[a.b]], which adds an element to the array of tables, and returns the element's path.
func (x *lineIndex) addArrayTable(n *unstable.Node) string {
	path := ""
	it := n.Key()
	for i := 0; i < maxKeyParts && it.Next(); i++ {
		path = join(path, string(it.Node().Data))
		x.record(path, it.Node())
		if it.IsLast() {
			x.elements[path]++
		}
		if c := x.elements[path]; c > 0 {
			path = fmt.Sprintf("%s[%d]", path, c-1)
			x.record(path, it.Node())
		}
	}
	return path
}

// record stores the line of a path unless an earlier line is known.
func (x *lineIndex) record(path string, n *unstable.Node) {
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = x.parser.Shape(n.Raw).Start.Line
	}
}
