package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// writeTable writes rows in aligned columns, with "-" for an empty cell; the first row is the header.
func writeTable(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		cells := make([]string, len(r))
		for i, c := range r {
			cells[i] = sanitize(c)
			if c == "" {
				cells[i] = "-"
			}
		}
		_, _ = fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	_ = t.Flush()
}

// sanitize replaces control characters, since a payload or a reason could contain escape sequences for the terminal.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return '?'
		}
		return r
	}, s)
}

// sanitizeLines replaces control characters as sanitize does, but keeps line feeds and tabs.
func sanitizeLines(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) && r != '\n' && r != '\t' {
			return '?'
		}
		return r
	}, s)
}
