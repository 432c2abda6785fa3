package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/speed"
)

// imageStep returns a step of the given tasks of an image, with cores and accelerators each.
func imageStep(count, accelerators int, image string, opts ...batch.StepOption) batch.Step {
	return batch.NewStep(count, gpus(accelerators), time.Second, append(opts, batch.WithImage(image, 0))...)
}

// decideApart decides like fixture.decide, with image a slowed down beside b.
func (f *fixture) decideApart() placement.Plan {
	f.t.Helper()
	f.slowdowns = speed.NewSlowdowns("s", "a", map[string]float64{"b": 2})
	return f.decide()
}

// Guards against tasks that are put beside what slows them down while another worker of the rack is free, and against any
// other effect of a pair. Load: a task on worker 0, and then one or two steps with room on some of six workers in three racks.
func TestImagesApart(t *testing.T) {
	for name, c := range map[string]struct {
		neighbour string
		step      batch.Step
		want      map[int]int
		keptApart int
	}{
		"slowed down by it":   {"b", imageStep(1, 2, "a"), map[int]int{1: 1}, 1},
		"slows it down":       {"a", imageStep(1, 2, "b"), map[int]int{1: 1}, 1},
		"no pair":             {"c", imageStep(1, 2, "a"), map[int]int{0: 1}, 0},
		"no image":            {"b", gang(1, 2, time.Second), map[int]int{0: 1}, 0},
		"no room in the rack": {"b", imageStep(6, 2, "a"), map[int]int{0: 2, 1: 4}, 1},
		"a gang":              {"b", imageStep(2, 2, "a", batch.WithGang(true, true)), map[int]int{1: 2}, 1},
		"a loose gang":        {"b", imageStep(2, 2, "a", batch.WithGang(true, false)), map[int]int{1: 2}, 1},
		"a gang without room": {"b", imageStep(3, 4, "a", batch.WithGang(true, true)), map[int]int{0: 1, 1: 2}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.submit("first", patient, "a", imageStep(1, 4, c.neighbour))
			f.decide()
			assertWorkers(t, f, "first", map[int]int{0: 1})
			f.submit("second", patient, "a", c.step)
			p := f.decideApart()
			assertWorkers(t, f, "second", c.want)
			assert.Equal(t, c.keptApart, p.KeptApart())
		})
	}
}

// Guards against a wait for a worker without a disturbing image. Load: image b on every worker, then tasks or a gang of
// image a that fill what is left.
func TestImagesDoNotWait(t *testing.T) {
	for name, step := range map[string]batch.Step{
		"tasks":      imageStep(6, 4, "a"),
		"gang":       imageStep(2, 4, "a", batch.WithGang(true, true)),
		"loose gang": imageStep(6, 4, "a", batch.WithGang(true, false)),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.submit("first", patient, "a", imageStep(6, 4, "b", batch.WithMaxPerWorker(1)))
			f.decide()
			f.submit("second", patient, "a", step)
			p := f.decideApart()
			f.assertPlaced("second", step.Count())
			assert.Zero(t, p.KeptApart())
			assert.Empty(t, p.Waits())
		})
	}
}

// Guards against a task that moves to another rack, where it would take the headroom of urgent work, because of a neighbour.
// Load: image b on both workers of one rack, two empty racks, then a task of image a.
func TestImagesApartWithinTheRack(t *testing.T) {
	f := newFixture(t)
	f.submit("first", patient, "a", imageStep(2, 4, "b", batch.WithMaxPerWorker(1)))
	f.decide()
	assertWorkers(t, f, "first", map[int]int{0: 1, 1: 1})
	f.submit("second", patient, "a", imageStep(1, 2, "a"))
	p := f.decideApart()
	assertWorkers(t, f, "second", map[int]int{0: 1})
	assert.Zero(t, p.KeptApart())
}

// Guards against neighbours that go before quarantine, avoided workers or speed. Load: image b on worker 0, and the other
// worker of its rack is suspect, in quarantine or slow.
func TestImagesApartComeLast(t *testing.T) {
	for name, change := range map[string]func(f *fixture){
		"suspect":       func(f *fixture) { f.workers[1] = newWorker(1, true) },
		"in quarantine": func(f *fixture) { f.workers[1] = newWorker(1, false).WithQuarantine(true) },
		"slow":          func(f *fixture) { f.setSpeeds(1, slowSpeed, slowSpeed, slowSpeed, slowSpeed, slowSpeed) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.submit("first", patient, "a", imageStep(1, 4, "b"))
			f.decide()
			change(f)
			f.submit("second", urgent, "a", imageStep(1, 2, "a"))
			f.submit("third", urgent, "a", imageStep(1, 2, "a", batch.WithGang(true, true)))
			f.decideApart()
			assertWorkers(t, f, "second", map[int]int{0: 1})
			assertWorkers(t, f, "third", map[int]int{0: 1})
		})
	}
}
