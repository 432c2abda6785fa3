package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/speed"
)

const (
	slowSpeed = 0.6
	fastSpeed = 1.6
)

// setSpeeds sets the speeds of the workers, in their order; 0 stands for an unknown worker.
func (f *fixture) setSpeeds(speeds ...float64) {
	estimates := map[batch.Incarnation]speed.Estimate{}
	for i, s := range speeds {
		if s > 0 {
			estimates[incarnation(i)] = speed.NewEstimate(s, 0.1, f.now)
		}
	}
	f.speeds = speed.NewEstimates(estimates)
}

// workersOf returns the number of placed tasks of a job's first occurrence by worker.
func (f *fixture) workersOf(id string) map[int]int {
	counts := map[int]int{}
	j, _ := f.state.Job(id)
	for i := range j.Spec().Steps() {
		for _, t := range j.Tasks(0, i).All() {
			for n := range f.workers {
				if t.Phase() == batch.Placed && t.Worker() == incarnation(n) {
					counts[n]++
				}
			}
		}
	}
	return counts
}

// looseGang returns a step that is a gang on any racks.
func looseGang(count, accelerators int, estimate time.Duration) batch.Step {
	return batch.NewStep(count, gpus(accelerators), estimate, batch.WithGang(true, false))
}

// assertWorkers asserts on which workers the tasks of a job were placed.
func assertWorkers(t *testing.T, f *fixture, id string, want map[int]int) {
	t.Helper()
	assert.Equal(t, want, f.workersOf(id))
}

// Guards against an urgent gang that is late because one member runs on a slow worker, while others are free. Half of the
// workers are slow, one in each rack.
func TestUrgentGangOnFastWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		step   batch.Step
		speeds []float64
		want   map[int]int
	}{
		"slow ones stay free":         {looseGang(3, 8, time.Second), []float64{slowSpeed, 1, slowSpeed, 1, slowSpeed, 1}, map[int]int{1: 1, 3: 1, 5: 1}},
		"on the fastest":              {looseGang(2, 4, time.Second), []float64{1, 1, 1, fastSpeed, 1, 1}, map[int]int{3: 2}},
		"by the slowest that it uses": {looseGang(4, 8, time.Second), []float64{fastSpeed, 1, slowSpeed, 1, 1, slowSpeed}, map[int]int{0: 1, 1: 1, 3: 1, 4: 1}},
		"packed on alike workers":     {looseGang(4, 2, time.Second), []float64{slowSpeed, 1, 1, 1, 1, 1}, map[int]int{1: 4}},
		"unknown workers are normal":  {looseGang(2, 8, time.Second), []float64{slowSpeed, 0, slowSpeed, slowSpeed, slowSpeed, fastSpeed}, map[int]int{1: 1, 5: 1}},
		"a tight one in one rack":     {gang(2, 8, time.Second), []float64{fastSpeed, slowSpeed, fastSpeed, slowSpeed, 1, 1}, map[int]int{4: 1, 5: 1}},
		"slow ones if it must":        {looseGang(6, 8, time.Second), []float64{slowSpeed, 1, 1, 1, 1, 1}, map[int]int{0: 1, 1: 1, 2: 1, 3: 1, 4: 1, 5: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.setSpeeds(c.speeds...)
			f.submit("urgent", urgent, "nobody", c.step)
			f.decide()
			assertWorkers(t, f, "urgent", c.want)
		})
	}
	t.Run("not on a fast one that has failed", func(t *testing.T) {
		f := newFixture(t)
		f.setSpeeds(fastSpeed, 1, slowSpeed, slowSpeed, slowSpeed, slowSpeed)
		f.workers[0] = newWorker(0, true)
		f.submit("urgent", urgent, "nobody", looseGang(1, 8, time.Second))
		f.decide()
		assertWorkers(t, f, "urgent", map[int]int{1: 1})
	})
}

// Guards against patient work that takes the fast workers on which urgent work would be in time: half of the workers are
// slow, and a wide patient step comes before an urgent gang.
func TestPatientWorkOnSlowWorkers(t *testing.T) {
	slowHalf := []float64{slowSpeed, 1, slowSpeed, 1, slowSpeed, 1}
	t.Run("tasks one by one", func(t *testing.T) {
		f := newFixture(t)
		f.setSpeeds(slowHalf...)
		f.submit("wide", scans, "a", batch.NewStep(24, gpus(1), 8*time.Second))
		f.decide()
		assertWorkers(t, f, "wide", map[int]int{0: 8, 2: 8, 4: 8})
		f.submit("urgent", urgent, "nobody", looseGang(3, 8, time.Second))
		f.decide()
		assertWorkers(t, f, "urgent", map[int]int{1: 1, 3: 1, 5: 1})
	})
	t.Run("gang", func(t *testing.T) {
		f := newFixture(t)
		f.setSpeeds(slowHalf...)
		f.submit("gang", patient, "a", looseGang(2, 8, 8*time.Second))
		f.decide()
		assert.Subset(t, []int{0, 2, 4}, keys(f.workersOf("gang")))
	})
	t.Run("not where it would be late", func(t *testing.T) {
		f := newFixture(t)
		f.setSpeeds(0.3, 1, 0.3, 1, 0.3, fastSpeed)
		f.submit("gang", patient, "a", looseGang(2, 8, 8*time.Second))
		f.decide()
		assertWorkers(t, f, "gang", map[int]int{1: 1, 3: 1})
	})
	t.Run("too slow ones if there are no others", func(t *testing.T) {
		f := newFixture(t)
		f.setSpeeds(0.3, 1, 0.3, 1, 0.3, fastSpeed)
		f.submit("wide", scans, "a", batch.NewStep(48, gpus(1), 8*time.Second))
		f.decide()
		f.assertPlaced("wide", 48)
	})
}

func keys(counts map[int]int) (list []int) {
	for n := range counts {
		list = append(list, n)
	}
	return list
}

// Guards against work that does not start though it fits, and against workers beyond their capacity, for any speeds.
func TestSpeedsNeverCostPlaces(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFixture(t)
		f.setSpeeds(rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0.2, slowSpeed, 1, fastSpeed, 3}), 6, 6).Draw(r, "speeds")...)
		queue := rapid.SampledFrom([]string{urgent, patient, scans}).Draw(r, "queue")
		accelerators := rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(r, "accelerators")
		count := rapid.IntRange(1, 6*8/accelerators).Draw(r, "count")
		step := batch.NewStep(count, gpus(accelerators), time.Second, batch.WithGang(rapid.Bool().Draw(r, "gang"), rapid.Bool().Draw(r, "tight")))
		f.submit("j", queue, "nobody", step)
		f.decide()
		f.assertPlaced("j", count)
		f.assertCapacity()
	})
}
