package intake

import (
	"errors"
	"os"
	"sync/atomic"
	"time"
)

// answer writes what the server sends on a connection, as long as the client reads it at the least rate.
type answer struct {
	deadline atomic.Pointer[time.Time] // for writes, as the server has set it; nil for none
}

// setDeadline records the deadline of the server; the zero time stands for none.
func (a *answer) setDeadline(t time.Time) {
	if t.IsZero() {
		a.deadline.Store(nil)
		return
	}
	a.deadline.Store(&t)
}

// until returns the end of an interval that begins now, or the server's deadline if that is earlier.
func (a *answer) until(now time.Time, p Pace) time.Time {
	end := now.Add(p.interval)
	if d := a.deadline.Load(); d != nil && d.Before(end) {
		return *d
	}
	return end
}

// goesOn reports whether a write continues that was interrupted after n bytes at the end of an interval.
func (a *answer) goesOn(now time.Time, p Pace, n int) bool {
	d := a.deadline.Load()
	return int64(n) >= p.minimum && (d == nil || now.Before(*d))
}

// Write writes to the client. It ends the connection of a client that does not read at the least rate at which it has to
// send, since its request would be under way for as long as the client likes.
func (c *Connection) Write(p []byte) (written int, err error) {
	l := c.listener.limiter
	for {
		_ = c.Conn.SetWriteDeadline(c.answer.until(l.now(), l.limits.pace))
		n, err := c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if now := l.now(); !c.answer.goesOn(now, l.limits.pace, n) {
			l.recordRefusal(now, c.RemoteAddr(), AnswerUnread)
			return written, err
		}
	}
}

// SetWriteDeadline sets a deadline of the server for its writes, beside the least rate.
func (c *Connection) SetWriteDeadline(t time.Time) error {
	c.answer.setDeadline(t)
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets a deadline for reads and writes.
func (c *Connection) SetDeadline(t time.Time) error {
	c.answer.setDeadline(t)
	return c.Conn.SetDeadline(t)
}
