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
	// queueLength is more than the number of messages that a leader sends to a member within streamTimeout. Dropped
	// messages are sent again by the protocol.
	queueLength   = 4096
	streamTimeout = time.Second
)

// Peers is the network transport of a driver.Node, with one goroutine and one stream per address. It is safe for
// concurrent use.
type Peers struct {
	pool   *link.Pool
	logger hclog.Logger
	queues sync.Map // address to chan []byte
	ctx    context.Context
	cancel context.CancelFunc
}

// NewPeers returns a transport that opens its streams from the pool p. The caller must call Close.
func NewPeers(p *link.Pool, l hclog.Logger) *Peers {
	ctx, cancel := context.WithCancel(context.Background())
	return &Peers{pool: p, logger: l, ctx: ctx, cancel: cancel}
}

// Send queues a message for the member at address. It does not block, and drops the message if the queue is full.
func (p *Peers) Send(_ ledger.MemberID, address string, message []byte) {
	queue, known := p.queues.Load(address)
	if !known {
		var loaded bool
		queue, loaded = p.queues.LoadOrStore(address, make(chan []byte, queueLength))
		if !loaded {
			go p.sendLoop(address, queue.(chan []byte))
		}
	}
	select {
	case queue.(chan []byte) <- message:
	default:
	}
}

// Close stops the goroutines and does not wait for them. A pending write may take up to streamTimeout.
func (p *Peers) Close() { p.cancel() }

// sendLoop writes the queued messages to one member until Close, and opens a new stream after each failure.
func (p *Peers) sendLoop(address string, queue <-chan []byte) {
	var s *link.Stream
	for {
		var message []byte
		select {
		case message = <-queue:
		case <-p.ctx.Done():
			return
		}
		if s == nil {
			s = p.open(address)
		}
		if s == nil {
			continue
		}
		_ = s.SetDeadline(time.Now().Add(streamTimeout))
		if err := wire.WritePeerMessage(s, "", message); err != nil {
			p.logger.Debug("write to ledger peer failed", "address", address, "error", err)
			s.Cancel()
			s = nil
		}
	}
}

func (p *Peers) open(address string) *link.Stream {
	ctx, cancel := context.WithTimeout(p.ctx, streamTimeout)
	defer cancel()
	s, err := p.pool.Open(ctx, address)
	if err != nil {
		p.logger.Debug("open stream to ledger peer failed", "address", address, "error", err)
		return nil
	}
	if err := wire.WriteOpening(s, wire.NewOpening(wire.KindLedger, "")); err != nil {
		s.Cancel()
		return nil
	}
	return s
}

// Receive passes the messages of one stream to deliver until the stream ends. It returns nil at an orderly end.
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
