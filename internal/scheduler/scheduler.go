package scheduler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/ledger/observer"
	"rosemarywind.example/rosemarywind/internal/ledger/transport"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// Scheduler serves the control role on one host, as leader or follower.
type Scheduler struct {
	options
	state      *board.Section[batch.State]
	node       *driver.Node[batch.Result]
	pool       *link.Pool
	peers      *transport.Peers
	events     chan event
	metrics    metrics
	callLimits callLimits
	decoding   sync.Mutex // held while a declaration is decoded, which takes many times the memory of its document
}

// eventBuffer is the number of events that may wait for the leader's loop.
const eventBuffer = 1024

// New returns a scheduler; it serves once Run is called.
func New(opts ...Option) (s *Scheduler, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("scheduler: %w", err)
		}
	}()
	s = &Scheduler{options: defaultOptions(), events: make(chan event, eventBuffer)}
	for _, o := range opts {
		o(&s.options)
	}
	if s.decoder == nil || s.server == nil {
		return nil, errors.New("decoder and server are required")
	}
	s.metrics = newMetrics(s.registry)
	s.callLimits = newCallLimits(s.callBytes)
	s.registry.GaugeFunc("scheduler.call_bytes", s.callLimits.budget.Held)
	s.state = board.NewSection(batch.NewState(s.decoder))
	s.registry.GaugeFunc("scheduler.job_bytes", func() int64 { return int64(s.state.Load().JobBytes()) })
	s.registry.GaugeFunc("scheduler.evacuated_zones", func() int64 { return int64(len(s.state.Load().Evacuations())) })
	s.pool = link.NewPool(s.client)
	s.peers = transport.NewPeers(s.pool, s.logger)
	a := &applier{state: s.state, decoder: s.decoder, logger: s.logger}
	s.node, err = driver.NewNode[batch.Result](a, append(s.ledger, driver.WithTransport(s.peers))...)
	return s, err
}

// State returns the section that holds the replicated state as applied on this host.
func (s *Scheduler) State() *board.Section[batch.State] { return s.state }

// Status returns the section that holds the status of this host's ledger node.
func (s *Scheduler) Status() *board.Section[driver.Status] { return s.node.Status() }

// Run serves until ctx ends, then transfers leadership within the grace period.
func (s *Scheduler) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("scheduler: %w", err)
		}
	}()
	defer s.pool.Close()
	defer s.peers.Close()
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, inner := errgroup.WithContext(inner)
	g.Go(func() error { return s.node.Run(inner) })
	g.Go(func() error { return newLeaderLoop(s).run(inner) })
	g.Go(func() error { return observer.New(s.logger, s.registry).Run(inner, s.node.Status(), time.Now) })
	g.Go(func() error { return s.server.Serve(inner, s.serve) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			s.transferLeadership(inner)
		case <-inner.Done():
		}
		cancel()
		return nil
	})
	err = g.Wait()
	return errors.Join(err, s.server.Close())
}

const (
	// transferTimeout bounds one attempt to transfer leadership. An election that fails takes longer.
	transferTimeout = 800 * time.Millisecond
	// lateCallTime is the time for which a stopping host still answers the calls that have reached it.
	lateCallTime = 150 * time.Millisecond
	// transferShare is the share of the grace period within which leadership must be transferred.
	transferShare = 0.6
)

// transferLeadership transfers leadership to another member, again if this one is re-elected.
func (s *Scheduler) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(s.grace)*transferShare))
	defer cancel()
	for ctx.Err() == nil && !s.hasSuccessor() {
		status, changed := s.node.Status().Watch()
		if status.Ready(clock.Now()) {
			attempt, done := context.WithTimeout(ctx, transferTimeout)
			err := s.node.Transfer(attempt)
			done()
			s.logger.Info("leadership transfer ended", "error", err)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	s.leave(ctx)
	clock.Pause(ctx, lateCallTime)
}

// leave tells the leader that this host is about to stop, so that another one votes in its place.
func (s *Scheduler) leave(ctx context.Context) {
	if err := s.node.Leave(ctx); err != nil {
		s.logger.Info("leaving without a successor", "error", err)
	}
}

// hasSuccessor reports whether another member leads or no other voter exists.
func (s *Scheduler) hasSuccessor() bool {
	status := s.node.Status().Load()
	return status.Membership().Voters() < 2 || status.Leader() != "" && status.Leader() != status.Self()
}

// openingTimeout bounds the time in which a peer must send the opening of a stream.
const openingTimeout = 3 * time.Second

func (s *Scheduler) serve(ctx context.Context, st *link.Stream) {
	_ = st.SetReadDeadline(time.Now().Add(openingTimeout))
	o, err := wire.ReadOpening(st)
	if err != nil {
		s.logger.Warn("stream refused", "peer", st.RemoteAddr().String(), "error", err)
		return
	}
	_ = st.SetReadDeadline(time.Time{})
	switch o.Kind() {
	case wire.KindLedger:
		if err = transport.Receive(st, s.node.Deliver); err != nil {
			s.logger.Debug("ledger stream ended", "peer", st.RemoteAddr().String(), "error", err)
		}
	case wire.KindCall:
		s.serveCall(ctx, st, o.Trace())
	case wire.KindRuns:
		s.serveAgent(ctx, st)
	default:
		s.logger.Warn("stream refused", "peer", st.RemoteAddr().String(), "kind", string(o.Kind()))
	}
}

// propose commits a command and returns its result.
func (s *Scheduler) propose(ctx context.Context, c batch.Command) (r batch.Result, err error) {
	data, err := wire.EncodeBatch(c)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	r, err = s.node.Propose(ctx, data)
	s.metrics.commit.Update(time.Since(startedAt).Microseconds())
	return r, err
}

// addresses returns the address of the leader and those of all members.
func (s *Scheduler) addresses() (leader string, all []string) {
	st := s.node.Status().Load()
	for _, m := range st.Membership().Members() {
		all = append(all, m.Address())
	}
	return st.LeaderAddress(), all
}
