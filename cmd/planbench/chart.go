package main

import (
	"fmt"
	"html"
	"io"
	"strings"

	"rosemarywind.example/rosemarywind/internal/planbench"
)

// writeChart writes an SVG bar chart of the 99th percentile of urgent completion times and of the fragmentation.
func writeChart(w io.Writer, results []*planbench.Result) error {
	const left, width, line = 230, 300, 14
	var b strings.Builder
	height := (len(results) + 3) * line
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="10">`+"\n",
		left+2*width+160, height)
	longest := 1.0
	for _, r := range results {
		longest = max(longest, r.Percentile(planbench.Urgent, 0.99).Seconds())
	}
	writeText(&b, left, line, "urgent p99 completion")
	writeText(&b, left+width+80, line, "fragmentation")
	for i, r := range results {
		y := (i + 2) * line
		writeText(&b, 4, y+10, r.Scenario()+", "+string(r.Policy()))
		writeBar(&b, left, y, int(r.Percentile(planbench.Urgent, 0.99).Seconds()/longest*width), "#4477aa",
			formatDuration(r.Percentile(planbench.Urgent, 0.99)))
		writeBar(&b, left+width+80, y, int(r.Fragmentation()*width), "#cc6677", fmt.Sprintf("%.2f", r.Fragmentation()))
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// writeText writes a text element at the position in pixels.
func writeText(b *strings.Builder, x, y int, s string) {
	fmt.Fprintf(b, `<text x="%d" y="%d">%s</text>`+"\n", x, y, html.EscapeString(s))
}

// writeBar writes a bar with a label to the right of it.
func writeBar(b *strings.Builder, x, y, width int, colour, label string) {
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="%d" height="11" fill="%s"/>`+"\n", x, y, width, colour)
	writeText(b, x+width+4, y+10, label)
}
