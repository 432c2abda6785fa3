package dispatch_test

import (
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// machine simulates a host with a worker and its agent, as the platform specifies workers: leases on the worker's own
// clock, runs that cannot restart once stopped, ends that are listed until acknowledged, and a fencing token.
type machine struct {
	sim         *simulation
	name        string
	rate        float64 // of the worker's clock, relative to real time
	incarnation batch.Incarnation
	startedAt   time.Time
	dead        bool
	late        bool // calls are carried out late and their answers are lost
	cut         bool // the agent cannot reach the leader
	draining    bool
	sequence    int64

	fencingToken uint64
	leaseEnd     time.Duration
	running      map[run.ID]time.Time // completion time of the work of each run
	finished     []run.Finished
	number       int64
	stoppedRuns  map[batch.TaskID]int

	// State of the agent.
	session     uint64
	connected   bool
	leaderToken uint64
	hold        run.RenewLease
	hasHold     bool
	settled     map[run.ID]time.Time
	calls       []call
}

// call is a call to the worker in flight, which is carried out at the given time.
type call struct {
	at           time.Time
	incarnation  batch.Incarnation
	fencingToken uint64
	start        *run.Start
	stop         *run.ID
	answered     bool
}

func newMachine(sim *simulation, name string, rate float64) *machine {
	m := &machine{sim: sim, name: name, rate: rate}
	m.restart("w-" + name)
	return m
}

// restart begins a new incarnation of the worker.
func (m *machine) restart(id string) {
	m.sim.incarnations++
	m.incarnation = batch.NewIncarnation(m.name, id, m.sim.incarnations)
	m.startedAt, m.dead, m.draining, m.sequence = m.sim.now, false, false, 0
	m.fencingToken, m.leaseEnd, m.running, m.finished, m.number = 0, 0, map[run.ID]time.Time{}, nil, 0
	m.stoppedRuns = map[batch.TaskID]int{}
	m.hasHold, m.settled = false, map[run.ID]time.Time{}
}

// clock returns the time on the worker's clock.
func (m *machine) clock() time.Duration {
	return time.Duration(float64(m.sim.now.Sub(m.startedAt))*m.rate) + time.Millisecond
}

// crash ends the worker's incarnation; the next one may have the same ID.
func (m *machine) crash(sameID bool) {
	m.dead = true
	m.running = map[run.ID]time.Time{}
	id := m.incarnation.ID()
	if !sameID {
		id = fmt.Sprintf("w-%s-%d", m.name, m.sim.incarnations)
	}
	m.restart(id)
}

// tick carries out the calls that are due and sends the agent's reports.
func (m *machine) tick() {
	m.expire()
	kept := m.calls[:0:0]
	for _, c := range m.calls {
		if c.at.After(m.sim.now) {
			kept = append(kept, c)
			continue
		}
		m.carryOut(c)
	}
	m.calls = kept
	m.announce()
	m.list()
}

// expire ends runs whose lease has ended or whose work is complete.
func (m *machine) expire() {
	if len(m.running) > 0 && m.clock() > m.leaseEnd {
		for id := range m.running {
			m.end(id, batch.Lapsed)
		}
	}
	for id, at := range m.running {
		switch whole := m.sim.gangRunning(id); {
		case whole && !at.After(m.sim.now):
			m.sim.finish(id)
		case !whole && m.sim.now.Sub(at) > maxGangWait-m.sim.workTime:
			m.end(id, batch.Alone)
		}
	}
}

// maxGangWait is how long a gang member waits for the others.
const maxGangWait = 3 * time.Second

func (m *machine) end(id run.ID, how batch.RunOutcome) {
	delete(m.running, id)
	m.number++
	m.finished = append(m.finished, run.NewFinished(m.number, batch.NewEnd(id.Task(), id.Run(), how, "")))
	m.stoppedRuns[id.Task()] = max(m.stoppedRuns[id.Task()], id.Run())
}

func (m *machine) carryOut(c call) {
	// A late call reaches the worker's current incarnation if it has the same ID.
	if c.incarnation.ID() != m.incarnation.ID() || c.fencingToken < m.fencingToken {
		m.answered(c, "refused")
		return
	}
	m.fencingToken = c.fencingToken
	switch {
	case c.stop != nil:
		m.stoppedRuns[c.stop.Task()] = max(m.stoppedRuns[c.stop.Task()], c.stop.Run())
		if _, runs := m.running[*c.stop]; runs {
			m.end(*c.stop, batch.Stopped)
		}
		m.answered(c, "")
	case c.start != nil:
		m.answered(c, m.start(*c.start))
	}
}

// start begins a run, or returns the reason for refusing it.
func (m *machine) start(o run.Start) string {
	_, runs := m.running[o.ID()]
	switch {
	case runs:
		return ""
	case o.Lease() <= m.clock():
		return "late"
	case o.ID().Run() <= m.stoppedRuns[o.ID().Task()]:
		return "old"
	}
	m.leaseEnd = max(m.leaseEnd, min(o.Lease(), m.clock()+maxLease))
	m.running[o.ID()] = m.sim.now.Add(m.sim.workTime)
	m.sim.checkStart(m, o)
	return ""
}

// maxLease is the longest lease that a worker accepts.
const maxLease = 6 * time.Second

// answered passes the worker's answer to the agent if the answer is not lost and the incarnation is the same.
func (m *machine) answered(c call, refusal string) {
	if !c.answered || c.incarnation != m.incarnation {
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
		m.settled[*id] = m.sim.now
	}
}

// order handles an order of the leader.
func (m *machine) order(e run.Envelope) {
	if e.FencingToken() < m.leaderToken {
		return
	}
	m.leaderToken = e.FencingToken()
	c := call{at: m.sim.now, incarnation: m.incarnation, fencingToken: e.FencingToken(), answered: !m.late}
	if m.late {
		c.at = m.sim.now.Add(m.sim.lateBy)
	}
	switch o := e.Order().(type) {
	case run.Start:
		if o.Incarnation() != m.incarnation || m.draining {
			m.settled[o.ID()] = m.sim.now
			m.send(run.NewReport(m.name).WithRefused([]run.Refusal{run.NewRefusal(o.ID(), "another incarnation")}))
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
		if o.Incarnation() == m.incarnation {
			m.hold, m.hasHold = o, true
		}
	}
}

// announce reports the worker every second.
func (m *machine) announce() {
	if m.sim.ticks%10 != 0 {
		return
	}
	m.sequence++
	a := run.NewAnnouncement(m.incarnation, "s", "z", m.sequence).WithRack("r", []string{"a", "r"}).
		WithCapacity(batch.NewResources(8000, 8000, capacity)).WithClock(m.clock())
	if m.draining {
		a = a.WithDraining(0)
	}
	m.send(run.NewReport(m.name).WithAnnouncement(a))
}

// list passes the hold to the worker and reports the worker's list.
func (m *machine) list() {
	if !m.hasHold || m.late || m.leaderToken < m.fencingToken {
		return
	}
	m.fencingToken = m.leaderToken
	if m.hold.Lease() > 0 {
		m.leaseEnd = max(m.leaseEnd, min(m.hold.Lease(), m.clock()+maxLease))
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
		percent := 100 - int(100*at.Sub(m.sim.now)/m.sim.workTime)
		running = append(running, run.NewRunning(id, m.sim.checkpoint(id, percent), percent, 0))
	}
	var settled []run.ID
	for id, at := range m.settled {
		if at.Before(m.sim.now) {
			settled = append(settled, id)
		}
	}
	m.send(run.NewReport(m.name).WithList(run.NewList(m.incarnation, m.fencingToken, m.clock(), running, finished, settled)))
}

// send passes a report to the leader if the session is open.
func (m *machine) send(r run.Report) {
	if m.connected {
		m.sim.core.Report(m.sim.now, r)
	}
}

const capacity = 4
