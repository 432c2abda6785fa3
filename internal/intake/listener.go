package intake

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// refusalTimeout bounds how long the refusal of a connection may take to be written.
const refusalTimeout = 50 * time.Millisecond

// refusalForm is the answer to a client whose request is refused before it has been read.
const refusalForm = "HTTP/1.1 %d %s\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Listener accepts connections within the limits of a Limiter.
type Listener struct {
	net.Listener
	limiter *Limiter
	table   *table
}

// Accept waits for the next connection; its type is *Connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if own := l.admit(l.limiter.now(), c); own != nil {
			return own, nil
		}
	}
}

// admit returns the connection if the limits have room for it, else it refuses and closes the connection.
func (l *Listener) admit(now time.Time, c net.Conn) *Connection {
	own := &Connection{Conn: c, listener: l, tracked: newTrackedConnection(now, addressOf(c))}
	own.tracked.close = own.interrupt
	peer, removed, refusal := l.table.admit(now, own.tracked)
	if refusal != nil {
		l.limiter.recordRefusal(now, c.RemoteAddr(), refusal.Reason())
		writeRefusal(now, c, refusal)
		_ = c.Close()
		return nil
	}
	own.charge = l.limiter.budget.NewCharge(peer)
	l.limiter.open.Add(1)
	if removed != nil {
		l.limiter.recordRefusal(now, c.RemoteAddr(), Displaced)
		removed.close()
	}
	return own
}

// writeRefusal tells a client that its request has not run. It does not wait for a client that does not read.
func writeRefusal(now time.Time, c net.Conn, r *Refusal) {
	_ = c.SetWriteDeadline(now.Add(refusalTimeout))
	_, _ = fmt.Fprintf(c, refusalForm, r.Status(), http.StatusText(r.Status()))
}

func addressOf(c net.Conn) netip.Addr {
	a, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	return a.Addr().Unmap()
}
