package agent

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/gang"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/wire"
)

const (
	pingPeriod  = time.Second
	pingTimeout = 900 * time.Millisecond
)

// member is one task under one fence.
type member struct {
	id    task.ID
	fence lease.FencingToken
}

// pinger is the controller that watches the gangs of the worker's running tasks.
type pinger struct {
	agent  *Agent
	active map[member]bool
	ended  chan member
}

func newPinger(a *Agent) *pinger {
	return &pinger{agent: a, active: map[member]bool{}, ended: make(chan member)}
}

// run starts a watch for each task that begins to run.
func (p *pinger) run(ctx context.Context) error {
	var g errgroup.Group
	defer func() { _ = g.Wait() }() // watches return no error
	for {
		list, changed := p.agent.board.watched.Watch()
		for _, w := range list {
			m := member{w.Report().ID(), w.Report().FencingToken()}
			if p.agent.peerTLS == nil || p.active[m] || w.Report().State() != task.Running {
				continue
			}
			p.active[m] = true
			g.Go(func() error {
				p.watch(ctx, m, w.Watch())
				select {
				case p.ended <- m:
				case <-ctx.Done():
				}
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case m := <-p.ended:
			delete(p.active, m)
		}
	}
}

// watch pings the hub until the task and its gang are over, and stops the task when the gang is not whole.
func (p *pinger) watch(ctx context.Context, m member, w task.GangWatch) {
	t := time.NewTicker(pingPeriod)
	defer t.Stop()
	var s *link.Stream
	defer func() {
		if s != nil {
			s.Cancel()
		}
	}()
	pulse := gang.NewWatchdog(time.Now())
	for {
		state, known := p.state(m)
		if !known {
			return
		}
		asked := time.Now()
		v, err := p.ping(ctx, &s, w, task.NewPing(task.NewReport(m.id, m.fence, state), w.Members()))
		if err == nil {
			pulse = pulse.WithVerdict(v, asked)
		}
		switch lost := pulse.MustStop(time.Now()); {
		case state.Final() && (lost || v == task.AllSucceeded):
			return
		case lost && state == task.Running:
			p.stop(ctx, m, w)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// state returns what the worker says of a task, and whether it still lists it.
func (p *pinger) state(m member) (s task.State, known bool) {
	for _, w := range p.agent.board.watched.Load() {
		if r := w.Report(); r.ID() == m.id && r.FencingToken() == m.fence {
			return r.State(), true
		}
	}
	return "", false
}

// ping asks the hub, on the stream of the ping before if it still works.
func (p *pinger) ping(ctx context.Context, s **link.Stream, w task.GangWatch, ping task.Ping) (v task.Verdict, err error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if w.Hub() == p.agent.advertise {
		return p.agent.hub.hear(ctx, ping)
	}
	if *s == nil {
		opened, err := p.agent.peers.Open(ctx, w.Hub())
		if err != nil {
			return "", err
		}
		*s = opened
		_ = opened.SetDeadline(time.Now().Add(pingTimeout))
		err = wire.WriteOpening(opened, wire.NewOpening(wire.KindPing, ""))
		if err != nil {
			p.drop(s)
			return "", err
		}
	}
	_ = (*s).SetDeadline(time.Now().Add(pingTimeout))
	if err = wire.WritePing(*s, ping); err == nil {
		v, err = wire.ReadVerdict(*s)
	}
	if err != nil {
		p.drop(s)
	}
	return v, err
}

func (p *pinger) drop(s **link.Stream) {
	(*s).Cancel()
	*s = nil
}

// stop ends a task whose gang is not whole; the leader learns of it from the worker's report.
func (p *pinger) stop(ctx context.Context, m member, w task.GangWatch) {
	p.agent.logger.Warn("stopping a member whose gang is not whole", "task", m.id.String(), "fence", uint64(m.fence),
		"hub", w.Hub())
	if r := p.agent.order(ctx, task.NewStop(m.id, m.fence, false)); r.Answer() != task.Accepted {
		p.agent.logger.Warn("member not stopped", "task", m.id.String(), "answer", string(r.Answer()))
	}
}
