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

// gangMember identifies a task of a gang under the fencing token of its reservation.
type gangMember struct {
	id           task.ID
	fencingToken lease.FencingToken
}

// pinger is the controller that pings the hubs of the gangs whose members run on the worker.
type pinger struct {
	agent  *Agent
	active map[gangMember]bool // those with a goroutine in watchGang
	ended  chan gangMember     // those whose watchGang has returned
}

func newPinger(a *Agent) *pinger {
	return &pinger{agent: a, active: map[gangMember]bool{}, ended: make(chan gangMember)}
}

// run starts watchGang for each task of a gang that starts to run.
func (p *pinger) run(ctx context.Context) error {
	var g errgroup.Group
	defer func() { _ = g.Wait() }() // the goroutines return no error
	for {
		list, changed := p.agent.board.gangTasks.Watch()
		for _, w := range list {
			m := gangMember{w.Report().ID(), w.Report().FencingToken()}
			if p.agent.peerTLS == nil || p.active[m] || w.Report().State() != task.Running {
				continue
			}
			p.active[m] = true
			g.Go(func() error {
				p.watchGang(ctx, m, w.Watch())
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

// watchGang pings the hub until the task and its gang have ended. It stops the task when the gang is broken or the hub
// no longer confirms that it is whole.
func (p *pinger) watchGang(ctx context.Context, m gangMember, w task.GangWatch) {
	t := time.NewTicker(pingPeriod)
	defer t.Stop()
	var s *link.Stream
	defer func() {
		if s != nil {
			s.Cancel()
		}
	}()
	watchdog := gang.NewWatchdog(time.Now())
	for {
		state, listed := p.taskState(m)
		if !listed {
			return
		}
		sentAt := time.Now()
		v, err := p.ping(ctx, &s, w, task.NewPing(task.NewReport(m.id, m.fencingToken, state), w.Members()))
		if err == nil {
			watchdog = watchdog.WithVerdict(v, sentAt)
		}
		switch lost := watchdog.MustStop(time.Now()); {
		case state.Final() && (lost || v == task.AllSucceeded):
			return
		case lost && state == task.Running:
			p.stopTask(ctx, m, w)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// taskState returns the state of a task in the worker's latest list, and whether the list has the task.
func (p *pinger) taskState(m gangMember) (s task.State, listed bool) {
	for _, w := range p.agent.board.gangTasks.Load() {
		if r := w.Report(); r.ID() == m.id && r.FencingToken() == m.fencingToken {
			return r.State(), true
		}
	}
	return "", false
}

// ping sends a ping to the hub and returns its verdict; it reuses the stream s and resets it to nil after an error.
func (p *pinger) ping(ctx context.Context, s **link.Stream, w task.GangWatch, ping task.Ping) (v task.Verdict, err error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if w.Hub() == p.agent.advertise {
		return p.agent.hub.submit(ctx, ping)
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
			p.closeStream(s)
			return "", err
		}
	}
	_ = (*s).SetDeadline(time.Now().Add(pingTimeout))
	if err = wire.WritePing(*s, ping); err == nil {
		v, err = wire.ReadVerdict(*s)
	}
	if err != nil {
		p.closeStream(s)
	}
	return v, err
}

func (p *pinger) closeStream(s **link.Stream) {
	(*s).Cancel()
	*s = nil
}

// stopTask stops a task whose gang is broken or no longer confirmed as whole; the leader learns of it from the worker's
// report.
func (p *pinger) stopTask(ctx context.Context, m gangMember, w task.GangWatch) {
	p.agent.logger.Warn("stopping task: its gang is broken or its hub does not answer", "task", m.id.String(),
		"fence", uint64(m.fencingToken), "hub", w.Hub())
	if r := p.agent.carryOut(ctx, task.NewStop(m.id, m.fencingToken, false)); r.Answer() != task.Accepted {
		p.agent.logger.Warn("task not stopped", "task", m.id.String(), "answer", string(r.Answer()))
	}
}
