package link

import (
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// probeInterval and silenceLimit find a connection that went silent within 3 s, the bound for new work.
	probeInterval = time.Second
	silenceLimit  = 3 * time.Second

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
)

func config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 silenceLimit,
		KeepAlivePeriod:                probeInterval,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
	}
}
