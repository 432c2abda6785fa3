package link

import (
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// A connection is probed keepAlivePeriod after the last packet and closed idleTimeout after an unanswered probe, so
	// that a silent peer is detected within 3 s, the bound for new requests and tasks.
	keepAlivePeriod = time.Second
	idleTimeout     = 1800 * time.Millisecond

	handshakeTimeout = 2 * time.Second
	maxStreams       = 16_384

	// The flow-control windows bound the buffers of a connection, since a host has 128 MB for the control role.
	initialStreamWindow     = 64 << 10
	maxStreamWindow         = 1 << 20
	initialConnectionWindow = 256 << 10
	maxConnectionWindow     = 8 << 20
)

// The QUIC application error codes with which connections and streams are closed.
const (
	codeDone   = 0
	codeCancel = 1
	// codeRefused means that the handler did not act on the stream.
	codeRefused = 2
	// codeAllAnswered means that all streams that were served have been answered and no further one will be served.
	codeAllAnswered = 3
)

func newConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		RequireStreamCreditRelease:     true,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
	}
}
