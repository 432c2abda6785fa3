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

// body is a caller's body; share is what it holds of the bytes that may be buffered.
type body struct {
	source io.Reader
	length int64
	share  int64
	ended  bool
}

func newBody(h *http.Request) *body {
	return &body{source: h.Body, length: h.ContentLength, ended: h.ContentLength == 0}
}

// Read notes the end of the body.
func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.source.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// receive reads the whole body within the limits until the given moment.
func (e *Entry) receive(
	ctx context.Context, b *body, control *http.ResponseController, until time.Time,
) (data []byte, refusal request.Result) {
	if b.length == 0 {
		return nil, nil
	}
	if b.length > int64(e.bodyLimit) {
		return nil, request.NewRefused(outcome.TooLarge, "the body exceeds the limit", 0)
	}
	share := b.length
	if share < 0 {
		share = int64(e.bodyLimit)
	}
	b.share = share
	if e.buffered.Add(share) > e.bufferedLimit {
		return nil, request.NewRefused(outcome.QueueFull, "too many bodies are buffered", retryLater)
	}
	_ = control.SetReadDeadline(until)
	data, err := read(b, e.bodyLimit)
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

// pastDeadline looks at the deadline alone, since net/http ends the context of a request whose body it cannot read.
func pastDeadline(ctx context.Context, now time.Time) bool {
	d, ok := ctx.Deadline()
	return ok && !now.Before(d)
}

var errTooLarge = errors.New("the body exceeds the limit")

// read allocates a body of known length once.
func read(b *body, limit int) (data []byte, err error) {
	if b.length > 0 {
		data = make([]byte, b.length)
		if _, err = io.ReadFull(b, data); err != nil {
			return nil, err
		}
		// The next read returns the end, after which net/http watches the connection for the caller's hanging up.
		_, err = io.Copy(io.Discard, b)
		return data, err
	}
	if data, err = io.ReadAll(io.LimitReader(b, int64(limit)+1)); err == nil && len(data) > limit {
		return nil, errTooLarge
	}
	return data, err
}
