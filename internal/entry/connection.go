package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// listener counts the requests of each caller's connection, since net/http reports no request that it cannot read.
type listener struct {
	net.Listener
}

// connection is a caller's connection; active counts the requests that began to arrive, served those that were whole.
type connection struct {
	net.Conn
	active atomic.Int64
	served atomic.Int64
}

type connectionKey struct{}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c}, nil
}

// CloseWrite lets net/http end its side first, so that a caller can read the answer before the connection closes.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

func countRequest(ctx context.Context) {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		c.served.Add(1)
	}
}

// watchConnection logs a connection that ended inside the headers of a request: too slow, too large or malformed.
func (e *Entry) watchConnection(c net.Conn, state http.ConnState) {
	own, ok := c.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		own.active.Add(1)
	case http.StateClosed:
		if own.active.Load() > own.served.Load() {
			e.logger.Info("connection ended before a request was whole", "peer", c.RemoteAddr().String())
		}
	case http.StateNew, http.StateIdle, http.StateHijacked:
	}
}
