package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/intake"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/ledger/observer"
	"rosemarywind.example/rosemarywind/internal/ledger/transport"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// Control runs the role of a control host: the ledger, the controllers and the QUIC and HTTP interfaces.
type Control struct {
	options
	board            *Board
	node             *driver.Node[registry.Result]
	agentPool        *link.Pool
	peerPool         *link.Pool
	rosterController *rosterController
	peers            *transport.Peers
}

// New returns a Control that Run starts; it returns an error if the ledger rejects its options.
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
	c.agentPool = link.NewPool(c.agentTLS)
	c.peerPool = link.NewPool(c.peerTLS)
	c.rosterController = newRosterController(c.board, c.announceLease, c.logger)
	c.peers = transport.NewPeers(c.peerPool, c.logger)
	node, err := driver.NewNode[registry.Result](newApplier(c.board, c.logger),
		append(c.ledgerOptions, driver.WithTransport(c.peers))...)
	if err != nil {
		return nil, err
	}
	c.node = node
	c.register(c.metrics)
	return c, nil
}

// Board returns the blackboard of the controllers.
func (c *Control) Board() *Board { return c.board }

// Address returns the IP address and port of the QUIC listener.
func (c *Control) Address() string { return c.server.Address().String() }

// Run serves until ctx ends, then finishes exchanges in progress and transfers leadership within the grace period.
func (c *Control) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("control: %w", err)
		}
	}()
	defer c.agentPool.Close()
	defer c.peerPool.Close()
	defer c.peers.Close()
	// The ledger runs on after ctx ends, since exchanges in progress need it during the grace period.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, runCtx := errgroup.WithContext(runCtx)
	g.Go(func() error { return c.node.Run(runCtx) })
	g.Go(func() error { return c.rosterController.run(runCtx) })
	g.Go(func() error { return newElectionObserver(c).run(runCtx) })
	g.Go(func() error { return observer.New(c.logger, c.metrics).Run(runCtx, c.node.Status(), time.Now) })
	g.Go(func() error { return newScheduler(c).run(runCtx) })
	g.Go(func() error { return newGangDriver(c).run(runCtx) })
	g.Go(func() error { return newExpirer(c).run(runCtx) })
	g.Go(func() error { return c.server.Serve(runCtx, c.serveStream) })
	api := &http.Server{Handler: newAPI(c), ReadHeaderTimeout: apiTimeout, ReadTimeout: apiTimeout, IdleTimeout: time.Minute}
	limits := c.clientLimits.Within(c.resources, connectionMemoryShare)
	limiter := intake.NewLimiter(limits, c.metrics, c.logger, time.Now)
	limiter.Prepare(api)
	g.Go(func() error {
		if err := api.Serve(limiter.Listen(c.listener, 1)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
		}
		c.stop(runCtx, api)
		cancel()
		return nil
	})
	err = g.Wait()
	_ = c.server.Close()
	return err
}

// apiTimeout bounds how long an operator's client may take to send a request.
const apiTimeout = 10 * time.Second

// transferTimeout bounds the leadership transfer, since the other members may be stopping too.
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
	if err := c.node.Leave(ctx); err != nil {
		c.logger.Info("leaving without a successor", "error", err)
	}
}

// serveStream handles one stream that an agent, an entry or another control host opened.
func (c *Control) serveStream(ctx context.Context, s *link.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(openingTimeout))
	o, err := wire.ReadOpening(s)
	if err != nil {
		c.logger.Warn("stream refused", "peer", s.RemoteAddr().String(), "error", err)
		return
	}
	_ = s.SetReadDeadline(time.Time{})
	switch o.Kind() {
	case wire.KindLedger:
		c.serveLedger(s)
	case wire.KindAnnounce:
		c.serveAnnouncements(ctx, s)
	case wire.KindWatch:
		c.serveWatch(ctx, s)
	case wire.KindLeadership:
		c.serveLeadership(ctx, s)
	case wire.KindPropose:
		c.serveProposal(ctx, s, o.Trace())
	case wire.KindForward, wire.KindOrders, wire.KindPing:
		c.logger.Warn("stream refused", "peer", s.RemoteAddr().String(), "kind", string(o.Kind()))
	default:
		c.logger.Warn("stream refused", "peer", s.RemoteAddr().String(), "kind", string(o.Kind()))
	}
}

// openingTimeout bounds how long a peer may take to send the opening, which tells the kind of the stream.
const openingTimeout = 5 * time.Second

// propose commits a command and returns the result of applying it.
func (c *Control) propose(ctx context.Context, command registry.Command) (r registry.Result, err error) {
	data, err := wire.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	return c.node.Propose(ctx, data)
}

// checkLeader returns nil if this process is the leader and ready to serve, else the status to send to the peer.
func (c *Control) checkLeader() *wire.StatusError {
	s := c.node.Status().Load()
	if s.Ready(clock.Now()) {
		return nil
	}
	return wire.NewStatusError(wire.NotLeader, s.LeaderAddress(), "this control host is not the leader")
}
