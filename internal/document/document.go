package document

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxBytes limits the size of a text; a declaration with 7,200 exceptions of 150 bytes each is 1.1 MB.
const maxBytes = 8 << 20

// Document is a parsed TOML text that collects the problems that its readers report; it is not safe for concurrent use.
type Document struct {
	file     string
	root     map[string]any
	lines    map[string]int
	problems []Problem
}

// Parse parses a TOML text; a text that is not TOML, or larger than 8 MiB, gives a *Problems error. The file name
// appears only in errors.
func Parse(file string, data []byte) (d *Document, err error) {
	if len(data) > maxBytes {
		return nil, newProblems([]Problem{{file: file, line: 1, message: fmt.Sprintf("text of %d bytes; allowed: %d", len(data), maxBytes)}})
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

// File returns the file name given to Parse.
func (d *Document) File() string { return d.file }

// Root returns the top-level table.
func (d *Document) Root() Table { return Table{path: "", values: d.root} }

// Line returns the line of the key at a dotted path, counted from 1, or of the nearest table above it, or 0 if neither
// is in the text.
func (d *Document) Line(path string) int {
	for path != "" {
		if n, ok := d.lines[path]; ok {
			return n
		}
		path = parent(path)
	}
	return 0
}

// Reportf records a problem with the key at a dotted path.
func (d *Document) Reportf(path, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		file: d.file, line: d.Line(path), key: path, message: fmt.Sprintf(format, args...),
	})
}

// ReportError records err as a problem with the key at a dotted path; a nil error records nothing.
func (d *Document) ReportError(path string, err error) {
	if err != nil {
		d.Reportf(path, "%s", err.Error())
	}
}

// Err returns all recorded problems as a *Problems error, or nil if there are none.
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

// Path returns the dotted path of the table, or "" for the top level.
func (t Table) Path() string { return t.path }

// Keys returns the names of the table's own keys, sorted; keys of tables below it are left out.
func (t Table) Keys() []string { return slices.Sorted(maps.Keys(t.values)) }

// PathOf returns the dotted path of a key in the table.
func (t Table) PathOf(name string) string { return join(t.path, name) }

// Value returns the raw TOML value of a key.
func (t Table) Value(name string) (value any, ok bool) {
	value, ok = t.values[name]
	return value, ok
}

// Table returns the value of a key as a table; ok is false if it is missing or not a table.
func (t Table) Table(name string) (sub Table, ok bool) {
	m, ok := t.values[name].(map[string]any)
	return Table{path: t.PathOf(name), values: m}, ok
}

// Tables returns the value of a key as an array of tables; ok is false if it is missing or of another type.
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
		list = append(list, Table{path: fmt.Sprintf("%s[%d]", t.PathOf(name), i), values: m})
	}
	return list, true
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// parent returns the path of the table or the array that holds the key at path, or "" at the top level.
func parent(path string) string {
	if i := strings.LastIndexAny(path, ".["); i >= 0 {
		return path[:i]
	}
	return ""
}
