package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// body reads the body of a caller's request.
type body struct {
	source   io.Reader
	length   int64 // Content-Length, -1 if unknown
	reserved int64 // part of Entry.buffered that this body takes up, in bytes
	ended    bool  // whether a read has returned io.EOF
}

func newBody(h *http.Request) *body {
	return &body{source: h.Body, length: h.ContentLength, ended: h.ContentLength == 0}
}

// Read reads from the body and records whether its end has been reached.
func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.source.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// receiveBody reads the complete body by the given time, or returns the refusal of a body that is too large, arrives
// too slowly or exceeds the limit on buffered bytes. The caller returns b.reserved to e.buffered.
func (e *Entry) receiveBody(
	ctx context.Context, b *body, control *http.ResponseController, until time.Time,
) (data []byte, refusal request.Result) {
	if b.length == 0 {
		return nil, nil
	}
	if b.length > int64(e.bodyLimit) {
		return nil, request.NewRefused(outcome.TooLarge, "the body exceeds the limit", 0)
	}
	reserved := b.length
	if reserved < 0 {
		reserved = int64(e.bodyLimit)
	}
	b.reserved = reserved
	if e.buffered.Add(reserved) > e.bufferedLimit {
		return nil, request.NewRefused(outcome.QueueFull, "too many bodies are buffered", retryLater)
	}
	_ = control.SetReadDeadline(until)
	data, err := readBody(b, e.bodyLimit)
	switch {
	case errors.Is(err, errTooLarge):
		return nil, request.NewRefused(outcome.TooLarge, "the body exceeds the limit", 0)
	case err != nil && pastDeadline(ctx, time.Now()):
		return nil, request.NewRefused(outcome.DeadlineExceeded, "the deadline passed before the body was whole", 0)
	case err != nil:
		return nil, request.NewRefused(outcome.BadRequest, "the body is not whole or came too slowly", 0)
	}
	_ = control.SetReadDeadline(time.Time{})
	return data, nil
}

// pastDeadline reports whether the deadline of ctx has passed. It does not use ctx.Err, since net/http cancels the
// context of a request whose body it cannot read.
func pastDeadline(ctx context.Context, now time.Time) bool {
	d, ok := ctx.Deadline()
	return ok && !now.Before(d)
}

var errTooLarge = errors.New("the body exceeds the limit")

// readBody reads a body of at most limit bytes. A body of known length is allocated once.
func readBody(b *body, limit int) (data []byte, err error) {
	if b.length > 0 {
		data = make([]byte, b.length)
		if _, err = io.ReadFull(b, data); err != nil {
			return nil, err
		}
		// Once a read has returned io.EOF, net/http watches the connection and cancels the context when the caller
		// closes it.
		_, err = io.Copy(io.Discard, b)
		return data, err
	}
	if data, err = io.ReadAll(io.LimitReader(b, int64(limit)+1)); err == nil && len(data) > limit {
		return nil, errTooLarge
	}
	return data, err
}
