package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Connection is a client's connection that charges the heads of requests as they arrive, and bounds how slowly its answers
// are read.
type Connection struct {
	net.Conn
	listener  *Listener
	tracked   *trackedConnection
	head      headMeter
	surplus   surplus
	length    int64 // of the body of the current request, negative if it is not known
	answer    answer
	refusal   *Refusal    // of a head, for reads
	pending   *Refusal    // of a head that no read follows, for its handler
	refused   bool        // whether the refusal has been written
	serving   atomic.Bool // whether the head of the current request has been read
	chargeMu  sync.Mutex  // a connection may be closed while its handler runs
	charge    *Charge
	ended     bool // whether the charge has been released for good
	closeOnce sync.Once
}

type connectionKey struct{}

func connectionOf(ctx context.Context) *Connection {
	c, _ := ctx.Value(connectionKey{}).(*Connection)
	return c
}

// innerOf returns the connection of the inner listener.
func innerOf(c net.Conn) net.Conn {
	if own, ok := c.(*Connection); ok {
		return own.Conn
	}
	return c
}

// Release returns what is held for a request, whose body and head its handler needs no more.
func Release(r *http.Request) {
	if c := connectionOf(r.Context()); c != nil {
		c.release(false)
	}
}

// Read reads from the client, and charges the bytes of heads. If the budget is spent it refuses the request and returns
// an error that ends the connection.
func (c *Connection) Read(p []byte) (n int, err error) {
	if c.refusal != nil {
		return 0, c.refuse()
	}
	n, err = c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.serving.Load() {
		c.surplus.read(p[:n])
		return n, err
	}
	c.tracked.arrive(c.listener.limiter.now())
	if c.refusal = c.receiveHead(p[:n]); c.refusal != nil {
		return 0, c.refuse()
	}
	return n, err
}

// refuse writes the refusal of a head, once, and returns the error of reads after it; net/http writes no answer of its own
// after an error of this type.
func (c *Connection) refuse() error {
	if !c.refused {
		c.refused = true
		now := c.listener.limiter.now()
		c.listener.limiter.recordRefusal(now, c.RemoteAddr(), c.refusal.Reason())
		writeRefusal(now, c.Conn, c.refusal)
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: c.refusal}
}

// receiveHead charges the part of the head in the bytes that arrive.
func (c *Connection) receiveHead(p []byte) *Refusal {
	before := c.head.bytes
	cost := c.head.next(p)
	c.surplus.read(p[c.head.bytes-before:])
	if c.head.bytes > c.listener.limiter.limits.headBytes {
		return &Refusal{reason: HeadTooLarge}
	}
	return c.add(cost)
}

// beginNext charges what has already arrived of the next request.
func (c *Connection) beginNext() {
	length := c.length
	var cost int64
	c.head, cost = c.surplus.next(length)
	c.pending = nil
	if cost == 0 {
		return
	}
	refusal := c.add(cost)
	switch {
	case length < 0:
		// It is not known whether a read or a handler comes next, and only one of them may write the refusal.
	case c.head.ended:
		c.pending = refusal
	default:
		c.refusal = refusal
	}
}

// add charges n bytes for the current request.
func (c *Connection) add(n int64) *Refusal {
	c.chargeMu.Lock()
	defer c.chargeMu.Unlock()
	if c.ended {
		return &Refusal{reason: Displaced}
	}
	return c.charge.Add(n)
}

// release returns the charge of the current request, for good if the connection has ended.
func (c *Connection) release(ended bool) {
	c.chargeMu.Lock()
	defer c.chargeMu.Unlock()
	c.charge.Release()
	c.ended = c.ended || ended
}

// observe follows the states of the connection in its server.
func (c *Connection) observe(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.tracked.arrive(c.listener.limiter.now())
	case http.StateIdle:
		c.release(false)
		c.beginNext()
		c.serving.Store(false)
		c.tracked.enter(c.listener.limiter.now(), Idle)
	case http.StateNew, http.StateClosed, http.StateHijacked:
	}
}

// headEnded records that a handler begins with the current request, whose body has the given length or an unknown one,
// which is negative; it reports false if the connection is closing.
func (c *Connection) headEnded(length int64) bool {
	c.length = length
	c.serving.Store(true)
	return c.tracked.enter(c.listener.limiter.now(), Serving)
}

// interrupt closes the connection from outside of its server; the server notices and ends it.
func (c *Connection) interrupt() {
	if c.tracked.state.Load().previous == Receiving {
		writeRefusal(c.listener.limiter.now(), c.Conn, &Refusal{reason: Displaced})
	}
	_ = c.Conn.Close()
}

// Close ends the connection and returns what it holds.
func (c *Connection) Close() error {
	c.closeOnce.Do(func() {
		c.listener.table.remove(c.tracked)
		c.listener.limiter.open.Add(-1)
		c.release(true)
	})
	return c.Conn.Close()
}

// CloseWrite closes the writing side. net/http calls it before it closes the connection, so that the client can read
// the answer.
func (c *Connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
