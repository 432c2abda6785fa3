package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// firstBodyBytes is the size of the buffer for the first bytes of a body.
	firstBodyBytes = 4 << 10
	// copiesPerBody is how many further copies of a body exist while it is passed on: encoded, in a buffer that has grown
	// to up to twice its length.
	copiesPerBody = 2
	// turnTimeout bounds how long a large body waits for its turn to be passed on. Clients turn to another host after about
	// a second.
	turnTimeout = time.Second
)

// ReadBody reads the body of a request that a Listener accepted, of at most limit bytes. What it holds is charged until
// the request is answered; a body that is too large, arrives too slowly or finds the budget spent is refused, and the
// connection ends with the answer.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (data []byte, err error) {
	return ReadBodyUntil(w, r, limit, time.Time{})
}

// ReadBodyUntil is ReadBody for a body that has to be whole by a time, unless that is zero.
func ReadBodyUntil(w http.ResponseWriter, r *http.Request, limit int64, until time.Time) (data []byte, err error) {
	c := connectionOf(r.Context())
	if c == nil {
		return readUncharged(r, limit)
	}
	l := c.listener.limiter
	defer func() {
		if refusal := RefusalOf(err); refusal != nil {
			skipBody(w)
			l.recordRefusal(l.now(), c.RemoteAddr(), refusal.Reason())
		}
	}()
	if r.ContentLength > limit {
		return nil, &Refusal{reason: BodyTooLarge}
	}
	c.tracked.enter(l.now(), Receiving)
	defer func() {
		if !c.tracked.enter(l.now(), Serving) {
			data, err = nil, &Refusal{reason: Displaced}
		}
	}()
	b := body{
		request: r, control: http.NewResponseController(w), connection: c, limit: limit,
		now: l.now, progress: l.limits.pace.Begin(l.now()).endingBy(until),
	}
	return b.read()
}

// readUncharged reads the body of a request that no Listener accepted, as one that a test hands to a handler.
func readUncharged(r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = &Refusal{reason: BodyTooLarge}
	}
	return data, err
}

// body is a body that is being read.
type body struct {
	request    *http.Request
	control    *http.ResponseController
	connection *Connection
	limit      int64
	now        func() time.Time
	progress   Progress
	deadline   time.Time // for reads
	data       []byte
}

// read reads the whole body. Its buffer grows with what has arrived and not with what the head claims.
func (b *body) read() ([]byte, error) {
	if b.request.ContentLength == 0 {
		return nil, nil
	}
	for {
		if err := b.grow(); err != nil {
			return nil, err
		}
		if d := b.progress.Deadline(); !d.Equal(b.deadline) {
			b.deadline = d
			_ = b.control.SetReadDeadline(d)
		}
		n, err := b.request.Body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		now := b.now()
		b.progress.Advance(now, n)
		switch {
		case int64(len(b.data)) > b.limit:
			return nil, &Refusal{reason: BodyTooLarge}
		case errors.Is(err, io.EOF):
			_ = b.control.SetReadDeadline(time.Time{})
			return b.data, nil
		case errors.Is(err, os.ErrDeadlineExceeded) || err == nil && b.progress.TooSlow(now):
			return nil, &Refusal{reason: BodyTooSlow}
		case err != nil:
			return nil, err
		}
	}
}

// grow makes room for at least one more byte, which also finds the end of a body of known length.
func (b *body) grow() error {
	if len(b.data) < cap(b.data) {
		return nil
	}
	size := max(2*int64(cap(b.data)), firstBodyBytes)
	if length := b.request.ContentLength; length > 0 && length < size {
		size = max(length, int64(len(b.data))) + 1
	}
	size = min(size, b.limit+1)
	if refusal := b.connection.add(size - int64(cap(b.data))); refusal != nil {
		return refusal
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return nil
}

// AcquireCopies holds the bytes of the copies of a body of the given length that passing it on takes. A small body is
// charged to its request; a large one waits for its turn for turnTimeout at most. The caller releases it once it has an
// answer.
func AcquireCopies(ctx context.Context, r *http.Request, length int) (release func(), err error) {
	c := connectionOf(r.Context())
	if c == nil {
		return func() {}, nil
	}
	l := c.listener.limiter
	bytes := copiesPerBody * int64(length)
	if length <= smallBytes {
		if refusal := c.add(bytes); refusal != nil {
			l.recordRefusal(l.now(), c.RemoteAddr(), refusal.Reason())
			return nil, refusal
		}
		return func() {}, nil
	}
	bytes = min(bytes, max(l.limits.budgetBytes, 1))
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	if err := l.copies.Acquire(ctx, bytes); err != nil {
		l.recordRefusal(l.now(), c.RemoteAddr(), BudgetSpent)
		return nil, &Refusal{reason: BudgetSpent}
	}
	return func() { l.copies.Release(bytes) }, nil
}
