package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"rosemarywind.example/rosemarywind/internal/document"
)

// values holds the checked value of each key of one file, with the defaults filled in.
type values struct {
	byKey map[string]any
}

// Check reports every problem of a settings file for a role as a *document.Problems.
func Check(role Role, file string) error {
	_, err := load(role, file)
	return err
}

func load(role Role, file string) (v values, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return values{}, fmt.Errorf("read settings: %w", err)
	}
	return parse(role, file, data)
}

func parse(role Role, file string, data []byte) (v values, err error) {
	table := keysOf(role)
	if table == nil {
		return values{}, fmt.Errorf("role %q is unknown; allowed: %v", role, Roles())
	}
	d, err := document.Parse(file, data)
	if err != nil {
		return values{}, err
	}
	v = values{byKey: make(map[string]any, len(table))}
	found := map[string]any{}
	collect(d, table, d.Root(), found)
	for _, k := range table {
		fill(d, k, found, v)
	}
	if d.Err() == nil {
		checkTogether(d, role, v)
	}
	if err = d.Err(); err != nil {
		return values{}, err
	}
	return v, nil
}

// collect finds the raw values of declared keys and refuses all others.
func collect(d *document.Document, table []declared, t document.Table, found map[string]any) {
	for _, name := range t.Keys() {
		at := t.At(name)
		raw, _ := t.Value(name)
		sub, isTable := t.Table(name)
		switch {
		case slices.ContainsFunc(table, func(k declared) bool { return k.name == at }):
			found[at] = raw
		case isTable && hasPrefix(table, at):
			collect(d, table, sub, found)
		case hasPrefix(table, at):
			d.Refuse(at, "must be a table; allowed keys: %s", siblings(table, at+"."))
		default:
			d.Refuse(at, "unknown key; allowed keys: %s", siblings(table, prefixOf(at)))
		}
	}
}

func hasPrefix(table []declared, at string) bool {
	return slices.ContainsFunc(table, func(k declared) bool { return strings.HasPrefix(k.name, at+".") })
}

func prefixOf(at string) string {
	return at[:strings.LastIndex(at, ".")+1]
}

// siblings lists the declared keys that start with prefix.
func siblings(table []declared, prefix string) string {
	var names []string
	for _, k := range table {
		if strings.HasPrefix(k.name, prefix) {
			names = append(names, k.name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func fill(d *document.Document, k declared, found map[string]any, v values) {
	raw, ok := found[k.name]
	if isEmpty(raw) {
		if k.required {
			d.Refuse(k.name, "required (%s); allowed: %s", k.doc, document.Allowed(k.kind))
			return
		}
		if !ok || raw == "" {
			raw = k.fallback
		}
		if isEmpty(raw) {
			return
		}
	}
	value, err := document.Convert(k.kind, raw)
	if err != nil {
		d.RefuseError(k.name, err)
		return
	}
	v.byKey[k.name] = value
}

func isEmpty(raw any) bool {
	switch r := raw.(type) {
	case nil:
		return true
	case string:
		return r == ""
	case []any:
		return len(r) == 0
	default:
		return false
	}
}
