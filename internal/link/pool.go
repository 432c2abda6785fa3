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

// Pool keeps one connection to each address and replaces one that was lost.
type Pool struct {
	tls     *tls.Config
	slots   atomic.Pointer[map[string]*slot]
	growing sync.Mutex
	closed  atomic.Bool
}

// slot is the place of one address; all that wait for a connection share one dial and its error.
type slot struct {
	current atomic.Pointer[quic.Conn]
	dials   singleflight.Group
	failed  atomic.Bool // the latest dial failed
}

// errUnreachable is returned while an address that did not answer is dialed again, so that not every caller waits.
var errUnreachable = errors.New("the latest dial failed and the next one is under way")

// NewPool returns an empty pool that dials with the given TLS configuration.
func NewPool(tlsConfig *tls.Config) *Pool {
	p := &Pool{tls: tlsConfig}
	p.slots.Store(&map[string]*slot{})
	return p
}

// Open opens a stream to address; an error means that nothing reached the peer.
func (p *Pool) Open(ctx context.Context, address string) (s *Stream, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("open stream to %s: %w", address, err)
		}
	}()
	at := p.slot(address)
	// A connection can end between its choice and the opening of the stream, so a second one is tried.
	for range 2 {
		var c *quic.Conn
		if c, err = p.connect(ctx, at, address); err != nil {
			return nil, err
		}
		var stream *quic.Stream
		if stream, err = c.OpenStreamSync(ctx); err == nil {
			return &Stream{stream: stream, connection: c}, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		at.current.CompareAndSwap(c, nil)
	}
	return nil, err
}

// Forget closes the connection to address, so that the next stream uses a new one from a new local port.
func (p *Pool) Forget(address string) {
	if at, ok := (*p.slots.Load())[address]; ok {
		if c := at.current.Swap(nil); c != nil {
			_ = c.CloseWithError(codeCancel, "replaced")
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.closed.Store(true)
	for address := range *p.slots.Load() {
		p.Forget(address)
	}
}

func (p *Pool) connect(ctx context.Context, at *slot, address string) (c *quic.Conn, err error) {
	if c = at.current.Load(); c != nil && c.Context().Err() == nil {
		return c, nil
	}
	dialed := at.dials.DoChan("", func() (any, error) { return p.dial(context.WithoutCancel(ctx), at, address) })
	if at.failed.Load() {
		return nil, errUnreachable
	}
	select {
	case d := <-dialed:
		if d.Err != nil {
			return nil, d.Err
		}
		return d.Val.(*quic.Conn), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial outlives the caller that began it, since others wait for the same connection.
func (p *Pool) dial(ctx context.Context, at *slot, address string) (c *quic.Conn, err error) {
	if c = at.current.Load(); c != nil && c.Context().Err() == nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	c, err = quic.DialAddr(ctx, address, p.tls, config())
	at.failed.Store(err != nil)
	if err != nil {
		return nil, err
	}
	at.current.Store(c)
	if p.closed.Load() {
		p.Forget(address)
	}
	return c, nil
}

// slot returns the place of address; only a new address takes the lock.
func (p *Pool) slot(address string) *slot {
	if at, ok := (*p.slots.Load())[address]; ok {
		return at
	}
	p.growing.Lock()
	defer p.growing.Unlock()
	old := *p.slots.Load()
	if at, ok := old[address]; ok {
		return at
	}
	at := &slot{}
	grown := maps.Clone(old)
	grown[address] = at
	p.slots.Store(&grown)
	return at
}
