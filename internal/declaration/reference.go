package declaration

import (
	"fmt"
	"strings"

	"rosemarywind.example/rosemarywind/internal/document"
)

// Reference returns the Markdown table of all defaults.
func Reference() string {
	var b strings.Builder
	b.WriteString("| key | built-in value | allowed | exceptions for | meaning |\n|---|---|---|---|---|\n")
	for _, d := range definitions {
		fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s | %s |\n",
			d.key, textOf(d.builtIn), document.Allowed(d.kind), strings.Join(d.targets, ", "), d.doc)
	}
	return b.String()
}
