package dispatch_test

import (
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// worker simulates a worker and the agent on its host, as the platform specifies workers: leases on the worker's own
// clock, runs that cannot restart once stopped, ends that are listed until acknowledged, and a fencing token.
type worker struct {
	sim         *simulation
	name        string
	zone        string
	rate        float64 // of the worker's clock, relative to real time
	incarnation batch.Incarnation
	startedAt   time.Time
	dead        bool
	late        bool // calls are carried out late and their answers are lost
	cut         bool // the agent cannot reach the leader
	frozen      bool // the agent is paused
	frozenAt    time.Time
	draining    bool
	sequence    int64

	fencingToken uint64
	leaseEnd     time.Duration
	running      map[run.ID]time.Time // completion time of the work of each run
	finished     []run.Finished
	number       int64
	lapsed       int64 // the ends up to this number were listed before the lease ended
	stoppedRuns  map[batch.TaskID]int
	begun        map[run.ID]time.Time // when each run in progress began

	// State of the agent.
	known       batch.Incarnation // the one announced last; calls reach a later one with the same ID
	knownClock  func() time.Duration
	session     uint64
	connected   bool
	leaderToken uint64
	renewal     run.RenewLease
	hasRenewal  bool
	crashes     []run.Crash
	started     map[run.ID]run.OrderID // the latest order to start each run
	settled     map[run.ID]answer
	listed      *run.List // the list that the agent has not passed on yet
	calls       []call
	unread      []arrival // orders that arrived while the agent was paused
}

// answer is the answer to an order about a run.
type answer struct {
	order run.OrderID
	at    time.Time
	begun bool // the worker has begun the run
}

// arrival is an order that an agent has received.
type arrival struct {
	envelope  run.Envelope
	committed bool // whether a checkpoint of the run to start was committed then
	prompt    bool // whether the agent reads the order at once
}

// call is a call to the worker in flight, which is carried out at the given time.
type call struct {
	at           time.Time
	incarnation  batch.Incarnation
	fencingToken uint64
	start        *run.Start
	stop         *run.Stop
	answered     bool
	prompt       bool // carried out within a tick of the order
	committed    bool // whether a checkpoint of the run to start was committed when the call was sent
}

func newWorker(sim *simulation, name string, rate float64) *worker {
	w := &worker{sim: sim, name: name, zone: zones[len(sim.workers)%len(zones)], rate: rate, started: map[run.ID]run.OrderID{}, settled: map[run.ID]answer{}}
	w.restart("w-" + name)
	return w
}

// restart begins a new incarnation of the worker.
func (w *worker) restart(id string) {
	w.sim.incarnations++
	w.incarnation = batch.NewIncarnation(w.name, id, w.sim.incarnations)
	w.startedAt, w.dead, w.draining, w.sequence = w.sim.now, false, false, 0
	w.fencingToken, w.leaseEnd, w.running, w.finished, w.number, w.lapsed = 0, 0, map[run.ID]time.Time{}, nil, 0, 0
	w.stoppedRuns, w.begun = map[batch.TaskID]int{}, map[run.ID]time.Time{}
}

// clock returns the time on the worker's clock.
func (w *worker) clock() time.Duration { return w.clockSince(w.startedAt) }

// clockSince returns the time on the clock of an incarnation that started at the given time.
func (w *worker) clockSince(startedAt time.Time) time.Duration {
	return time.Duration(float64(w.sim.now.Sub(startedAt))*w.rate) + time.Millisecond
}

// crash ends the worker's incarnation; the next one may have the same ID.
func (w *worker) crash(sameID bool) {
	w.dead = true
	if !w.draining {
		w.crashes = append(w.crashes, w.crashReport())
	}
	w.running = map[run.ID]time.Time{}
	id := w.incarnation.ID()
	if !sameID {
		id = fmt.Sprintf("w-%s-%d", w.name, w.sim.incarnations)
	}
	w.restart(id)
}

// crashReport returns the agent's report of a crash of the worker now.
func (w *worker) crashReport() run.Crash {
	var runs []run.CrashedRun
	for id := range w.running {
		runs = append(runs, run.NewCrashedRun(id, w.sim.now.Sub(w.begun[id])))
	}
	return run.NewCrash(w.incarnation, runs...)
}

// tick carries out the calls that are due and sends the agent's reports.
func (w *worker) tick() {
	w.expire()
	kept := w.calls[:0:0]
	for _, c := range w.calls {
		if c.at.After(w.sim.now) {
			kept = append(kept, c)
			continue
		}
		w.carryOut(c)
	}
	w.calls = kept
	if w.frozen {
		return
	}
	w.announce()
	// The agent passes on what the worker has listed a tick ago, or before the agent was paused.
	if w.listed != nil {
		w.send(run.NewReport(w.name).WithList(*w.listed))
		w.listed = nil
	}
	w.list()
}

// freeze pauses the agent. What arrives meanwhile waits, and its worker and the calls that are under way go on.
func (w *worker) freeze() {
	if !w.frozen {
		w.frozen, w.frozenAt = true, w.sim.now
	}
}

// thaw lets a paused agent go on, which first reads what has arrived.
func (w *worker) thaw() {
	if !w.frozen {
		return
	}
	w.frozen = false
	for _, a := range w.unread {
		w.handle(a)
	}
	w.unread = nil
}

// sessionTimeout is how long the session of a paused agent stays open.
const sessionTimeout = 2 * time.Second

// reachesLeader reports whether the agent can have a session with the leader.
func (w *worker) reachesLeader() bool {
	return !w.cut && (!w.frozen || w.sim.now.Sub(w.frozenAt) < sessionTimeout)
}

// expire ends runs whose lease has ended or whose work is complete.
func (w *worker) expire() {
	if w.clock() > w.leaseEnd {
		w.lapsed = w.number
		for id := range w.running {
			w.end(id, batch.Lapsed)
		}
	}
	for id, at := range w.running {
		switch whole := w.sim.gangRunning(id); {
		case whole && !at.After(w.sim.now):
			w.sim.finish(id)
		case !whole && w.sim.now.Sub(at) > maxGangWait-w.sim.runDuration:
			w.end(id, batch.Alone)
		}
	}
}

// maxGangWait is how long a gang member waits for the others.
const maxGangWait = 3 * time.Second

func (w *worker) end(id run.ID, outcome batch.RunOutcome) {
	delete(w.running, id)
	w.number++
	w.finished = append(w.finished, run.NewFinished(w.number, batch.NewEnd(id.Task(), id.Run(), outcome, "")))
	w.stoppedRuns[id.Task()] = max(w.stoppedRuns[id.Task()], id.Run())
}

func (w *worker) carryOut(c call) {
	// A late call reaches the worker's current incarnation if it has the same ID.
	if c.incarnation.ID() != w.incarnation.ID() || c.fencingToken < w.fencingToken {
		w.answered(c, "refused")
		return
	}
	w.fencingToken = c.fencingToken
	switch {
	case c.stop != nil:
		id := c.stop.ID()
		w.stoppedRuns[id.Task()] = max(w.stoppedRuns[id.Task()], id.Run())
		if _, runs := w.running[id]; runs {
			w.end(id, batch.Stopped)
		}
		w.answered(c, "")
	case c.start != nil:
		w.answered(c, w.start(c))
	}
}

// start begins the run of a call, or returns the reason for refusing it.
func (w *worker) start(c call) string {
	o := *c.start
	_, runs := w.running[o.ID()]
	switch {
	case runs:
		return ""
	case o.Lease() <= w.clock():
		return "late"
	case o.ID().Run() <= w.stoppedRuns[o.ID().Task()]:
		return "old"
	}
	w.leaseEnd = max(w.leaseEnd, min(o.Lease(), w.clock()+maxLease))
	w.running[o.ID()] = w.sim.now.Add(w.sim.runDuration)
	w.begun[o.ID()] = w.sim.now
	w.sim.checkZone(w, o.ID(), c.prompt)
	w.sim.checkStart(w, o, c.committed)
	return ""
}

// maxLease is the longest lease that a worker accepts.
const maxLease = 6 * time.Second

// answered passes the worker's answer to the agent if the answer is not lost and the incarnation is the same.
func (w *worker) answered(c call, refusal string) {
	if !c.answered || c.incarnation != w.known {
		return
	}
	if c.stop != nil {
		w.settle(c.stop.ID(), c.stop.OrderID(), false)
		return
	}
	if refusal != "" {
		w.send(run.NewReport(w.name).WithRefused([]run.Refusal{run.NewRefusal(c.start.ID(), c.start.OrderID(), refusal)}))
	}
	w.settle(c.start.ID(), c.start.OrderID(), refusal == "")
}

// expect records an order to start a run, and reports whether the agent calls the worker for it.
func (w *worker) expect(id run.ID, order run.OrderID) bool {
	if order.Before(w.started[id]) {
		return false
	}
	w.started[id] = order
	if a, known := w.settled[id]; known && a.begun {
		w.settled[id] = answer{order: order, at: w.sim.now, begun: true}
		return false
	}
	delete(w.settled, id)
	return true
}

// settle records the first answer to the latest order to start a run, or to a later order.
func (w *worker) settle(id run.ID, order run.OrderID, begun bool) {
	if _, known := w.settled[id]; !known && !order.Before(w.started[id]) {
		w.settled[id] = answer{order: order, at: w.sim.now, begun: begun}
	}
}

// order handles an order of the leader, or keeps it while the agent is paused.
func (w *worker) order(e run.Envelope) {
	a := arrival{envelope: e, prompt: !w.frozen}
	if o, ok := e.Order().(run.Start); ok {
		a.committed = w.sim.committed[w.sim.checkpointOwner(o.ID().Task())]
	}
	if w.frozen {
		w.unread = append(w.unread, a)
		return
	}
	w.handle(a)
}

// handle carries out an order.
func (w *worker) handle(arrived arrival) {
	e := arrived.envelope
	if e.FencingToken() < w.leaderToken {
		return
	}
	w.leaderToken = e.FencingToken()
	c := call{at: w.sim.now, incarnation: w.known, fencingToken: e.FencingToken(), answered: !w.late, prompt: arrived.prompt && !w.late}
	if w.late {
		c.at = w.sim.now.Add(w.sim.callDelay)
	}
	switch o := e.Order().(type) {
	case run.Start:
		if o.Incarnation() != w.known || w.draining {
			if o.Incarnation() == w.known {
				w.settle(o.ID(), o.OrderID(), false)
			}
			w.send(run.NewReport(w.name).WithRefused([]run.Refusal{run.NewRefusal(o.ID(), o.OrderID(), "another incarnation")}))
			return
		}
		if !w.expect(o.ID(), o.OrderID()) {
			return
		}
		if o.Lease() <= w.knownClock() {
			stop := run.NewStop(o.ID()).WithOrderID(o.OrderID())
			c.stop = &stop
			w.calls = append(w.calls, c)
			return
		}
		c.start, c.committed = &o, arrived.committed
		w.calls = append(w.calls, c)
	case run.Stop:
		c.stop = &o
		w.calls = append(w.calls, c)
	case run.Pace:
	case run.RenewLease:
		if o.Incarnation() == w.known {
			w.renewal, w.hasRenewal = o, true
		}
	}
}

// announce reports the worker every second.
func (w *worker) announce() {
	if w.sim.ticks%10 != 0 {
		return
	}
	w.sequence++
	if w.known != w.incarnation {
		w.known, w.hasRenewal, w.started, w.settled = w.incarnation, false, map[run.ID]run.OrderID{}, map[run.ID]answer{}
		startedAt := w.startedAt
		w.knownClock = func() time.Duration { return w.clockSince(startedAt) }
	}
	a := run.NewAnnouncement(w.incarnation, "s", w.zone, w.sequence).WithRack("r", []string{"a", "r"}).
		WithCapacity(batch.NewResources(8000, 8000, capacity)).WithClock(w.clock())
	if w.draining {
		a = a.WithDraining(0)
	}
	w.send(run.NewReport(w.name).WithAnnouncement(a).WithCrashes(w.crashes))
}

// list passes the leader's latest lease renewal to the worker, which lists its runs.
func (w *worker) list() {
	if !w.hasRenewal || w.late || w.leaderToken < w.fencingToken || w.known.ID() != w.incarnation.ID() {
		return
	}
	w.fencingToken = w.leaderToken
	if w.renewal.Lease() > 0 {
		w.leaseEnd = max(w.leaseEnd, min(w.renewal.Lease(), w.clock()+maxLease))
	}
	if w.known != w.incarnation {
		return
	}
	var finished []run.Finished
	for _, f := range w.finished {
		if f.Number() > w.renewal.Acknowledged() {
			finished = append(finished, f)
			continue
		}
		w.sim.acknowledged(f.End(), f.Number() <= w.lapsed)
	}
	w.finished = finished
	var running []run.Running
	for id, at := range w.running {
		percent := 100 - int(100*at.Sub(w.sim.now)/w.sim.runDuration)
		running = append(running, run.NewRunning(id, w.sim.checkpoint(id, percent), percent, 0))
	}
	var settled []run.Settled
	for id, a := range w.settled {
		if a.at.Before(w.sim.now) {
			settled = append(settled, run.NewSettled(id, a.order))
		}
	}
	list := run.NewList(w.incarnation, w.fencingToken, w.clock(), running, finished, settled)
	w.listed = &list
}

// send passes a report to the leader if the session is open.
func (w *worker) send(r run.Report) {
	if w.connected {
		w.sim.core.Report(w.sim.now, r)
	}
}

const capacity = 4
