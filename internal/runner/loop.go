package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// callTimeout bounds one call to the worker, beside the time for which the worker was asked to wait.
	callTimeout = 800 * time.Millisecond
	// callPause is waited before a call to the worker is repeated.
	callPause = 100 * time.Millisecond
	// listWait is how long the worker is asked to wait for an end.
	listWait = time.Second
	// listPause is waited for an acknowledgement before a list with the same ends is asked for again.
	listPause = 400 * time.Millisecond
	// stopTries bounds how often a stop is repeated; the leader orders it again.
	stopTries = 10
	// keepSettled is how long answered calls are reported.
	keepSettled = 30 * time.Second
)

// loop owns what an agent knows; only its goroutine touches it.
type loop struct {
	*Runner
	fence    uint64
	hold     run.RenewLease
	held     bool
	starts   map[run.ID]context.CancelFunc
	paces    map[run.ID]context.CancelFunc
	settled  map[run.ID]time.Time
	list     run.List
	told     map[run.ID]told
	listing  bool
	look     bool
	cancel   context.CancelFunc
	nextList time.Time
	life     batch.Incarnation
	resend   bool
}

func newLoop(r *Runner) *loop {
	return &loop{
		Runner: r, starts: map[run.ID]context.CancelFunc{}, paces: map[run.ID]context.CancelFunc{},
		settled: map[run.ID]time.Time{},
	}
}

func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		a, changed := l.announced.Watch()
		if life := a.announcement.Incarnation(); life != l.life {
			l.reborn(life)
		}
		l.poll(ctx, now)
		if wait, due := l.nextPoll(now); due {
			timer.Reset(wait)
		} else {
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-changed:
		case in := <-l.inputs:
			l.take(ctx, time.Now(), in)
		}
	}
}

// reborn forgets the calls and lists of an earlier life of the worker.
func (l *loop) reborn(life batch.Incarnation) {
	l.life, l.held, l.list = life, false, run.List{}
	for id, cancel := range l.starts {
		cancel()
		delete(l.starts, id)
	}
	clear(l.settled)
	clear(l.paces)
	if l.cancel != nil {
		l.cancel()
	}
}

func (l *loop) take(ctx context.Context, now time.Time, in input) {
	switch in := in.(type) {
	case sessionInput:
		l.look, l.resend = true, true
	case orderInput:
		l.order(ctx, now, in.envelope)
	case startedInput:
		l.started(in)
	case stoppedInput:
		if in.life == l.life {
			l.settle(in.id, in.at)
			l.nextList = now
			// A list that waits for an end would not come for a run that is not there.
			l.look = l.look || !l.runs(in.id)
		}
	case listedInput:
		l.listed(now, in)
	}
}

// settle notes when a call about a run was first answered; later answers to repeated calls tell nothing new.
func (l *loop) settle(id run.ID, at time.Time) {
	if _, known := l.settled[id]; !known {
		l.settled[id] = at
	}
}

// order takes an order, unless a later leader has given one.
func (l *loop) order(ctx context.Context, now time.Time, e run.Envelope) {
	if e.FencingToken() < l.fence {
		l.logger.Info("order ignored", "fence", e.FencingToken(), "known", l.fence)
		return
	}
	l.fence = e.FencingToken()
	switch o := e.Order().(type) {
	case run.Start:
		l.start(ctx, now, o)
	case run.Stop:
		l.stop(ctx, o)
	case run.Pace:
		l.pace(ctx, o)
	case run.RenewLease:
		if o.Incarnation() != l.life {
			return
		}
		acknowledges := l.held && o.Acknowledged() > l.hold.Acknowledged()
		l.hold, l.held = o, true
		if o.ListNow() {
			l.look = true
		}
		if acknowledges || o.ListNow() {
			l.nextList = now
		}
	}
}

// start begins a run in the background, again and again until the worker answers or the leader wants it stopped.
func (l *loop) start(ctx context.Context, now time.Time, o run.Start) {
	if _, under := l.starts[o.ID()]; under {
		return
	}
	a := l.announced.Load()
	switch {
	case l.life != o.Incarnation():
		l.started(startedInput{id: o.ID(), life: l.life, refusal: anotherLife, at: now})
		return
	case a.announcement.Draining() || a.gone:
		l.started(startedInput{id: o.ID(), life: l.life, refusal: "draining", at: now})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	l.starts[o.ID()] = cancel
	fence := l.fence
	go func() {
		defer cancel()
		for {
			attempt, done := context.WithTimeout(ctx, callTimeout)
			err := l.worker.Start(attempt, fence, o)
			done()
			var refused *RefusedError
			switch {
			case err == nil:
				l.tell(ctx, startedInput{id: o.ID(), life: o.Incarnation(), at: time.Now()})
				return
			case errors.As(err, &refused):
				if !refused.Final() && !l.bar(ctx, o.Incarnation(), fence, o.ID()) {
					return
				}
				l.tell(ctx, startedInput{id: o.ID(), life: o.Incarnation(), refusal: refused.Reason(), at: time.Now()})
				return
			}
			l.logger.Info("start not answered", "task", o.ID().Task().String(), "run", o.ID().Run(), "error", err)
			if !clock.Pause(ctx, callPause) {
				return
			}
		}
	}()
}

func (l *loop) started(in startedInput) {
	if in.life != l.life {
		return
	}
	if cancel := l.starts[in.id]; cancel != nil {
		cancel()
		delete(l.starts, in.id)
	}
	l.settle(in.id, in.at)
	if in.refusal == "" {
		return
	}
	l.logger.Info("start refused", "task", in.id.Task().String(), "run", in.id.Run(), "reason", in.refusal)
	l.nextList = in.at
	l.look = true
	l.send(run.NewReport(l.name).WithRefused([]run.Refusal{run.NewRefusal(in.id, in.refusal)}))
}

// stop ends a run in the background, again and again until the worker answers.
func (l *loop) stop(ctx context.Context, o run.Stop) {
	if cancel := l.starts[o.ID()]; cancel != nil {
		cancel()
		delete(l.starts, o.ID())
	}
	life, fence := l.life, l.fence
	go func() {
		if l.bar(ctx, life, fence, o.ID()) {
			l.tell(ctx, stoppedInput{id: o.ID(), life: life, at: time.Now()})
		}
	}()
}

// bar stops a run, and keeps a late start of it from running; it reports whether the worker has done so. A worker that
// refuses because it is busy has done nothing.
func (l *loop) bar(ctx context.Context, life batch.Incarnation, fence uint64, id run.ID) bool {
	for range stopTries {
		attempt, done := context.WithTimeout(ctx, callTimeout)
		err := l.worker.Stop(attempt, life, fence, id)
		done()
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) && refused.Final() {
			l.logger.Info("stop answered", "task", id.Task().String(), "run", id.Run(), "refused", err != nil)
			return true
		}
		l.logger.Info("stop not answered", "task", id.Task().String(), "run", id.Run(), "error", err)
		if !clock.Pause(ctx, callPause) {
			return false
		}
	}
	return false
}

// pace passes a run's share on; the leader repeats it, and a later one replaces one that is not answered yet.
func (l *loop) pace(ctx context.Context, o run.Pace) {
	if cancel := l.paces[o.ID()]; cancel != nil {
		cancel()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	l.paces[o.ID()] = cancel
	life, fence := l.life, l.fence
	go func() {
		defer cancel()
		if err := l.worker.Pace(ctx, life, fence, o.ID(), o.Percent()); err != nil && !errors.Is(err, context.Canceled) {
			l.logger.Info("pace not answered", "task", o.ID().Task().String(), "run", o.ID().Run(), "percent", o.Percent(), "error", err)
		}
	}()
}

// nextPoll returns how long to wait until the next list is due.
func (l *loop) nextPoll(now time.Time) (wait time.Duration, due bool) {
	if !l.held || l.listing {
		return 0, false
	}
	if !l.look && !l.busy() {
		return 0, false
	}
	return max(l.nextList.Sub(now), 0), true
}

// busy reports whether the worker may run or list something.
func (l *loop) busy() bool {
	return len(l.list.Running()) > 0 || len(l.starts) > 0 || l.unacknowledged() || l.unlisted()
}

// unlisted reports whether a start was answered after the latest list was asked for.
func (l *loop) unlisted() bool {
	return len(l.settled) > len(l.list.Settled())
}

// runs reports whether the latest list has a run at work.
func (l *loop) runs(id run.ID) bool { return runs(l.list, id) }

func runs(list run.List, id run.ID) bool {
	return slices.ContainsFunc(list.Running(), func(r run.Running) bool { return r.ID() == id })
}

func (l *loop) unacknowledged() bool {
	n := len(l.list.Finished())
	return n > 0 && l.list.Finished()[n-1].Number() > l.hold.Acknowledged()
}

// poll asks for a list if one is due. It does not wait at the worker while ends are not acknowledged.
func (l *loop) poll(ctx context.Context, now time.Time) {
	if l.look && l.listing && l.cancel != nil {
		l.cancel()
	}
	wait, due := l.nextPoll(now)
	if !due || wait > 0 {
		return
	}
	l.listing = true
	patience := listWait
	if l.look || l.unacknowledged() {
		patience = 0
	}
	l.look = false
	hold, fence := l.hold, l.fence
	ctx, l.cancel = context.WithTimeout(ctx, callTimeout+patience)
	cancel := l.cancel
	go func() {
		defer cancel()
		list, err := l.worker.List(ctx, hold.Incarnation(), fence, hold.Lease(), hold.Acknowledged(), patience)
		l.tell(context.WithoutCancel(ctx), listedInput{life: hold.Incarnation(), list: list, asked: now, err: err})
	}()
}

// listed takes a list and reports it.
func (l *loop) listed(now time.Time, in listedInput) {
	l.listing = false
	if in.life != l.life {
		return
	}
	if in.err != nil {
		l.look = true
		l.nextList = now
		if !errors.Is(in.err, context.Canceled) {
			l.logger.Info("worker does not list", "error", in.err)
			l.nextList = now.Add(callPause)
		}
		return
	}
	var settled []run.ID
	for id, at := range l.settled {
		if now.Sub(at) > keepSettled {
			delete(l.settled, id)
			continue
		}
		if at.Before(in.asked) {
			settled = append(settled, id)
		}
	}
	list := run.NewList(in.list.Incarnation(), in.list.FencingToken(), in.list.Clock(), in.list.Running(), in.list.Finished(), settled)
	for id := range l.paces {
		if !runs(list, id) {
			delete(l.paces, id)
		}
	}
	changed := !sameList(l.list, list)
	l.list = list
	if l.unacknowledged() {
		l.nextList = now.Add(listPause)
	} else {
		l.nextList = now
	}
	if changed || l.resend || l.news(now, list) {
		l.resend = false
		l.tellProgress(now, list)
		l.send(run.NewReport(l.name).WithList(list))
	}
}

// sameList reports whether a list tells a leader nothing new but the time.
func sameList(a, b run.List) bool {
	if a.Incarnation() != b.Incarnation() || a.FencingToken() != b.FencingToken() || len(a.Running()) != len(b.Running()) ||
		len(a.Finished()) != len(b.Finished()) || len(a.Settled()) != len(b.Settled()) {
		return false
	}
	for i, r := range a.Running() {
		if r.ID() != b.Running()[i].ID() || r.Checkpoint() != b.Running()[i].Checkpoint() {
			return false
		}
	}
	for i, f := range a.Finished() {
		if f.Number() != b.Finished()[i].Number() {
			return false
		}
	}
	return true
}

// send queues a report; while there is no session, the next one begins with a list.
func (l *loop) send(r run.Report) {
	select {
	case l.reports <- r:
	default:
		l.logger.Warn("report dropped", "queued", len(l.reports))
		l.look = true
	}
}
