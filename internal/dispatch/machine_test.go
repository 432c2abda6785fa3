package dispatch_test

import (
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// machine is a host with a worker and the agent beside it, as the platform describes workers: a lease on the worker's
// own clock, runs that are stopped for good, ends that are listed until they are acknowledged, and a fencing token.
type machine struct {
	w        *world
	name     string
	rate     float64 // of the worker's clock
	life     batch.Incarnation
	bornAt   time.Time
	dead     bool
	late     bool // calls are not answered, and carried out later
	cut      bool // the agent does not reach the leader
	draining bool
	sequence int64

	fence    uint64
	lease    time.Duration
	running  map[run.ID]time.Time // when the run would be done
	finished []run.Finished
	number   int64
	stopped  map[batch.TaskID]int

	// What the agent knows.
	session   uint64
	connected bool
	token     uint64
	hold      run.RenewLease
	held      bool
	settled   map[run.ID]time.Time
	calls     []call
}

// call is a call to a worker under way; it is carried out at a time.
type call struct {
	at     time.Time
	life   batch.Incarnation
	fence  uint64
	start  *run.Start
	stop   *run.ID
	answer bool
}

func newMachine(w *world, name string, rate float64) *machine {
	m := &machine{w: w, name: name, rate: rate}
	m.birth("w-" + name)
	return m
}

// birth begins a life of the worker.
func (m *machine) birth(id string) {
	m.w.births++
	m.life = batch.NewIncarnation(m.name, id, m.w.births)
	m.bornAt, m.dead, m.draining, m.sequence = m.w.now, false, false, 0
	m.fence, m.lease, m.running, m.finished, m.number = 0, 0, map[run.ID]time.Time{}, nil, 0
	m.stopped = map[batch.TaskID]int{}
	m.held, m.settled = false, map[run.ID]time.Time{}
}

// clock returns the worker's clock.
func (m *machine) clock() time.Duration {
	return time.Duration(float64(m.w.now.Sub(m.bornAt))*m.rate) + time.Millisecond
}

// crash ends the worker's life; the next one may have the same id.
func (m *machine) crash(sameID bool) {
	m.dead = true
	m.running = map[run.ID]time.Time{}
	id := m.life.ID()
	if !sameID {
		id = fmt.Sprintf("w-%s-%d", m.name, m.w.births)
	}
	m.birth(id)
}

// tick lets the worker and its agent do what is due.
func (m *machine) tick() {
	m.expire()
	kept := m.calls[:0:0]
	for _, c := range m.calls {
		if c.at.After(m.w.now) {
			kept = append(kept, c)
			continue
		}
		m.carryOut(c)
	}
	m.calls = kept
	m.announce()
	m.look()
}

// expire ends runs whose lease or work has ended.
func (m *machine) expire() {
	if len(m.running) > 0 && m.clock() > m.lease {
		for id := range m.running {
			m.end(id, batch.Lapsed)
		}
	}
	for id, at := range m.running {
		switch whole := m.w.whole(id); {
		case whole && !at.After(m.w.now):
			m.w.finish(id)
		case !whole && m.w.now.Sub(at) > longestWait-m.w.work:
			m.end(id, batch.Alone)
		}
	}
}

// longestWait is how long a member of a gang waits for the others.
const longestWait = 3 * time.Second

func (m *machine) end(id run.ID, how batch.RunOutcome) {
	delete(m.running, id)
	m.number++
	m.finished = append(m.finished, run.NewFinished(m.number, batch.NewEnd(id.Task(), id.Run(), how, "")))
	m.stopped[id.Task()] = max(m.stopped[id.Task()], id.Run())
}

func (m *machine) carryOut(c call) {
	// A late call reaches whatever life has the id now.
	if c.life.ID() != m.life.ID() || c.fence < m.fence {
		m.answered(c, "refused")
		return
	}
	m.fence = c.fence
	switch {
	case c.stop != nil:
		m.stopped[c.stop.Task()] = max(m.stopped[c.stop.Task()], c.stop.Run())
		if _, runs := m.running[*c.stop]; runs {
			m.end(*c.stop, batch.Stopped)
		}
		m.answered(c, "")
	case c.start != nil:
		m.answered(c, m.start(*c.start))
	}
}

// start begins a run or returns why not.
func (m *machine) start(o run.Start) string {
	_, runs := m.running[o.ID()]
	switch {
	case runs:
		return ""
	case o.Lease() <= m.clock():
		return "late"
	case o.ID().Run() <= m.stopped[o.ID().Task()]:
		return "old"
	}
	m.lease = max(m.lease, min(o.Lease(), m.clock()+longestLease))
	m.running[o.ID()] = m.w.now.Add(m.w.work)
	m.w.started(m, o)
	return ""
}

// longestLease is the longest lease that a worker gives.
const longestLease = 6 * time.Second

// answered tells the agent what the worker answered, if it hears it in the same life.
func (m *machine) answered(c call, refusal string) {
	if !c.answer || c.life != m.life {
		return
	}
	id := c.stop
	if c.start != nil {
		started := c.start.ID()
		id = &started
		if refusal != "" {
			m.send(run.NewReport(m.name).WithRefused([]run.Refusal{run.NewRefusal(started, refusal)}))
		}
	}
	if _, known := m.settled[*id]; !known {
		m.settled[*id] = m.w.now
	}
}

// order takes an order of the leader.
func (m *machine) order(e run.Envelope) {
	if e.FencingToken() < m.token {
		return
	}
	m.token = e.FencingToken()
	c := call{at: m.w.now, life: m.life, fence: e.FencingToken(), answer: !m.late}
	if m.late {
		c.at = m.w.now.Add(m.w.lateness)
	}
	switch o := e.Order().(type) {
	case run.Start:
		if o.Incarnation() != m.life || m.draining {
			m.settled[o.ID()] = m.w.now
			m.send(run.NewReport(m.name).WithRefused([]run.Refusal{run.NewRefusal(o.ID(), "another life")}))
			return
		}
		c.start = &o
		m.calls = append(m.calls, c)
	case run.Stop:
		id := o.ID()
		c.stop = &id
		m.calls = append(m.calls, c)
	case run.Pace:
	case run.RenewLease:
		if o.Incarnation() == m.life {
			m.hold, m.held = o, true
		}
	}
}

// announce reports the worker each second.
func (m *machine) announce() {
	if m.w.ticks%10 != 0 {
		return
	}
	m.sequence++
	a := run.NewAnnouncement(m.life, "s", "z", m.sequence).WithRack("r", []string{"a", "r"}).
		WithCapacity(batch.NewResources(8000, 8000, capacity)).WithClock(m.clock())
	if m.draining {
		a = a.WithDraining(0)
	}
	m.send(run.NewReport(m.name).WithAnnouncement(a))
}

// look asks the worker for its list.
func (m *machine) look() {
	if !m.held || m.late || m.token < m.fence {
		return
	}
	m.fence = m.token
	if m.hold.Lease() > 0 {
		m.lease = max(m.lease, min(m.hold.Lease(), m.clock()+longestLease))
	}
	var finished []run.Finished
	for _, f := range m.finished {
		if f.Number() > m.hold.Acknowledged() {
			finished = append(finished, f)
		}
	}
	m.finished = finished
	var running []run.Running
	for id, at := range m.running {
		percent := 100 - int(100*at.Sub(m.w.now)/m.w.work)
		running = append(running, run.NewRunning(id, m.w.checkpoint(id, percent), percent, 0))
	}
	var settled []run.ID
	for id, at := range m.settled {
		if at.Before(m.w.now) {
			settled = append(settled, id)
		}
	}
	m.send(run.NewReport(m.name).WithList(run.NewList(m.life, m.fence, m.clock(), running, finished, settled)))
}

// send passes a report to the leader while there is a session.
func (m *machine) send(r run.Report) {
	if m.connected {
		m.w.core.Report(m.w.now, r)
	}
}

const capacity = 4
