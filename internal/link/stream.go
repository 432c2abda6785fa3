package link

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

// Stream is a bidirectional QUIC stream that carries one exchange.
type Stream struct {
	stream     *quic.Stream
	connection *quic.Conn
}

// Read reads from the peer; io.EOF means that the peer has ended its side in order.
func (s *Stream) Read(p []byte) (int, error) { return s.stream.Read(p) }

// Write sends p to the peer; it blocks while the peer's flow-control window is full.
func (s *Stream) Write(p []byte) (int, error) { return s.stream.Write(p) }

// CloseWrite ends this side in order. It returns no error: a peer that has answered may have stopped reading already,
// and the outcome of the exchange is in the peer's answer.
func (s *Stream) CloseWrite() { _ = s.stream.Close() }

// Finish ends both sides in order; call it after reading the peer's last message.
func (s *Stream) Finish() {
	_ = s.stream.Close()
	if _, err := s.stream.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		s.stream.CancelRead(codeDone)
	}
}

// Cancel aborts both sides and ends the context of the peer's stream.
func (s *Stream) Cancel() {
	s.stream.CancelRead(codeCancel)
	s.stream.CancelWrite(codeCancel)
}

// Refuse aborts both sides with a code by which NotServed recognizes that the stream was not acted on.
func (s *Stream) Refuse() {
	s.stream.CancelRead(codeRefused)
	s.stream.CancelWrite(codeRefused)
}

// NotServed reports whether err, from a stream, means that the peer did not act on the stream.
func NotServed(err error) bool {
	var streamErr *quic.StreamError
	if errors.As(err, &streamErr) {
		return streamErr.Remote && streamErr.ErrorCode == codeRefused
	}
	var applicationErr *quic.ApplicationError
	return errors.As(err, &applicationErr) && applicationErr.Remote && applicationErr.ErrorCode == codeAllAnswered
}

// Unreachable reports whether err means that the peer stopped answering or could not be reached, and not that it ended
// the stream.
func Unreachable(err error) bool {
	var idleErr *quic.IdleTimeoutError
	var handshakeErr *quic.HandshakeTimeoutError
	return errors.As(err, &idleErr) || errors.As(err, &handshakeErr) || errors.Is(err, errUnreachable)
}

// SetDeadline sets the time at which pending and future reads and writes fail; the zero time removes it.
func (s *Stream) SetDeadline(t time.Time) error { return s.stream.SetDeadline(t) }

// SetReadDeadline sets the time at which pending and future reads fail; the zero time removes it.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.stream.SetReadDeadline(t) }

// Context returns a context that ends when the peer cancels the stream or the connection is lost.
func (s *Stream) Context() context.Context { return s.stream.Context() }

// RemoteAddr returns the peer's current UDP address.
func (s *Stream) RemoteAddr() net.Addr { return s.connection.RemoteAddr() }

// TLS returns the state of the connection's handshake, with the peer's certificate.
func (s *Stream) TLS() tls.ConnectionState { return s.connection.ConnectionState().TLS }

// CancelOnDone cancels the stream when ctx ends, unless stop is called before.
func (s *Stream) CancelOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, s.Cancel)
}
