package crowd

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

const (
	// pieceBytes is how much is sent at once.
	pieceBytes = 32 << 10
	// emptyLinesPerPiece is how many empty lines a piece holds.
	emptyLinesPerPiece = pieceBytes / 2
	// unfinishedBytes is the length of a body that lacks its last byte.
	unfinishedBytes = 1 << 10
)

// send sends what a client sends.
func send(w io.Writer, t Target, k Kind) error {
	switch k := k.(type) {
	case LargeHead:
		return t.writeHead(w, "Large: "+strings.Repeat("x", k.Bytes))
	case EndlessHead:
		return sendEndlessHead(w, t, k.Bytes)
	case UnfinishedHead:
		_, err := io.WriteString(w, t.fill(t.method, DifferentNames))
		return err
	case EmptyLines:
		return sendEmptyLines(w, t, k)
	case ManyLines:
		return sendManyLines(w, t, k.Shape)
	case Body:
		return sendBody(w, t, k)
	case Chunks:
		return sendChunks(w, t, k)
	case SecondRequest:
		return sendSecondRequest(w, t)
	case UnreadAnswers:
		one := []byte(t.head("GET") + "\r\n")
		perWrite := pieceBytes / len(one)
		return repeat(w, bytes.Repeat(one, perWrite), k.Bytes/pieceBytes)
	case Silence, Mixture:
	}
	return nil
}

// repeat writes a piece a number of times.
func repeat(w io.Writer, piece []byte, times int) error {
	for range times {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

func sendEndlessHead(w io.Writer, t Target, length int) error {
	if _, err := io.WriteString(w, t.head(t.method)); err != nil {
		return err
	}
	for n := 0; n < length; n += pieceBytes {
		var lines bytes.Buffer
		for lines.Len() < pieceBytes {
			fmt.Fprintf(&lines, "X-%d: a\r\n", n+lines.Len())
		}
		if _, err := w.Write(lines.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

func sendEmptyLines(w io.Writer, t Target, k EmptyLines) error {
	if k.AfterRequest {
		if _, err := io.WriteString(w, t.head("POST", "Content-Length: 0")+"\r\n"); err != nil {
			return err
		}
	}
	return repeat(w, bytes.Repeat([]byte("\r\n"), emptyLinesPerPiece), k.Bytes/pieceBytes)
}

// fill returns a head of legal size without its end, filled with lines of the given shape.
func (t Target) fill(method string, shape LineShape, lines ...string) string {
	var b strings.Builder
	b.WriteString(t.head(method, lines...))
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

func sendManyLines(w io.Writer, t Target, shape LineShape) error {
	head := t.fill(t.method, shape, fmt.Sprintf("Content-Length: %d", unfinishedBytes))
	if _, err := io.WriteString(w, head+"\r\n"); err != nil {
		return err
	}
	_, err := w.Write(bytes.Repeat([]byte(" "), unfinishedBytes-1))
	return err
}

func sendBody(w io.Writer, t Target, k Body) error {
	if err := t.writeHead(w, fmt.Sprintf("Content-Length: %d", t.bodyBytes)); err != nil {
		return err
	}
	body := bytes.Repeat([]byte(" "), t.bodyBytes-k.Missing)
	for len(body) > 0 {
		n := min(len(body), k.Piece)
		if _, err := w.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

func sendChunks(w io.Writer, t Target, k Chunks) error {
	if err := t.writeHead(w, "Transfer-Encoding: chunked"); err != nil {
		return err
	}
	extension := ""
	if k.Extension > 0 {
		extension = ";" + strings.Repeat("x", k.Extension)
	}
	one := fmt.Appendf(nil, "%x%s\r\n%s\r\n", k.Size, extension, strings.Repeat(" ", k.Size))
	perWrite := max(pieceBytes/len(one), 1)
	count := t.bodyBytes / k.Size
	if k.Short {
		count--
	}
	for ; count > 0; count -= perWrite {
		if _, err := w.Write(bytes.Repeat(one, min(count, perWrite))); err != nil {
			return err
		}
	}
	if k.Short {
		return nil
	}
	return endChunks(w, k.Trailer)
}

// endChunks ends a body of chunks with trailer lines that have no end, or with none.
func endChunks(w io.Writer, trailer int) error {
	if trailer == 0 {
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
	if _, err := io.WriteString(w, "0\r\n"); err != nil {
		return err
	}
	line := []byte("Trailer: a\r\n")
	return repeat(w, bytes.Repeat(line, pieceBytes/len(line)), max(trailer/pieceBytes, 1))
}

func sendSecondRequest(w io.Writer, t Target) error {
	first := t.head("GET") + "\r\n"
	second := t.fill(t.method, EqualNames, "Content-Length: 1")
	_, err := io.WriteString(w, first+second+"\r\n")
	return err
}
