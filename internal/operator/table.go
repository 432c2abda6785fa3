package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// table writes rows in aligned columns; the first row is the header.
func table(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		cells := make([]string, len(r))
		for i, c := range r {
			cells[i] = plain(c)
			if c == "" {
				cells[i] = "-"
			}
		}
		_, _ = fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	_ = t.Flush()
}

// plain replaces control characters, with which a payload or a reason could change the terminal.
func plain(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return '?'
		}
		return r
	}, s)
}

// plainLines is plain for a text of several lines, which may contain tabs.
func plainLines(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) && r != '\n' && r != '\t' {
			return '?'
		}
		return r
	}, s)
}
