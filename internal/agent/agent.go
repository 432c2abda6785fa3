package agent

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"time"

	crand "crypto/rand"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// Agent runs on the host of one endpoint and its worker and connects both to the entries and the leader.
type Agent struct {
	options
	board       *Board
	pool        *link.Pool
	incarnation uint64
	endpoint    *http.Client
	platform    *platform
	peers       *link.Pool
	hub         *hub
}

// New returns an agent that serves once Run is called.
func New(opts ...Option) *Agent {
	a := &Agent{options: defaults(), board: newBoard()}
	for _, o := range opts {
		o(&a.options)
	}
	a.pool = link.NewPool(a.tls)
	a.incarnation = drawIncarnation()
	a.endpoint = &http.Client{
		Transport:     newTransport(a.connections),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	a.platform = newPlatform(a.workerURL)
	a.peers = link.NewPool(a.peerTLS)
	a.hub = newHub()
	a.register(a.registry)
	return a
}

// Board returns the blackboard on which the agent's controllers publish their state.
func (a *Agent) Board() *Board { return a.board }

// Incarnation returns the random number that identifies this process lifetime of the agent.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// Run serves entries and the leader until ctx ends, then waits for the requests in flight for at most the grace
// period.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("agent: %w", err)
		}
	}()
	defer a.pool.Close()
	defer a.peers.Close()
	// The port and the controllers outlive ctx, since requests in flight need them during the grace period.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return newProber(a).run(inner) })
	g.Go(func() error { return newReporter(a).run(inner) })
	g.Go(func() error { return newAnnouncer(a).run(inner) })
	g.Go(func() error { return a.hub.run(inner) })
	g.Go(func() error { return newPinger(a).run(inner) })
	g.Go(func() error {
		defer cancel()
		return a.server.Serve(inner, a.serveStream)
	})
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-inner.Done():
			return nil
		}
		a.board.stopping.Publish(true)
		a.logger.Info("stopping", "grace", a.grace.String(), "in_flight", a.board.InFlight())
		a.waitForRequests(inner)
		return nil
	})
	err = g.Wait()
	_ = a.server.Close()
	return err
}

// leavingNotice is the time in which entries learn that the endpoint is leaving before the port closes.
const leavingNotice = 500 * time.Millisecond

// waitForRequests waits until no request is in flight, at most for the grace period.
func (a *Agent) waitForRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.grace)
	defer cancel()
	if !clock.Pause(ctx, leavingNotice) {
		return
	}
	a.logger.Info("waiting for requests in flight", "in_flight", a.board.InFlight())
	if err := a.board.waitIdle(ctx); err != nil {
		a.logger.Warn("grace is over", "in_flight", a.board.InFlight())
		return
	}
	if !a.board.unanswered.Load() {
		a.server.SetAllAnswered()
	}
}

// serveStream handles one stream of an entry, the leader or the agent of a gang member.
func (a *Agent) serveStream(ctx context.Context, s *link.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(readTimeout))
	o, err := wire.ReadOpening(s)
	if err != nil {
		a.logger.Warn("stream refused", "peer", s.RemoteAddr().String(), "error", err)
		s.Refuse()
		return
	}
	peer, err := keys.PeerIdentity(s.TLS())
	switch {
	case err == nil && o.Kind() == wire.KindForward && peer.Role() == entryRole:
		a.serveForward(ctx, s, o.Trace())
	case err == nil && o.Kind() == wire.KindOrders && peer.Role() == controlRole:
		a.serveOrders(ctx, s)
	case o.Kind() == wire.KindOrders:
		a.logger.Error("orders refused: the certificate is not a control host's", "peer", s.RemoteAddr().String(),
			"certificate", peer.String(), "error", err)
		s.Refuse()
	case o.Kind() == wire.KindPing:
		a.servePings(ctx, s)
	default:
		a.logger.Warn("stream refused", "peer", s.RemoteAddr().String(), "identity", peer.String(),
			"kind", string(o.Kind()), "error", err)
		s.Refuse()
	}
}

// The roles in peers' certificates whose streams the agent serves.
const (
	entryRole   = "entry"
	agentRole   = "agent"
	controlRole = "control"
)

// self returns the endpoint with its current state.
func (a *Agent) self() fleet.Endpoint {
	return fleet.NewEndpoint(a.worker, a.advertise, a.slots, a.connections, a.incarnation).WithState(a.board.State())
}

// newTransport returns an HTTP transport with at most the given number of connections to each host.
func newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:            newDialer().DialContext,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// maxResponseHeaderBytes keeps the headers of a response within one frame to the entry.
const maxResponseHeaderBytes = 128 << 10

func drawIncarnation() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // crypto/rand.Read never returns an error
	return binary.BigEndian.Uint64(b[:])
}
