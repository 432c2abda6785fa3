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

// Stream is one exchange on a connection.
type Stream struct {
	stream     *quic.Stream
	connection *quic.Conn
}

// Read reads from the peer; io.EOF means that the peer ended its side in order.
func (s *Stream) Read(p []byte) (int, error) { return s.stream.Read(p) }

// Write sends to the peer.
func (s *Stream) Write(p []byte) (int, error) { return s.stream.Write(p) }

// CloseWrite ends this side in order. It reports no error: a peer that has answered may have stopped reading before,
// and what became of the exchange shows in what the peer sent.
func (s *Stream) CloseWrite() { _ = s.stream.Close() }

// Finish ends both sides in order after the peer's last message was read.
func (s *Stream) Finish() {
	_ = s.stream.Close()
	if _, err := s.stream.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		s.stream.CancelRead(codeDone)
	}
}

// Cancel gives up both sides; the peer's context ends.
func (s *Stream) Cancel() {
	s.stream.CancelRead(codeCancel)
	s.stream.CancelWrite(codeCancel)
}

// Refuse ends both sides and tells the peer that the stream was not acted on.
func (s *Stream) Refuse() {
	s.stream.CancelRead(codeRefused)
	s.stream.CancelWrite(codeRefused)
}

// NotServed reports whether err says that the peer did not act on the stream.
func NotServed(err error) bool {
	var ofStream *quic.StreamError
	if errors.As(err, &ofStream) {
		return ofStream.Remote && ofStream.ErrorCode == codeRefused
	}
	var ofConnection *quic.ApplicationError
	return errors.As(err, &ofConnection) && ofConnection.Remote && ofConnection.ErrorCode == codeStopped
}

// Unreachable reports whether err says that the peer fell silent or could not be reached, and not that it ended the
// stream.
func Unreachable(err error) bool {
	var silent *quic.IdleTimeoutError
	var absent *quic.HandshakeTimeoutError
	return errors.As(err, &silent) || errors.As(err, &absent) || errors.Is(err, errUnreachable)
}

// SetDeadline bounds all reads and writes.
func (s *Stream) SetDeadline(t time.Time) error { return s.stream.SetDeadline(t) }

// SetReadDeadline bounds all reads.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.stream.SetReadDeadline(t) }

// Context ends when the peer cancels the stream or the connection is lost.
func (s *Stream) Context() context.Context { return s.stream.Context() }

// RemoteAddr returns the peer's address.
func (s *Stream) RemoteAddr() net.Addr { return s.connection.RemoteAddr() }

// TLS returns the state of the connection's handshake, with the peer's certificate.
func (s *Stream) TLS() tls.ConnectionState { return s.connection.ConnectionState().TLS }

// Watch cancels the stream when ctx ends; the returned function ends the watch.
func (s *Stream) Watch(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, s.Cancel)
}
