package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

const (
	// peerBuffer holds more than a leader sends within one timeout; the ledger sends again what was dropped.
	peerBuffer  = 4096
	peerTimeout = time.Second
)

// Peers is the ledger's transport: one goroutine and one stream for each other member.
type Peers struct {
	pool   *link.Pool
	logger hclog.Logger
	lines  sync.Map // address to chan []byte
	ctx    context.Context
	cancel context.CancelFunc
}

// NewPeers returns a transport over the links of a pool.
func NewPeers(p *link.Pool, l hclog.Logger) *Peers {
	ctx, cancel := context.WithCancel(context.Background())
	return &Peers{pool: p, logger: l, ctx: ctx, cancel: cancel}
}

// Send queues a message and drops it if the member does not take messages fast enough.
func (p *Peers) Send(_ ledger.MemberID, address string, message []byte) {
	line, known := p.lines.Load(address)
	if !known {
		var loaded bool
		line, loaded = p.lines.LoadOrStore(address, make(chan []byte, peerBuffer))
		if !loaded {
			go p.deliver(address, line.(chan []byte))
		}
	}
	select {
	case line.(chan []byte) <- message:
	default:
	}
}

// Close ends all streams.
func (p *Peers) Close() { p.cancel() }

// deliver writes messages to one member, on a new stream after each failure.
func (p *Peers) deliver(address string, line <-chan []byte) {
	var s *link.Stream
	for {
		var message []byte
		select {
		case message = <-line:
		case <-p.ctx.Done():
			return
		}
		if s == nil {
			s = p.open(address)
		}
		if s == nil {
			continue
		}
		_ = s.SetDeadline(time.Now().Add(peerTimeout))
		if err := wire.WritePeerMessage(s, "", message); err != nil {
			p.logger.Debug("peer lost", "address", address, "error", err)
			s.Cancel()
			s = nil
		}
	}
}

func (p *Peers) open(address string) *link.Stream {
	ctx, cancel := context.WithTimeout(p.ctx, peerTimeout)
	defer cancel()
	s, err := p.pool.Open(ctx, address)
	if err != nil {
		p.logger.Debug("peer cannot be reached", "address", address, "error", err)
		return nil
	}
	if err := wire.WriteOpening(s, wire.NewOpening(wire.KindLedger, "")); err != nil {
		s.Cancel()
		return nil
	}
	return s
}

// Receive passes the messages of one stream to deliver until the stream ends; it returns why, nil at an orderly end.
func Receive(s io.Reader, deliver func(from ledger.MemberID, message []byte)) (err error) {
	for {
		_, message, err := wire.ReadPeerMessage(s)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("receive ledger messages: %w", err)
		}
		deliver("", message)
	}
}
