package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// sendTime bounds how long a client sends.
	sendTime = 20 * time.Second
	// stallTime is how long the server reads nothing before a client that does not read its answers gives up.
	stallTime = 2 * time.Second
	// dialTimeout bounds how long a client waits for its connection.
	dialTimeout = time.Second
	// smallWindowBytes is the receive buffer of a client that does not read its answers.
	smallWindowBytes = 4 << 10
	// smallSegmentBytes is the largest TCP segment of such a client; the kernel sizes the server's buffer by it.
	smallSegmentBytes = 536
)

// Crowd is a number of clients whose connections stay open until it is closed.
type Crowd struct {
	mu          sync.Mutex
	connections []net.Conn
}

// addressCount is the number of addresses of a crowd that does not come from one host.
const addressCount = 8

// Addresses returns the loopback addresses of clients that are not on one host.
func Addresses() (list []net.IP) {
	for n := range byte(addressCount) {
		list = append(list, net.IPv4(127, 250, 0, 1+n))
	}
	return list
}

// New starts a crowd from the given IP addresses, in turn, and returns once each of its clients has sent everything, has
// been cut off, or has been sending for sendTime. The kernel chooses the address if there is none.
func New(t Target, k Kind, clients int, from ...net.IP) *Crowd {
	c := &Crowd{}
	var g sync.WaitGroup
	for n := range clients {
		own := kindOf(k, n)
		d := &net.Dialer{Timeout: dialTimeout}
		if len(from) > 0 {
			d.LocalAddr = &net.TCPAddr{IP: from[n%len(from)]}
		}
		if _, ok := own.(unreadAnswers); ok {
			d.Control = shrinkBuffers
		}
		g.Go(func() { c.run(d, t, own) })
	}
	g.Wait()
	return c
}

// kindOf returns what the client with the given number sends.
func kindOf(k Kind, number int) Kind {
	if m, ok := k.(mixture); ok {
		return m.kinds[number%len(m.kinds)]
	}
	return k
}

// run connects one client and sends what it has to send.
func (c *Crowd) run(d *net.Dialer, t Target, k Kind) {
	connection, err := d.DialContext(context.Background(), "tcp", t.address)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.connections = append(c.connections, connection)
	c.mu.Unlock()
	until := time.Now().Add(sendTime)
	_ = connection.SetWriteDeadline(until)
	var w io.Writer = connection
	if _, ok := k.(unreadAnswers); ok {
		w = stallingWriter{connection, until}
	}
	// A client that is refused and cut off has done its part.
	_ = send(w, t, k)
}

// stallingWriter gives up once the server reads nothing for stallTime.
type stallingWriter struct {
	net.Conn
	until time.Time
}

// Write implements io.Writer.
func (w stallingWriter) Write(p []byte) (int, error) {
	if d := time.Now().Add(stallTime); d.Before(w.until) {
		_ = w.SetWriteDeadline(d)
	}
	return w.Conn.Write(p)
}

// shrinkBuffers makes the kernel keep little of what the server sends.
func shrinkBuffers(_, _ string, raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		if err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindowBytes); err != nil {
			return
		}
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, smallSegmentBytes)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Close closes the connections.
func (c *Crowd) Close() {
	for _, connection := range c.connections {
		_ = connection.Close()
	}
}
