package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// rateWindow is the least time over which the rate of a run is measured, once it has run that long.
	rateWindow = time.Second
	// leastWindow is the least time between two samples of a rate.
	leastWindow = 300 * time.Millisecond
	// whole is the progress of a run at its end, in percent.
	whole = 100
)

// sample is how far a run was at a time, in percent.
type sample struct {
	at      time.Time
	percent int
}

// progress is how far a run has come, by its worker's lists.
type progress struct {
	samples []sample
	moved   time.Time // when the latest percent was first told
}

// observe takes a sample and drops those that are older than the window asks for.
func (p *progress) observe(now time.Time, percent int) {
	if len(p.samples) == 0 || p.samples[len(p.samples)-1].percent != percent {
		p.moved = now
	}
	p.samples = append(p.samples, sample{now, percent})
	for len(p.samples) > 2 && now.Sub(p.samples[1].at) >= rateWindow {
		p.samples = p.samples[1:]
	}
}

// percent returns how far the run is.
func (p *progress) percent() int { return p.samples[len(p.samples)-1].percent }

// rate returns the percent that the run does in a second; it is known after two samples.
func (p *progress) rate() (perSecond float64, ok bool) {
	first, last := p.samples[0], p.samples[len(p.samples)-1]
	passed := last.at.Sub(first.at)
	if passed < leastWindow {
		return 0, false
	}
	return float64(last.percent-first.percent) / passed.Seconds(), true
}

// ends returns when the run is expected to end; one that stands still has no such time.
func (p *progress) ends() (at time.Time, ok bool) {
	rate, ok := p.rate()
	if !ok || rate <= 0 {
		return at, false
	}
	last := p.samples[len(p.samples)-1]
	return last.at.Add(time.Duration(float64(whole-last.percent) / rate * float64(time.Second))), true
}

// length returns how long the whole run takes at its rate.
func (p *progress) length() (d time.Duration, ok bool) {
	rate, ok := p.rate()
	if !ok || rate <= 0 {
		return 0, false
	}
	return time.Duration(whole / rate * float64(time.Second)), true
}

// still returns since when the run has not moved, if it has not between the latest two samples; the agent reports a run
// that stands still as soon as it moves.
func (p *progress) still() (since time.Time, ok bool) {
	return p.moved, p.moved.Before(p.samples[len(p.samples)-1].at)
}

// observe takes the progress that a list tells.
func (c *Core) observe(now time.Time, l run.List) {
	for _, r := range l.Running() {
		p, known := c.progress[r.ID()]
		if !known {
			p = &progress{}
			c.progress[r.ID()] = p
		}
		p.observe(now, r.Percent())
		if d, ok := p.length(); ok {
			c.learn(r.ID().Task(), d)
		}
	}
}

// learn notes how long a task of a step took, of which the shortest counts: the others were on slow workers.
func (c *Core) learn(id batch.TaskID, took time.Duration) {
	key := placement.NewStepKey(id)
	if old, known := c.lengths[key]; !known || took < old {
		c.lengths[key] = took
	}
}

const (
	// stallTime is how long a run does not move until its worker counts as standing still; a run that resumes takes about
	// half of that to load its checkpoint.
	stallTime = 1500 * time.Millisecond
	// stallShare is how much of a run, in percent, must have been expected to be done meanwhile.
	stallShare = 8
	// slowShare is the part of the expected rate below which a worker counts as slow.
	slowShare = 0.35
)

// stalled returns how long a run stands still that should have moved, or 0. That is known once a run of its step has
// moved; the members of a gang wait for each other at first.
func (c *Core) stalled(now time.Time, id run.ID, step batch.Step) time.Duration {
	p, listed := c.progress[id]
	length, shown := c.lengths[placement.NewStepKey(id.Task())]
	if !listed || !shown || step.LongRunning() || step.Gang() && p.percent() == 0 {
		return 0
	}
	since, ok := p.still()
	if !ok {
		return 0
	}
	stood := now.Sub(since)
	if stood < stallTime || whole*stood.Seconds()/length.Seconds() < stallShare {
		return 0
	}
	return stood
}

// slow reports whether a run does far less in a second than others of its step, or than declared.
func (c *Core) slow(id run.ID, step batch.Step) bool {
	p, known := c.progress[id]
	if !known || step.LongRunning() {
		return false
	}
	rate, ok := p.rate()
	return ok && rate > 0 && rate < slowShare*whole/c.length(id.Task(), step).Seconds()
}

// length returns how long a task of a step takes, as shown or else as declared.
func (c *Core) length(id batch.TaskID, step batch.Step) time.Duration {
	if d, shown := c.lengths[placement.NewStepKey(id)]; shown {
		return d
	}
	return max(step.Estimate(), time.Millisecond)
}

// moveOn returns why a run should begin anew elsewhere, or an empty string: it has stood still for as long as the work
// takes that is lost with it, so that waiting on costs at most twice what was best.
func (c *Core) moveOn(now time.Time, id run.ID, step batch.Step) string {
	stood := c.stalled(now, id, step)
	if stood == 0 {
		return ""
	}
	done := time.Duration(float64(c.length(id.Task(), step)) * float64(c.progress[id].percent()) / whole)
	if step.Checkpoints() {
		done = min(done, stallTime)
	}
	if stood < done {
		return ""
	}
	return "it stands still"
}

// ailing returns the hosts on which a run stands still, and those on which one is slow.
func (c *Core) ailing(now time.Time, s batch.State) (still, slow map[string]bool) {
	still, slow = map[string]bool{}, map[string]bool{}
	for id := range c.progress {
		j, known := s.Job(id.Task().Job())
		if !known {
			continue
		}
		t, _ := j.Task(id.Task())
		if t.Phase() != batch.Placed || t.Run() != id.Run() {
			continue
		}
		step := j.Spec().Steps()[id.Task().Step()]
		if c.stalled(now, id, step) > 0 {
			still[t.Worker().Host()] = true
		}
		if c.slow(id, step) {
			slow[t.Worker().Host()] = true
		}
	}
	return still, slow
}

// forecast returns what is known of the runs and steps that live.
func (c *Core) forecast(now time.Time, s batch.State) placement.Forecast {
	ends, working := make(map[run.ID]time.Time, len(c.progress)), map[run.ID]bool{}
	for id, p := range c.progress {
		j, known := s.Job(id.Task().Job())
		if !known {
			continue
		}
		if j.Spec().Steps()[id.Task().Step()].LongRunning() {
			working[id] = p.percent() == whole
			continue
		}
		if at, ok := p.ends(); ok {
			ends[id] = later(at, now)
		}
	}
	return placement.NewForecast(ends, c.lengths).WithWorking(working)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
