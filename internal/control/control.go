package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/ledger/transport"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// Control is the role of a control host.
type Control struct {
	options
	board  *Board
	node   *driver.Node[registry.Result]
	agents *link.Pool
	others *link.Pool
	keeper *keeper
	peers  *transport.Peers
}

// New returns a control role that Run starts; it fails when the ledger's options do not fit.
func New(opts ...Option) (c *Control, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("control: %w", err)
		}
	}()
	c = &Control{options: defaults(), board: newBoard()}
	for _, o := range opts {
		o(&c.options)
	}
	c.agents = link.NewPool(c.agentTLS)
	c.others = link.NewPool(c.peerTLS)
	c.keeper = newKeeper(c.board, c.announceLease, c.logger)
	c.peers = transport.NewPeers(c.others, c.logger)
	node, err := driver.NewNode[registry.Result](newApplier(c.board, c.logger),
		append(c.ledger, driver.WithTransport(c.peers))...)
	if err != nil {
		return nil, err
	}
	c.node = node
	c.register(c.registry)
	return c, nil
}

// Board returns what the controllers publish.
func (c *Control) Board() *Board { return c.board }

// Address returns the address of the QUIC port.
func (c *Control) Address() string { return c.server.Address().String() }

// Run serves until ctx ends, then hands on the leadership and finishes exchanges within the grace.
func (c *Control) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("control: %w", err)
		}
	}()
	defer c.agents.Close()
	defer c.others.Close()
	defer c.peers.Close()
	// The ledger outlives ctx, since exchanges in progress need it during the grace.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, inner := errgroup.WithContext(inner)
	g.Go(func() error { return c.node.Run(inner) })
	g.Go(func() error { return c.keeper.run(inner) })
	g.Go(func() error { return newElections(c).run(inner) })
	g.Go(func() error { return newScheduler(c).run(inner) })
	g.Go(func() error { return newDriver(c).run(inner) })
	g.Go(func() error { return newExpirer(c).run(inner) })
	g.Go(func() error { return c.server.Serve(inner, c.serve) })
	api := &http.Server{Handler: newAPI(c), ReadHeaderTimeout: apiTimeout, ReadTimeout: apiTimeout}
	g.Go(func() error {
		if err := api.Serve(c.listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
		}
		c.stop(inner, api)
		cancel()
		return nil
	})
	err = g.Wait()
	_ = c.server.Close()
	return err
}

// apiTimeout bounds how long an operator's client may take to send a request.
const apiTimeout = 10 * time.Second

// transferTimeout bounds the wait for another member, which may be stopping too.
const transferTimeout = 3 * time.Second

func (c *Control) stop(ctx context.Context, api *http.Server) {
	c.logger.Info("stopping", "grace", c.grace.String())
	ctx, cancel := context.WithTimeout(ctx, c.grace)
	defer cancel()
	_ = api.Shutdown(ctx)
	if c.node.Status().Load().Ready(clock.Now()) {
		ctx, cancel := context.WithTimeout(ctx, transferTimeout)
		defer cancel()
		if err := c.node.Transfer(ctx); err != nil {
			c.logger.Warn("leadership not handed on", "error", err)
		}
	}
}

// serve handles one stream of another process.
func (c *Control) serve(ctx context.Context, s *link.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(openingTimeout))
	o, err := wire.ReadOpening(s)
	if err != nil {
		c.logger.Warn("stream refused", "peer", s.RemoteAddr().String(), "error", err)
		return
	}
	_ = s.SetReadDeadline(time.Time{})
	switch o.Kind() {
	case wire.KindLedger:
		c.deliver(s)
	case wire.KindAnnounce:
		c.announcements(ctx, s)
	case wire.KindWatch:
		c.watch(ctx, s)
	case wire.KindLeadership:
		c.leadership(ctx, s)
	case wire.KindPropose:
		c.proposal(ctx, s, o.Trace())
	case wire.KindForward, wire.KindOrders, wire.KindPing:
		c.logger.Warn("stream refused", "peer", s.RemoteAddr().String(), "kind", string(o.Kind()))
	default:
		c.logger.Warn("stream refused", "peer", s.RemoteAddr().String(), "kind", string(o.Kind()))
	}
}

// openingTimeout bounds how long a peer may take to say what a stream is for.
const openingTimeout = 5 * time.Second

// propose commits a command and returns the state machine's answer.
func (c *Control) propose(ctx context.Context, command registry.Command) (r registry.Result, err error) {
	data, err := wire.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	return c.node.Propose(ctx, data)
}

// leading returns nil if this process may speak for the ledger, else the status for the peer.
func (c *Control) leading() *wire.StatusError {
	s := c.node.Status().Load()
	if s.Ready(clock.Now()) {
		return nil
	}
	return wire.NewStatusError(wire.NotLeader, s.LeaderAddress(), "this control host is not the leader")
}
