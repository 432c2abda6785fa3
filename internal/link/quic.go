package link

import (
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// A connection is probed probeInterval after the last packet and given up silenceLimit after the unanswered probe,
	// so that one that went silent is found within 3 s, the bound for new work.
	probeInterval = time.Second
	silenceLimit  = 1800 * time.Millisecond

	handshakeTimeout = 2 * time.Second
	maxStreams       = 16_384

	// The windows keep a connection's buffers small, since a host has 128 MB for control.
	initialStreamWindow     = 64 << 10
	maxStreamWindow         = 1 << 20
	initialConnectionWindow = 256 << 10
	maxConnectionWindow     = 8 << 20
)

// The application error codes with which a connection or stream is closed.
const (
	codeDone   = 0
	codeCancel = 1
	// codeRefused says that the handler did not act on the stream.
	codeRefused = 2
	// codeStopped says that each stream that was served has been answered and that no other will be.
	codeStopped = 3
)

func config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 silenceLimit,
		KeepAlivePeriod:                probeInterval,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		RequireStreamCreditRelease:     true,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
	}
}
