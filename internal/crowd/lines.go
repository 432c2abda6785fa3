package crowd

import (
	"fmt"
	"strings"
)

// LineShape is how the lines of a head look.
type LineShape string

// The shapes of lines.
const (
	// DifferentNames are short lines, each with a name of its own.
	DifferentNames LineShape = "different names"
	// EqualNames are short lines of one name.
	EqualNames LineShape = "equal names"
	// FoldedLines are continuations of one line, as HTTP once allowed them.
	FoldedLines LineShape = "folded lines"
	// OddLines are lines with unusual names and spaces around their values.
	OddLines LineShape = "odd lines"
)

// LineShapes returns all shapes.
func LineShapes() []LineShape {
	return []LineShape{DifferentNames, EqualNames, FoldedLines, OddLines}
}

// line returns line number n with its end.
func (s LineShape) line(n int) string {
	switch s {
	case DifferentNames:
	case EqualNames:
		return "A:\r\n"
	case FoldedLines:
		return " a\r\n"
	case OddLines:
		return fmt.Sprintf("~%x!#$%%&'*:\t \t\xff \r\n", n)
	}
	return fmt.Sprintf("%x:\r\n", n)
}

// fill returns a head of legal size without its end, filled with lines of the given shape.
func (t Target) fill(shape LineShape, lines ...string) string {
	var b strings.Builder
	b.WriteString(t.head(t.method, lines...))
	if shape == FoldedLines {
		b.WriteString("Folded: a\r\n")
	}
	for n := 0; ; n++ {
		line := shape.line(n)
		if b.Len()+len(line) >= t.headBytes {
			return b.String()
		}
		b.WriteString(line)
	}
}
