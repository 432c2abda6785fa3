package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/ledger/transport"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// Scheduler is the control role for jobs of steps.
type Scheduler struct {
	options
	state  *board.Section[batch.State]
	node   *driver.Node[batch.Result]
	pool   *link.Pool
	peers  *transport.Peers
	events chan event
	meters meters
}

// eventBuffer is how many reports of agents may wait for the leader's loop.
const eventBuffer = 1024

// New returns a scheduler that Run starts.
func New(opts ...Option) (s *Scheduler, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("scheduler: %w", err)
		}
	}()
	s = &Scheduler{options: defaults(), events: make(chan event, eventBuffer)}
	for _, o := range opts {
		o(&s.options)
	}
	if s.decoder == nil || s.server == nil {
		return nil, errors.New("a scheduler needs a decoder and a server")
	}
	s.meters = newMeters(s.registry)
	s.state = board.NewSection(batch.NewState(s.decoder))
	s.pool = link.NewPool(s.client)
	s.peers = transport.NewPeers(s.pool, s.logger)
	a := &applier{state: s.state, decoder: s.decoder, logger: s.logger}
	s.node, err = driver.NewNode[batch.Result](a, append(s.ledger, driver.WithTransport(s.peers))...)
	return s, err
}

// State returns the section of the replicated state.
func (s *Scheduler) State() *board.Section[batch.State] { return s.state }

// Status returns the section of the ledger's status.
func (s *Scheduler) Status() *board.Section[driver.Status] { return s.node.Status() }

// Run serves until ctx ends, then hands on the leadership within the grace.
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
	g.Go(func() error { return newDirector(s).run(inner) })
	g.Go(func() error { return s.watchMembership(inner) })
	g.Go(func() error { return s.server.Serve(inner, s.serve) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			s.handOn(inner)
		case <-inner.Done():
		}
		cancel()
		return nil
	})
	err = g.Wait()
	return errors.Join(err, s.server.Close())
}

const (
	// transferTimeout bounds one attempt to have another member take over; an election that fails takes longer.
	transferTimeout = 800 * time.Millisecond
	// settleTime is how long a host that stops still answers the calls that reached it.
	settleTime = 150 * time.Millisecond
	// graceShare is the part of the grace within which another member has to take over.
	graceShare = 0.6
)

// handOn has another member lead, and tries again if this one is elected anew.
func (s *Scheduler) handOn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(s.grace)*graceShare))
	defer cancel()
	for ctx.Err() == nil && !s.led() {
		status, changed := s.node.Status().Watch()
		if status.Ready(clock.Now()) {
			attempt, done := context.WithTimeout(ctx, transferTimeout)
			err := s.node.Transfer(attempt)
			done()
			s.logger.Info("leadership handed on", "error", err)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	clock.Pause(ctx, settleTime)
}

// led reports whether another member leads, or none could.
func (s *Scheduler) led() bool {
	status := s.node.Status().Load()
	return status.Membership().Voters() < 2 || status.Leader() != "" && status.Leader() != status.Self()
}

// openingTimeout bounds how long a peer may take to say what a stream is for.
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
		s.answer(ctx, st, o.Trace())
	case wire.KindRuns:
		s.attend(ctx, st)
	default:
		s.logger.Warn("stream refused", "peer", st.RemoteAddr().String(), "kind", string(o.Kind()))
	}
}

// propose commits a command and returns what it did.
func (s *Scheduler) propose(ctx context.Context, c batch.Command) (r batch.Result, err error) {
	data, err := wire.EncodeBatch(c)
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	r, err = s.node.Propose(ctx, data)
	s.meters.commit.Update(time.Since(begun).Microseconds())
	return r, err
}

// leaderAddress returns the address of the leader and those of all members.
func (s *Scheduler) hosts() (leader string, all []string) {
	st := s.node.Status().Load()
	for _, m := range st.Membership().Members() {
		all = append(all, m.Address())
	}
	return st.LeaderAddress(), all
}
