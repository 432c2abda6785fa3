package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"rosemarywind.example/rosemarywind/internal/document"
)

// Example returns a valid settings file that lists every key of a role, or "" for an unknown role.
func Example(role Role) string {
	var b strings.Builder
	keys := slices.Clone(keysOf(role))
	slices.SortStableFunc(keys, func(x, y definition) int {
		return strings.Compare(tableOf(x), tableOf(y))
	})
	table := ""
	for _, k := range keys {
		if t := tableOf(k); t != table {
			table = t
			fmt.Fprintf(&b, "\n[%s]\n", t)
		}
		fmt.Fprintf(&b, "# %s. Allowed: %s.\n", k.doc, document.Allowed(k.kind))
		name := strings.TrimPrefix(k.name, table+".")
		switch raw := exampleOf(role, k).(type) {
		case nil:
			fmt.Fprintf(&b, "# %s = \"\"\n", name)
		case map[string]any:
			for id, v := range raw {
				fmt.Fprintf(&b, "%s = %s\n", id, tomlLiteral(v))
			}
		default:
			fmt.Fprintf(&b, "%s = %s\n", name, tomlLiteral(raw))
		}
	}
	return b.String()
}

// Reference returns the Markdown table of a role's keys, or "" for an unknown role.
func Reference(role Role) string {
	keys := keysOf(role)
	if keys == nil {
		return ""
	}
	var b strings.Builder
	b.WriteString("| key | default | unit | allowed | meaning |\n|---|---|---|---|---|\n")
	for _, k := range keys {
		defaultText := "none"
		switch {
		case k.required:
			defaultText = "required"
		case !isEmpty(k.defaultValue):
			defaultText = "`" + tomlLiteral(k.defaultValue) + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.name, defaultText, k.unit, document.Allowed(k.kind), k.doc)
	}
	return b.String()
}

func exampleOf(role Role, k definition) any {
	if !k.required {
		return k.defaultValue
	}
	if s, ok := k.example.(string); ok {
		return strings.ReplaceAll(s, "ROLE", string(role))
	}
	return k.example
}

func tableOf(k definition) string {
	if _, ok := k.example.(map[string]any); ok {
		return k.name
	}
	return strings.TrimSuffix(prefixOf(k.name), ".")
}

func tomlLiteral(raw any) string {
	switch v := raw.(type) {
	case string:
		return strconv.Quote(v)
	case float64:
		return strconv.FormatFloat(v, 'f', 1, 64)
	case []any:
		parts := make([]string, len(v))
		for i, e := range v {
			parts[i] = tomlLiteral(e)
		}
		return "[" + strings.Join(parts, ", ") + "]"
	default:
		return fmt.Sprint(v)
	}
}
