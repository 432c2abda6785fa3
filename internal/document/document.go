package document

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// mostBytes bounds a text; 7,200 exceptions of 150 bytes take 1.1 MB.
const mostBytes = 8 << 20

// Document is a parsed TOML text that collects problems as its keys are checked.
type Document struct {
	file     string
	root     map[string]any
	lines    map[string]int
	problems []Problem
}

// Parse returns the document of the given file name; a text that is not TOML gives a *Problems error.
func Parse(file string, data []byte) (d *Document, err error) {
	if len(data) > mostBytes {
		return nil, newProblems([]Problem{{file: file, line: 1, message: fmt.Sprintf("text of %d bytes; allowed: %d", len(data), mostBytes)}})
	}
	d = &Document{file: file, root: map[string]any{}}
	if err = toml.Unmarshal(data, &d.root); err != nil {
		line, message := 1, err.Error()
		var decode *toml.DecodeError
		if errors.As(err, &decode) {
			line, _ = decode.Position()
		}
		return nil, newProblems([]Problem{{file: file, line: line, message: "not TOML: " + strings.TrimPrefix(message, "toml: ")}})
	}
	d.lines = linesOf(data)
	return d, nil
}

// File returns the name of the document.
func (d *Document) File() string { return d.file }

// Root returns the top-level table.
func (d *Document) Root() Table { return Table{path: "", values: d.root} }

// Line returns the line of the key, or of the nearest table above it, or 0.
func (d *Document) Line(path string) int {
	for path != "" {
		if n, ok := d.lines[path]; ok {
			return n
		}
		path = parent(path)
	}
	return 0
}

// Refuse records a problem with the key at path.
func (d *Document) Refuse(path, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		file: d.file, line: d.Line(path), key: path, message: fmt.Sprintf(format, args...),
	})
}

// RefuseError records the problems of err, or err itself as a problem with the key at path.
func (d *Document) RefuseError(path string, err error) {
	if err != nil {
		d.Refuse(path, "%s", err.Error())
	}
}

// Err returns all recorded problems as a *Problems, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return newProblems(d.problems)
}

// Table is one table of a document.
type Table struct {
	path   string
	values map[string]any
}

// Path returns the dotted path of the table, "" for the top level.
func (t Table) Path() string { return t.path }

// Keys returns the sorted names of the table's own keys.
func (t Table) Keys() []string { return slices.Sorted(maps.Keys(t.values)) }

// At returns the dotted path of a key in the table.
func (t Table) At(name string) string { return join(t.path, name) }

// Value returns the raw TOML value of a key.
func (t Table) Value(name string) (value any, ok bool) {
	value, ok = t.values[name]
	return value, ok
}

// Table returns the table below a key; ok is false when the value is not a table.
func (t Table) Table(name string) (sub Table, ok bool) {
	m, ok := t.values[name].(map[string]any)
	return Table{path: t.At(name), values: m}, ok
}

// Tables returns the array of tables below a key; ok is false when the value is another type.
func (t Table) Tables(name string) (list []Table, ok bool) {
	items, ok := t.values[name].([]any)
	if !ok {
		return nil, false
	}
	for i, v := range items {
		m, isTable := v.(map[string]any)
		if !isTable {
			return nil, false
		}
		list = append(list, Table{path: fmt.Sprintf("%s[%d]", t.At(name), i), values: m})
	}
	return list, true
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func parent(path string) string {
	if i := strings.LastIndexAny(path, ".["); i >= 0 {
		return path[:i]
	}
	return ""
}
