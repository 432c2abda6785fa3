package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// Handler serves one stream; when it returns, reading is cancelled and writing ends in order.
type Handler func(ctx context.Context, s *Stream)

// Server accepts connections from other processes of the system.
type Server struct {
	listener    *quic.Listener
	active      sync.WaitGroup
	allAnswered atomic.Bool
}

// Listen returns a server that listens on the UDP address; the caller must close it.
func Listen(address string, tlsConfig *tls.Config) (s *Server, err error) {
	l, err := quic.ListenAddr(address, tlsConfig, newConfig())
	if err != nil {
		return nil, fmt.Errorf("listen for QUIC at %s: %w", address, err)
	}
	return &Server{listener: l}, nil
}

// Address returns the local UDP address, with the port that the system assigned if port 0 was requested.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Serve calls handler for each stream, concurrently, until ctx ends; it returns once all handlers have returned.
func (s *Server) Serve(ctx context.Context, handler Handler) (err error) {
	p := newHandlerPool(&s.active)
	defer func() {
		close(p.closed)
		s.active.Wait()
	}()
	for {
		c, err := s.listener.Accept(ctx)
		if errors.Is(err, quic.ErrServerClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept QUIC connection: %w", err)
		}
		s.active.Go(func() { s.serveConnection(ctx, c, p, handler) })
	}
}

// SetAllAnswered declares that all streams that were served have been answered and that no further one will be served.
// The server then closes its connections with a code by which NotServed recognizes this.
func (s *Server) SetAllAnswered() { s.allAnswered.Store(true) }

// Close closes the UDP port and all connections.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) closingCode() quic.ApplicationErrorCode {
	if s.allAnswered.Load() {
		return codeAllAnswered
	}
	return codeDone
}

// serveConnection accepts streams from one connection until it ends or ctx ends.
func (s *Server) serveConnection(ctx context.Context, c *quic.Conn, p *handlerPool, handler Handler) {
	stop := context.AfterFunc(ctx, func() { _ = c.CloseWithError(s.closingCode(), "stopped") })
	defer func() {
		// AcceptStream may return before the function above has begun, and then nothing else closes the connection.
		if stop() && ctx.Err() != nil {
			_ = c.CloseWithError(s.closingCode(), "stopped")
		}
	}()
	var credits creditBatcher
	for {
		stream, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		p.serve(incoming{stream: &Stream{stream: stream, connection: c}, handler: handler, credits: &credits})
	}
}
