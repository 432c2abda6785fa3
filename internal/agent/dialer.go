package agent

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = time.Second
	// A connection on which nothing is on its way is probed after 1 s of silence and given up after 2 unanswered
	// probes: 3 s. Bytes on their way are covered by userTimeout, since TCP sends no such probes meanwhile; the kernel
	// gives up 0.25 s after it.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	userTimeout       = 2500 * time.Millisecond
)

// dialer returns a dialer whose connections end when the peer's host does not acknowledge for 3 s.
func dialer() *net.Dialer {
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
