package document

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// mostParts bounds the recorded parts of a dotted key: the paths of all prefixes
// of a key of 100 KB with one letter a part add up to 2.5 GB.
const mostParts = 16

// lineIndex maps the dotted path of each key of a text to its line.
type lineIndex struct {
	parser unstable.Parser
	lines  map[string]int
	counts map[string]int
	table  string
}

// linesOf returns the lines of the keys of a text that is known to be TOML.
func linesOf(data []byte) map[string]int {
	x := &lineIndex{lines: map[string]int{}, counts: map[string]int{}}
	x.parser.Reset(data)
	for x.parser.NextExpression() {
		n := x.parser.Expression()
		switch n.Kind {
		case unstable.Table:
			x.table = x.path("", n)
		case unstable.ArrayTable:
			x.table = x.element(n)
		case unstable.KeyValue:
			x.keyValue(x.table, n)
		default:
		}
	}
	return x.lines
}

func (x *lineIndex) keyValue(prefix string, n *unstable.Node) {
	path := x.path(prefix, n)
	value := n.Value()
	switch value.Kind {
	case unstable.InlineTable:
		x.children(path, value)
	case unstable.Array:
		i := 0
		for it := value.Children(); it.Next(); i++ {
			if it.Node().Kind == unstable.InlineTable {
				x.children(fmt.Sprintf("%s[%d]", path, i), it.Node())
			}
		}
	default:
	}
}

func (x *lineIndex) children(path string, n *unstable.Node) {
	for it := n.Children(); it.Next(); {
		if it.Node().Kind == unstable.KeyValue {
			x.keyValue(path, it.Node())
		}
	}
}

// path records the line of a dotted key; a part that names an array of tables means its last element.
func (x *lineIndex) path(prefix string, n *unstable.Node) string {
	path := prefix
	it := n.Key()
	for i := 0; i < mostParts && it.Next(); i++ {
		path = join(path, string(it.Node().Data))
		x.record(path, it.Node())
		if c := x.counts[path]; c > 0 {
			path = fmt.Sprintf("%s[%d]", path, c-1)
		}
	}
	return path
}

func (x *lineIndex) element(n *unstable.Node) string {
	path := ""
	it := n.Key()
	for i := 0; i < mostParts && it.Next(); i++ {
		path = join(path, string(it.Node().Data))
		x.record(path, it.Node())
		if it.IsLast() {
			x.counts[path]++
		}
		if c := x.counts[path]; c > 0 {
			path = fmt.Sprintf("%s[%d]", path, c-1)
			x.record(path, it.Node())
		}
	}
	return path
}

func (x *lineIndex) record(path string, n *unstable.Node) {
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = x.parser.Shape(n.Raw).Start.Line
	}
}
