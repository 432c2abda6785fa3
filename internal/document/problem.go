package document

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one invalid or missing key of a document.
type Problem struct {
	file    string
	line    int
	key     string
	message string
}

// File returns the file name of the document.
func (p Problem) File() string { return p.file }

// Line returns the line, counted from 1, or 0 if neither the key nor a table above it is in the document.
func (p Problem) Line() int { return p.line }

// Key returns the dotted path of the key, or "" if the problem is with the whole text.
func (p Problem) Key() string { return p.key }

// Message describes the problem and, where that helps, the allowed values.
func (p Problem) Message() string { return p.message }

// Error returns the problem as FILE:LINE: key "a.b": MESSAGE.
func (p Problem) Error() string {
	if p.key == "" {
		return fmt.Sprintf("%s:%d: %s", p.file, p.line, p.message)
	}
	return fmt.Sprintf("%s:%d: key %q: %s", p.file, p.line, p.key, p.message)
}

// Problems is the error that lists all problems of a document, sorted by line.
type Problems struct {
	list []Problem
}

// List returns the problems, sorted by line; the caller must not modify the slice.
func (p *Problems) List() []Problem { return p.list }

// Error returns the problems, one per line of text.
func (p *Problems) Error() string {
	lines := make([]string, len(p.list))
	for i, e := range p.list {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems as errors, so that errors.As finds a Problem.
func (p *Problems) Unwrap() []error {
	list := make([]error, len(p.list))
	for i, e := range p.list {
		list[i] = e
	}
	return list
}

func newProblems(list []Problem) *Problems {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b Problem) int { return a.line - b.line })
	return &Problems{list: list}
}
