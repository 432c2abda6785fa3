package dispatch

import (
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// rateWindow is the least duration over which the rate of a run is computed, once the run has lasted that long.
	rateWindow = time.Second
	// minRateWindow is the least duration over which a rate is computed at all.
	minRateWindow = 300 * time.Millisecond
	// fullProgress is the progress of a complete run, in percent.
	fullProgress = 100
)

// sample is the progress of a run at a time, in percent.
type sample struct {
	at      time.Time
	percent int
}

// progress is the reported progress of a run.
type progress struct {
	samples []sample
	first   int       // the percentage in the first report, above 0 for a resumed run
	movedAt time.Time // time of the report that first had the latest percentage
	window  window
}

// addSample adds a sample and drops those that the rate window does not need.
func (p *progress) addSample(now time.Time, percent int) {
	if len(p.samples) == 0 {
		p.first = percent
	}
	if len(p.samples) == 0 || p.samples[len(p.samples)-1].percent != percent {
		p.movedAt = now
	}
	p.samples = append(p.samples, sample{now, percent})
	p.window.add(sample{now, percent}, p.first)
	for len(p.samples) > 2 && now.Sub(p.samples[1].at) >= rateWindow {
		p.samples = p.samples[1:]
	}
}

// percent returns the latest reported progress, 0 to 100.
func (p *progress) percent() int { return p.samples[len(p.samples)-1].percent }

// awaitsStart reports whether the run has made no progress of its own yet and is not complete.
func (p *progress) awaitsStart() bool { return p.percent() == p.first && p.first < fullProgress }

// rate returns the progress of the run in percent per second; ok is false if the samples span less than
// minRateWindow.
func (p *progress) rate() (perSecond float64, ok bool) {
	first, last := p.samples[0], p.samples[len(p.samples)-1]
	passed := last.at.Sub(first.at)
	if passed < minRateWindow {
		return 0, false
	}
	return float64(last.percent-first.percent) / passed.Seconds(), true
}

// expectedEnd returns the expected end of the run; ok is false if its rate is unknown or zero.
func (p *progress) expectedEnd() (at time.Time, ok bool) {
	rate, ok := p.rate()
	if !ok || rate <= 0 {
		return at, false
	}
	last := p.samples[len(p.samples)-1]
	return last.at.Add(time.Duration(float64(fullProgress-last.percent) / rate * float64(time.Second))), true
}

// duration returns the duration of the whole run at its current rate.
func (p *progress) duration() (d time.Duration, ok bool) {
	rate, ok := p.rate()
	if !ok || rate <= 0 {
		return 0, false
	}
	return time.Duration(fullProgress / rate * float64(time.Second)), true
}

// stalledSince returns the time since which the run has made no progress; ok is false if the latest sample shows
// progress. The agent reports a stalled run as soon as it progresses again.
func (p *progress) stalledSince() (since time.Time, ok bool) {
	return p.movedAt, p.movedAt.Before(p.samples[len(p.samples)-1].at)
}

// observeProgress records the progress of the runs in a list; slowStart reports whether its worker is still slow after its
// start.
func (c *Core) observeProgress(now time.Time, l run.List, slowStart bool) {
	for _, r := range l.Running() {
		p, known := c.progress[r.ID()]
		if !known {
			p = &progress{}
			c.progress[r.ID()] = p
		}
		p.addSample(now, r.Percent())
		if slowStart {
			// What a worker does while it is still slow after its start does not show its speed.
			p.window = window{}
		}
		c.listed = append(c.listed, r.ID())
		if d, ok := p.duration(); ok {
			c.recordDuration(r.ID().Task(), d)
		}
	}
}

// recordDuration records the duration of a task of a step: that on a normal worker where workers are known to differ, and
// else the shortest one, because longer ones come from slow workers.
func (c *Core) recordDuration(id batch.TaskID, d time.Duration) {
	key := placement.NewStepKey(id)
	if normal, ok := c.speeds.Duration(id.Job(), id.Step()); ok {
		c.durations[key] = normal
		return
	}
	if old, known := c.durations[key]; !known || d < old {
		c.durations[key] = d
	}
}

const (
	// stallTime is the time without progress after which a run can count as stalled. A run that resumes needs about half
	// of it to load its checkpoint.
	stallTime = 1500 * time.Millisecond
	// stallPercent is the progress, in percent, that a run must have been expected to make meanwhile to count as stalled.
	stallPercent = 8
	// slowRatio is the speed, relative to a normal worker, below which a worker is used only if no other fits.
	slowRatio = 0.35
)

// stalled returns for how long a run has been stalled, or 0. A run can be stalled only once a run of its step has
// made progress, and a gang member only after its own first progress, and from the time when all members are complete
// if it is complete, because members wait for each other at the start and at the end.
func (c *Core) stalled(now time.Time, id run.ID, step batch.Step) time.Duration {
	p, listed := c.progress[id]
	duration, observed := c.durations[placement.NewStepKey(id.Task())]
	if !listed || !observed || step.LongRunning() || step.Gang() && p.awaitsStart() {
		return 0
	}
	since, ok := p.stalledSince()
	if ok && step.Gang() && p.percent() == fullProgress {
		since, ok = c.allComplete(id, step)
	}
	if !ok {
		return 0
	}
	stalledFor := now.Sub(since)
	if stalledFor < stallTime || fullProgress*stalledFor.Seconds()/duration.Seconds() < stallPercent {
		return 0
	}
	return stalledFor
}

// allComplete reports whether all members of a gang are complete, as far as the reports show, and since when.
func (c *Core) allComplete(id run.ID, step batch.Step) (since time.Time, ok bool) {
	task := id.Task()
	for n := range step.Count() {
		member := run.NewID(batch.NewTaskID(task.Job(), task.Occurrence(), task.Step(), n), id.Run())
		p, listed := c.progress[member]
		if !listed || p.percent() < fullProgress {
			return since, false
		}
		since = latest(since, p.movedAt)
	}
	return since, true
}

// taskDuration returns the observed duration of a task of a step, or the declared one if none was observed.
func (c *Core) taskDuration(id batch.TaskID, step batch.Step) time.Duration {
	if d, observed := c.durations[placement.NewStepKey(id)]; observed {
		return d
	}
	return max(step.Estimate(), time.Millisecond)
}

// stallReason returns why a stalled run has to restart elsewhere, or an empty string. The run restarts once it has
// been stalled for as long as it takes to repeat the lost work, so that waiting costs at most twice the optimum.
func (c *Core) stallReason(now time.Time, id run.ID, step batch.Step) string {
	stalledFor := c.stalled(now, id, step)
	if stalledFor == 0 {
		return ""
	}
	lost := time.Duration(float64(c.taskDuration(id.Task(), step)) * float64(c.progress[id].percent()) / fullProgress)
	if step.Checkpoints() {
		lost = min(lost, stallTime)
	}
	if stalledFor < lost {
		return ""
	}
	return fmt.Sprintf("the run is stalled at %d percent", c.progress[id].percent())
}

// stalledHosts returns the hosts with a stalled run.
func (c *Core) stalledHosts(now time.Time, s batch.State) map[string]bool {
	stalled := map[string]bool{}
	for id := range c.progress {
		j, known := s.Job(id.Task().Job())
		if !known {
			continue
		}
		t, _ := j.Task(id.Task())
		if t.Phase() != batch.Placed || t.Run() != id.Run() {
			continue
		}
		if c.stalled(now, id, j.Spec().Steps()[id.Task().Step()]) > 0 {
			stalled[t.Worker().Host()] = true
		}
	}
	return stalled
}

// forecast returns the expected ends of runs, the observed durations of steps, and the long-running tasks that are
// working.
func (c *Core) forecast(now time.Time, s batch.State) placement.Forecast {
	ends, working := make(map[run.ID]time.Time, len(c.progress)), map[run.ID]bool{}
	for id, p := range c.progress {
		j, known := s.Job(id.Task().Job())
		if !known {
			continue
		}
		if j.Spec().Steps()[id.Task().Step()].LongRunning() {
			working[id] = c.isServing(id)
			continue
		}
		if at, ok := p.expectedEnd(); ok {
			ends[id] = latest(at, now)
		}
	}
	return placement.NewForecast(ends, c.durations).WithServing(working)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
