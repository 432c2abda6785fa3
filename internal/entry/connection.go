package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// listener wraps accepted connections in a connection, since net/http does not report requests that it cannot read.
type listener struct {
	net.Listener
}

// connection is a caller's connection with the numbers of requests that began to arrive and that arrived completely.
type connection struct {
	net.Conn
	started  atomic.Int64 // requests of which at least one byte has arrived
	received atomic.Int64 // requests whose headers have arrived completely
}

type connectionKey struct{}

// Accept waits for the next caller's connection; its type is *connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c}, nil
}

// CloseWrite closes the writing side. net/http calls it before it closes the connection, so that the caller can read
// the answer.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// countReceived counts a request whose headers have arrived completely.
func countReceived(ctx context.Context) {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		c.received.Add(1)
	}
}

// trackConnection logs a connection that closed before the headers of a request were complete, because they were too
// slow, too large or malformed.
func (e *Entry) trackConnection(c net.Conn, state http.ConnState) {
	own, ok := c.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		own.started.Add(1)
	case http.StateClosed:
		if own.started.Load() > own.received.Load() {
			e.logger.Info("connection ended before a request was complete", "peer", c.RemoteAddr().String())
		}
	case http.StateNew, http.StateIdle, http.StateHijacked:
	}
}
