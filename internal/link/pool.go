package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/singleflight"
)

// Pool keeps one connection per address and replaces lost ones; it is safe for concurrent use.
type Pool struct {
	tls     *tls.Config
	remotes atomic.Pointer[map[string]*remote]
	mu      sync.Mutex
	closed  atomic.Bool
}

// remote holds the connection to one address; all callers that wait for a connection share one dial and its error.
type remote struct {
	current        atomic.Pointer[quic.Conn]
	dials          singleflight.Group
	lastDialFailed atomic.Bool // the latest dial failed
}

// errUnreachable is returned to callers while an address that did not answer is dialed again, so that they do not wait.
var errUnreachable = errors.New("the latest dial failed and the next one is under way")

// NewPool returns a pool that dials with the given TLS configuration; the caller must close it.
func NewPool(tlsConfig *tls.Config) *Pool {
	p := &Pool{tls: tlsConfig}
	p.remotes.Store(&map[string]*remote{})
	return p
}

// Open opens a stream to address and dials if there is no connection; after an error nothing has reached the peer.
func (p *Pool) Open(ctx context.Context, address string) (s *Stream, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("open stream to %s: %w", address, err)
		}
	}()
	r := p.remote(address)
	// The connection can end before the stream is opened, so a second one is tried.
	for range 2 {
		var c *quic.Conn
		if c, err = p.connect(ctx, r, address); err != nil {
			return nil, err
		}
		var stream *quic.Stream
		if stream, err = c.OpenStreamSync(ctx); err == nil {
			return &Stream{stream: stream, connection: c}, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		r.current.CompareAndSwap(c, nil)
	}
	return nil, err
}

// Disconnect closes the connection to address, so that the next stream uses a new connection from a new local port.
func (p *Pool) Disconnect(address string) {
	if r, ok := (*p.remotes.Load())[address]; ok {
		if c := r.current.Swap(nil); c != nil {
			_ = c.CloseWithError(codeCancel, "replaced")
		}
	}
}

// Close closes all connections, also those that are still being dialed.
func (p *Pool) Close() {
	p.closed.Store(true)
	for address := range *p.remotes.Load() {
		p.Disconnect(address)
	}
}

// connect returns the open connection of r or waits for a dial.
func (p *Pool) connect(ctx context.Context, r *remote, address string) (c *quic.Conn, err error) {
	if c = r.current.Load(); c != nil && c.Context().Err() == nil {
		return c, nil
	}
	result := r.dials.DoChan("", func() (any, error) { return p.dial(context.WithoutCancel(ctx), r, address) })
	if r.lastDialFailed.Load() {
		return nil, errUnreachable
	}
	select {
	case d := <-result:
		if d.Err != nil {
			return nil, d.Err
		}
		return d.Val.(*quic.Conn), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial opens the connection of r. Its ctx must outlive the caller that started it, since others wait for the same dial.
func (p *Pool) dial(ctx context.Context, r *remote, address string) (c *quic.Conn, err error) {
	if c = r.current.Load(); c != nil && c.Context().Err() == nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	c, err = quic.DialAddr(ctx, address, p.tls, newConfig())
	r.lastDialFailed.Store(err != nil)
	if err != nil {
		return nil, err
	}
	r.current.Store(c)
	if p.closed.Load() {
		p.Disconnect(address)
	}
	return c, nil
}

// remote returns the entry of address; it takes the lock only to add a new address.
func (p *Pool) remote(address string) *remote {
	if r, ok := (*p.remotes.Load())[address]; ok {
		return r
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.remotes.Load()
	if r, ok := old[address]; ok {
		return r
	}
	r := &remote{}
	extended := maps.Clone(old)
	extended[address] = r
	p.remotes.Store(&extended)
	return r
}
