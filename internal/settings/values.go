package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"rosemarywind.example/rosemarywind/internal/document"
)

// values holds the converted value of each key of one file, with defaults for the keys that the file leaves out.
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
	definitions := keysOf(role)
	if definitions == nil {
		return values{}, fmt.Errorf("role %q is unknown; allowed: %v", role, Roles())
	}
	d, err := document.Parse(file, data)
	if err != nil {
		return values{}, err
	}
	v = values{byKey: make(map[string]any, len(definitions))}
	found := map[string]any{}
	collect(d, definitions, d.Root(), found)
	for _, k := range definitions {
		setValue(d, k, found, v)
	}
	if d.Err() == nil {
		checkConsistency(d, role, v)
	}
	if err = d.Err(); err != nil {
		return values{}, err
	}
	return v, nil
}

// collect stores the raw values of defined keys in found by dotted path and reports all other keys.
func collect(d *document.Document, definitions []definition, t document.Table, found map[string]any) {
	for _, name := range t.Keys() {
		path := t.PathOf(name)
		raw, _ := t.Value(name)
		sub, isTable := t.Table(name)
		switch {
		case slices.ContainsFunc(definitions, func(k definition) bool { return k.name == path }):
			found[path] = raw
		case isTable && hasKeysBelow(definitions, path):
			collect(d, definitions, sub, found)
		case hasKeysBelow(definitions, path):
			d.Reportf(path, "must be a table; allowed keys: %s", keysWithPrefix(definitions, path+"."))
		default:
			d.Reportf(path, "unknown key; allowed keys: %s", keysWithPrefix(definitions, prefixOf(path)))
		}
	}
}

// hasKeysBelow reports whether path is the table of a defined key.
func hasKeysBelow(definitions []definition, path string) bool {
	return slices.ContainsFunc(definitions, func(k definition) bool { return strings.HasPrefix(k.name, path+".") })
}

// prefixOf returns the path of the table that holds a key, with the final dot, or "" for a top-level key.
func prefixOf(path string) string {
	return path[:strings.LastIndex(path, ".")+1]
}

// keysWithPrefix lists the defined keys that start with prefix.
func keysWithPrefix(definitions []definition, prefix string) string {
	var names []string
	for _, k := range definitions {
		if strings.HasPrefix(k.name, prefix) {
			names = append(names, k.name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// setValue stores the converted value of a key in v: the value that was found, or the default. It reports a missing
// required key and a value that does not convert; an empty key without a default stays unset.
func setValue(d *document.Document, k definition, found map[string]any, v values) {
	raw, ok := found[k.name]
	if isEmpty(raw) {
		if k.required {
			d.Reportf(k.name, "required (%s); allowed: %s", k.doc, document.Allowed(k.kind))
			return
		}
		if !ok || raw == "" {
			raw = k.defaultValue
		}
		if isEmpty(raw) {
			return
		}
	}
	value, err := document.Convert(k.kind, raw)
	if err != nil {
		d.ReportError(k.name, err)
		return
	}
	v.byKey[k.name] = value
}

// isEmpty reports whether a raw value is missing, an empty string or an empty list.
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
