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

// Handler serves one stream; the stream is cancelled when the handler returns without closing it.
type Handler func(ctx context.Context, s *Stream)

// Server accepts connections from the system's other processes.
type Server struct {
	listener *quic.Listener
	active   sync.WaitGroup
	stopped  atomic.Bool
}

// Listen opens a UDP port at address.
func Listen(address string, tlsConfig *tls.Config) (s *Server, err error) {
	l, err := quic.ListenAddr(address, tlsConfig, config())
	if err != nil {
		return nil, fmt.Errorf("listen for QUIC at %s: %w", address, err)
	}
	return &Server{listener: l}, nil
}

// Address returns the address that the server listens at.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Serve runs handler for each stream until ctx ends, then waits for the handlers.
func (s *Server) Serve(ctx context.Context, handler Handler) (err error) {
	w := newWorkers(&s.active)
	defer func() {
		close(w.ended)
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
		s.active.Go(func() { s.connection(ctx, c, w, handler) })
	}
}

// Stopped promises that each stream that was served has been answered and that no other will be served; the
// connections are then closed with a code that says so.
func (s *Server) Stopped() { s.stopped.Store(true) }

// Close closes the port and all connections.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) closingCode() quic.ApplicationErrorCode {
	if s.stopped.Load() {
		return codeStopped
	}
	return codeDone
}

func (s *Server) connection(ctx context.Context, c *quic.Conn, w *workers, handler Handler) {
	stop := context.AfterFunc(ctx, func() { _ = c.CloseWithError(s.closingCode(), "stopped") })
	defer func() {
		// AcceptStream may return before the function above has begun, and then nothing else closes the connection.
		if stop() && ctx.Err() != nil {
			_ = c.CloseWithError(s.closingCode(), "stopped")
		}
	}()
	var ended credits
	for {
		stream, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		w.serve(task{stream: &Stream{stream: stream, connection: c}, handler: handler, ended: &ended})
	}
}
