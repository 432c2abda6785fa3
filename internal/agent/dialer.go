package agent

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = time.Second
	// TCP probes a connection without unacknowledged data after 1 s of silence and closes it after 2 unanswered probes,
	// 3 s in all. It sends no probes while data is unacknowledged; userTimeout covers that case, and the kernel closes
	// the connection 0.25 s after it.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	userTimeout       = 2500 * time.Millisecond
)

// newDialer returns a dialer whose connections fail when the peer's host acknowledges nothing for 3 s.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) (err error) {
			if e := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			}); e != nil {
				return e
			}
			return err
		},
	}
}
