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
	case idle:
		_, err := io.WriteString(w, t.head("GET")+"\r\n")
		return err
	case largeHead:
		return t.writeHead(w, "Large: "+strings.Repeat("x", k.bytes))
	case endlessHead:
		return sendEndlessHead(w, t, k.bytes)
	case unfinishedHead:
		_, err := io.WriteString(w, t.fill(DifferentNames))
		return err
	case emptyLines:
		return sendEmptyLines(w, t, k)
	case manyLines:
		return sendManyLines(w, t, k.shape)
	case body:
		return sendBody(w, t, k)
	case chunks:
		return sendChunks(w, t, k)
	case secondRequest:
		return sendSecondRequest(w, t)
	case unreadAnswers:
		one := []byte(t.head("GET") + "\r\n")
		perWrite := pieceBytes / len(one)
		return repeat(w, bytes.Repeat(one, perWrite), k.bytes/pieceBytes)
	case silence, mixture:
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

func sendEmptyLines(w io.Writer, t Target, k emptyLines) error {
	if k.afterRequest {
		if _, err := io.WriteString(w, t.head("POST", "Content-Length: 0")+"\r\n"); err != nil {
			return err
		}
	}
	return repeat(w, bytes.Repeat([]byte("\r\n"), emptyLinesPerPiece), k.bytes/pieceBytes)
}

func sendManyLines(w io.Writer, t Target, shape LineShape) error {
	head := t.fill(shape, fmt.Sprintf("Content-Length: %d", unfinishedBytes))
	if _, err := io.WriteString(w, head+"\r\n"); err != nil {
		return err
	}
	_, err := w.Write(bytes.Repeat([]byte(" "), unfinishedBytes-1))
	return err
}

func sendBody(w io.Writer, t Target, k body) error {
	if err := t.writeHead(w, fmt.Sprintf("Content-Length: %d", t.bodyBytes)); err != nil {
		return err
	}
	rest := bytes.Repeat([]byte(" "), t.bodyBytes-k.missing)
	for len(rest) > 0 {
		n := min(len(rest), k.piece)
		if _, err := w.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

func sendChunks(w io.Writer, t Target, k chunks) error {
	if err := t.writeHead(w, "Transfer-Encoding: chunked"); err != nil {
		return err
	}
	extension := ""
	if k.extension > 0 {
		extension = ";" + strings.Repeat("x", k.extension)
	}
	one := fmt.Appendf(nil, "%x%s\r\n%s\r\n", k.size, extension, strings.Repeat(" ", k.size))
	perWrite := max(pieceBytes/len(one), 1)
	count := t.bodyBytes / k.size
	if k.short {
		count--
	}
	for ; count > 0; count -= perWrite {
		if _, err := w.Write(bytes.Repeat(one, min(count, perWrite))); err != nil {
			return err
		}
	}
	if k.short {
		return nil
	}
	return endChunks(w, k.trailer)
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
	second := t.fill(EqualNames, "Content-Length: 1")
	_, err := io.WriteString(w, first+second+"\r\n")
	return err
}
