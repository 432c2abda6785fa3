package crowd

import (
	"fmt"
	"io"
	"strings"
)

// Target is the address of a server and a legal request to it; it is immutable.
type Target struct {
	address   string
	method    string
	path      string
	lines     []string
	headBytes int
	bodyBytes int
}

// NewTarget returns a target whose requests have the given method and path.
func NewTarget(address, method, path string) Target {
	return Target{address: address, method: method, path: path, headBytes: 16_000}
}

// WithLines returns a copy with header lines of each request, without their ends.
func (t Target) WithLines(lines ...string) Target {
	t.lines = lines
	return t
}

// WithLimits returns a copy with the sizes up to which a head and a body are legal.
func (t Target) WithLimits(head, body int) Target {
	t.headBytes, t.bodyBytes = head, body
	return t
}

// Address returns the IP address and the port.
func (t Target) Address() string { return t.address }

// writeHead writes the whole head of a request with further header lines.
func (t Target) writeHead(w io.Writer, lines ...string) error {
	_, err := io.WriteString(w, t.head(t.method, lines...)+"\r\n")
	return err
}

// head returns the head of a request with further header lines, without the empty line at its end.
func (t Target) head(method string, lines ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n", method, t.path)
	for _, l := range append(t.lines[:len(t.lines):len(t.lines)], lines...) {
		b.WriteString(l + "\r\n")
	}
	return b.String()
}
