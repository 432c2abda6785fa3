package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

// checkpointed returns a step of single tasks with checkpoints.
func checkpointed(count, accelerators int, estimate time.Duration) batch.Step {
	return batch.NewStep(count, gpus(accelerators), estimate, batch.WithCheckpoints(true))
}

// decideWithEnds makes a decision in which the runs of a job are expected to end after the given times by their progress;
// the last one holds for all further tasks.
func (f *fixture) decideWithEnds(id string, after ...time.Duration) placement.Plan {
	f.t.Helper()
	return f.decideWithJobEnds(map[string][]time.Duration{id: after})
}

// decideWithJobEnds makes a decision like decideWithEnds with the ends of the runs of several jobs.
func (f *fixture) decideWithJobEnds(jobs map[string][]time.Duration) placement.Plan {
	f.t.Helper()
	ends := map[run.ID]time.Time{}
	for id, after := range jobs {
		j, _ := f.state.Job(id)
		for n, t := range j.Tasks(0, 0).All() {
			if t.Phase() == batch.Placed {
				ends[run.NewID(batch.NewTaskID(id, 0, 0, n), t.Run())] = f.now.Add(after[min(n, len(after)-1)])
			}
		}
	}
	return placement.Decide(placement.NewView(f.now, f.state, f.workers, f.stopped, remoteFactor).
		WithSpeeds(f.speeds).WithForecast(placement.NewForecast(ends, nil)))
}

// fill occupies all workers but those with the given indexes.
func (f *fixture) fill(free ...int) {
	f.t.Helper()
	isFree := map[int]bool{}
	for _, n := range free {
		isFree[n] = true
	}
	var members []batch.Member
	for n := range f.workers {
		if !isFree[n] {
			members = append(members, batch.NewMember(len(members), 1, incarnation(n)))
		}
	}
	f.submit("filler", patient, "nobody", batch.NewStep(len(members), gpus(8), time.Hour))
	f.apply(batch.NewPlaceRuns(f.now, batch.NewGroup(batch.NewTaskID("filler", 0, 0, 0), members...)))
}

// startOn submits a job and places its tasks on the workers with the given indexes.
func (f *fixture) startOn(id, queue string, step batch.Step, workers ...int) {
	f.t.Helper()
	f.submit(id, queue, "nobody", step)
	var members []batch.Member
	for n, w := range workers {
		members = append(members, batch.NewMember(n, 1, incarnation(w)))
	}
	f.apply(batch.NewPlaceRuns(f.now, batch.NewGroup(batch.NewTaskID(id, 0, 0, 0), members...)))
}

// Guards against runs with checkpoints that make their job late on a slow worker while a faster one is free, and against
// moves that gain nothing. The objective is 16 s.
func TestMoveFromSlowWorker(t *testing.T) {
	slowFirst := []float64{slowSpeed, 1, 1, 1, 1, fastSpeed}
	for name, c := range map[string]struct {
		speeds []float64
		free   []int // besides the worker of the run
		ends   time.Duration
		moves  int
	}{
		"to a faster one":                   {slowFirst, []int{5}, 15 * time.Second, 1},
		"in time where it is":               {slowFirst, []int{5}, 8 * time.Second, 0},
		"late either way":                   {slowFirst, []int{5}, 35 * time.Second, 0},
		"late for good, but within a bound": {slowFirst, []int{5}, 50 * time.Second, 1},
		"no faster one is free":             {slowFirst, nil, 15 * time.Second, 0},
		"long by itself on a normal one":    {[]float64{1, 1, 1, 1, 1, fastSpeed}, []int{5}, 15 * time.Second, 0},
		"speeds unknown":                    {nil, []int{5}, 15 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.setSpeeds(c.speeds...)
			f.startOn("j", patient, checkpointed(1, 8, 5*time.Second), 0)
			f.fill(append(c.free, 0)...)
			f.advance(4 * time.Second)
			assert.Len(t, f.decideWithEnds("j", c.ends).Moves(), c.moves)
		})
	}
	t.Run("not without checkpoints", func(t *testing.T) {
		f := newFixture(t)
		f.setSpeeds(slowFirst...)
		f.startOn("j", patient, batch.NewStep(1, gpus(8), 5*time.Second), 0)
		f.advance(4 * time.Second)
		assert.Empty(t, f.decideWithEnds("j", 15*time.Second).Moves())
	})
	t.Run("not while a task waits", func(t *testing.T) {
		f := newFixture(t)
		f.setSpeeds(slowFirst...)
		f.startOn("j", patient, checkpointed(1, 8, 5*time.Second), 0)
		f.fill(0, 5)
		f.submit("waits", patient, "nobody", batch.NewStep(2, gpus(8), time.Second))
		f.advance(4 * time.Second)
		assert.Empty(t, f.decideWithEnds("j", 15*time.Second).Moves())
	})
	t.Run("a few at a time", func(t *testing.T) {
		f := newFixture(t)
		f.setSpeeds(slowFirst...)
		f.startOn("j", patient, checkpointed(4, 2, 5*time.Second), 0, 0, 0, 0)
		f.advance(4 * time.Second)
		assert.Len(t, f.decideWithEnds("j", 15*time.Second).Moves(), 2)
	})
}

// Guards against a gang that is late because of one member on a slow worker, though it has just begun and fits elsewhere,
// and against a gang that loses its work.
func TestMoveOfGang(t *testing.T) {
	speeds := []float64{slowSpeed, 1, 1, fastSpeed, fastSpeed, 1}
	for name, c := range map[string]struct {
		step  batch.Step
		ran   time.Duration
		moves int
	}{
		"just begun":       {looseGang(2, 8, 8*time.Second), 500 * time.Millisecond, 2},
		"begun for long":   {looseGang(2, 8, 8*time.Second), 3 * time.Second, 0},
		"with checkpoints": {batch.NewStep(2, gpus(8), 8*time.Second, batch.WithGang(true, false), batch.WithCheckpoints(true)), 3 * time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.setSpeeds(speeds...)
			f.startOn("gang", urgent, c.step, 0, 1)
			f.advance(c.ran)
			assert.Len(t, f.decideWithEnds("gang", 13300*time.Millisecond-c.ran, 8*time.Second-c.ran).Moves(), c.moves)
		})
	}
}

// Guards against runs that are stopped for a free worker that another moved run takes, so that one of them waits.
func TestMovesHavePlacesOfTheirOwn(t *testing.T) {
	late := []time.Duration{15 * time.Second}
	newSlowPair := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.setSpeeds(slowSpeed, slowSpeed, 1, 1, 1, fastSpeed)
		f.startOn("first", patient, checkpointed(1, 8, 5*time.Second), 0)
		f.startOn("second", patient, checkpointed(1, 8, 5*time.Second), 1)
		f.fill(0, 1, 5)
		f.advance(4 * time.Second)
		return f
	}
	t.Run("in one decision", func(t *testing.T) {
		f := newSlowPair(t)
		p := f.decideWithJobEnds(map[string][]time.Duration{"first": late, "second": late})
		assert.Len(t, p.Moves(), 1)
	})
	t.Run("until the moved run has stopped", func(t *testing.T) {
		f := newSlowPair(t)
		f.stopMoved(f.decideWithEnds("first", late...), 1)
		f.advance(500 * time.Millisecond)
		assert.Empty(t, f.decideWithEnds("second", late...).Moves())
	})
	t.Run("while its worker is not known", func(t *testing.T) {
		f := newSlowPair(t)
		f.stopMoved(f.decideWithEnds("first", late...), 1)
		f.workers = f.workers[1:]
		assert.Empty(t, f.decideWithEnds("second", late...).Moves())
	})
	t.Run("until its task is placed again", func(t *testing.T) {
		f := newSlowPair(t)
		f.stopMoved(f.decideWithEnds("first", late...), 1)
		f.apply(batch.NewEndRuns(f.now, batch.NewEnd(batch.NewTaskID("first", 0, 0, 0), 1, batch.Stopped, "c")))
		f.workers = f.workers[1:] // so that the moved task has one worker to go to
		p := f.decideWithEnds("second", late...)
		assert.Len(t, p.Groups(), 1)
		assert.Empty(t, p.Moves())
	})
	t.Run("a place for each", func(t *testing.T) {
		f := newFixture(t)
		f.setSpeeds(slowSpeed, slowSpeed, 1, 1, fastSpeed, fastSpeed)
		f.startOn("first", patient, checkpointed(1, 8, 5*time.Second), 0)
		f.startOn("second", patient, checkpointed(1, 8, 5*time.Second), 1)
		f.fill(0, 1, 4, 5)
		f.advance(4 * time.Second)
		p := f.decideWithJobEnds(map[string][]time.Duration{"first": late, "second": late})
		assert.Len(t, p.Moves(), 2)
	})
}

// Guards against a move that stops work within a guarantee.
func TestGuaranteedWorkStays(t *testing.T) {
	for workspace, moves := range map[string]int{"a": 0, "nobody": 2} {
		t.Run("gang of workspace "+workspace, func(t *testing.T) {
			f := newFixture(t)
			f.setSpeeds(slowSpeed, 1, 1, fastSpeed, fastSpeed, 1)
			f.submit("gang", urgent, workspace, looseGang(2, 8, 8*time.Second))
			f.apply(batch.NewPlaceRuns(f.now, batch.NewGroup(batch.NewTaskID("gang", 0, 0, 0),
				batch.NewMember(0, 1, incarnation(0)), batch.NewMember(1, 1, incarnation(1)))))
			f.advance(500 * time.Millisecond)
			assert.Len(t, f.decideWithEnds("gang", 12800*time.Millisecond, 7500*time.Millisecond).Moves(), moves)
		})
	}
}

// Guards against a move of a run whose task then waits, since its start would take the headroom for urgent work.
func TestMoveLeavesHeadroom(t *testing.T) {
	for name, c := range map[string]struct {
		urgentBefore bool // the headroom is kept once there has been an urgent job
		free         []int
		moves        int
	}{
		"no headroom to keep":    {false, []int{0, 4, 5}, 1},
		"takes the headroom":     {true, []int{0, 4, 5}, 0},
		"headroom in other rack": {true, []int{0, 2, 3, 4, 5}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			if c.urgentBefore {
				f.submit("early", urgent, "nobody", batch.NewStep(1, gpus(1), time.Second))
				f.decide()
				f.end(batch.NewTaskID("early", 0, 0, 0), batch.Done)
			}
			f.setSpeeds(slowSpeed, 1, 1, 1, 1, fastSpeed)
			f.startOn("j", patient, checkpointed(1, 8, 20*time.Second), 0)
			f.fill(c.free...)
			f.startOn("beside", patient, batch.NewStep(1, gpus(4), time.Hour), 4)
			f.advance(4 * time.Second)
			f.stopMoved(f.decideWithEnds("j", 60*time.Second), c.moves)
			if c.moves == 0 {
				return
			}
			f.apply(batch.NewEndRuns(f.now, batch.NewEnd(batch.NewTaskID("j", 0, 0, 0), 1, batch.Stopped, "c")))
			f.decide()
			f.assertPlaced("j", 1)
		})
	}
}

// stopMoved records that the runs which a decision moves, of the given number, were ordered to stop.
func (f *fixture) stopMoved(p placement.Plan, want int) {
	f.t.Helper()
	require.Len(f.t, p.Moves(), want)
	for _, id := range p.Moves() {
		f.stopped[id] = true
	}
}
