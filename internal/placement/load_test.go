package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

// class is a kind of job of a generated load.
type class struct {
	queue       string
	rate        float64 // jobs a second
	width       float64
	widest      int
	length      time.Duration
	millicores  int
	memoryMB    int
	shapes      []int // accelerators of each task
	gang        bool
	tight       float64 // share
	checkpoints float64 // share
	misjudged   float64 // how far declared times are off
	worth       float64
	late        float64
}

// mill is the load of a mill: checks of vats, previews, and wide scans with badly declared times.
func mill() []class {
	shapes := []int{1, 2, 4, 8, 8}
	return []class{
		{queue: patient, rate: 0.325, width: 1.5, widest: 9, length: 11 * time.Second, millicores: 52_000, memoryMB: 110_000, shapes: shapes, gang: true, tight: 0.6, checkpoints: 0.45, misjudged: 0.2, worth: 3, late: 0.9},
		{queue: urgent, rate: 0.466, width: 3.4, widest: 21, length: 2500 * time.Millisecond, millicores: 15_000, memoryMB: 31_000, shapes: shapes, gang: true, tight: 0.8, misjudged: 0.2, worth: 4, late: 0.8},
		{queue: scans, rate: 0.196, width: 9.2, widest: 55, length: 7600 * time.Millisecond, millicores: 11_000, memoryMB: 16_000, shapes: []int{1}, checkpoints: 0.45, misjudged: 0.9, worth: 1, late: 0.3},
	}
}

// trouble is what happens to a generated load.
type trouble struct {
	burst    map[string]float64 // factor of a queue's rate during burstFrom to burstTo
	darkness bool               // all workers lose power at darkFrom
}

const (
	burstFrom, burstTo = 8 * time.Second, 14 * time.Second
	darkFrom, darkTo   = 35 * time.Second, 41 * time.Second
	trafficEnds        = 50 * time.Second
	dayEnds            = 64 * time.Second
	tick               = 50 * time.Millisecond
	stopTakes          = 300 * time.Millisecond
	racked             = 3
	hosts              = 11
	catchUp            = 600 * time.Millisecond
)

// day plays a load in virtual time.
type day struct {
	*world
	random   *rand.Rand
	classes  map[string]class
	actual   map[batch.TaskID]time.Duration // work left
	lengths  map[batch.TaskID]time.Duration // all work
	works    map[string]time.Duration       // of a job's task, by job
	shown    map[placement.StepKey]time.Duration
	ends     map[run.ID]time.Time
	stopping map[run.ID]bool
	sent     map[string]time.Time
	begun    map[string]time.Time
	wasted   float64 // core-seconds
	used     float64 // accelerator-seconds
}

func newDay(t *testing.T, seed uint64) *day {
	d := &day{
		world: newWorld(t), random: rand.New(rand.NewPCG(seed, 1)), classes: map[string]class{},
		actual: map[batch.TaskID]time.Duration{}, lengths: map[batch.TaskID]time.Duration{}, works: map[string]time.Duration{},
		shown: map[placement.StepKey]time.Duration{}, ends: map[run.ID]time.Time{}, stopping: map[run.ID]bool{},
		sent: map[string]time.Time{}, begun: map[string]time.Time{},
	}
	d.workers = nil
	for i := range hosts {
		rack := fmt.Sprintf("r%d", i/racked)
		d.workers = append(d.workers, placement.NewWorker(run.NewAnnouncement(life(i), "s", "z", 1).
			WithRack(rack, []string{"a", rack}).WithCapacity(batch.NewResources(128_000, 262_144, 8)), false))
	}
	return d
}

// spread returns a lognormal sample with the given mean.
func (d *day) spread(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*d.random.NormFloat64()-sigma*sigma/2)
}

func (d *day) arrive(c class) {
	id := fmt.Sprintf("%s-%d", c.queue, len(d.sent))
	shape := c.shapes[d.random.IntN(len(c.shapes))]
	count := min(max(int(math.Round(d.spread(c.width, 0.8))), 1), c.widest, hosts*8/shape)
	// Tasks that fill a worker run one by one.
	gang := c.gang && shape < 8
	tight := gang && d.random.Float64() < c.tight
	if tight {
		count = min(count, racked*8/shape)
	}
	work := time.Duration(d.spread(float64(c.length), 0.3))
	declared := time.Duration(float64(work) * math.Exp(c.misjudged*d.random.NormFloat64()))
	d.classes[id] = c
	d.sent[id] = d.now
	d.submit(id, c.queue, []string{"a", "b"}[d.random.IntN(2)], batch.NewStep(count, batch.NewResources(c.millicores, c.memoryMB, shape), declared,
		batch.WithGang(gang, tight), batch.WithCheckpoints(d.random.Float64() < c.checkpoints)))
	for i := range count {
		task := batch.NewTaskID(id, 0, 0, i)
		d.actual[task] = time.Duration(float64(work) * (1 + 0.15*d.random.Float64()))
		d.lengths[task] = d.actual[task]
		d.works[id] = max(d.works[id], d.actual[task])
	}
}

// play runs the day.
func (d *day) play(classes []class, tr trouble) {
	start := d.now
	for d.now.Sub(start) < dayEnds {
		at := d.now.Sub(start)
		for _, c := range classes {
			rate := c.rate
			if f := tr.burst[c.queue]; f > 0 && at >= burstFrom && at < burstTo {
				rate *= f
			}
			if at < trafficEnds && d.random.Float64() < rate*tick.Seconds() {
				d.arrive(c)
			}
		}
		dark := tr.darkness && at >= darkFrom && at < darkTo
		if dark && at < darkFrom+tick {
			d.darken()
		}
		d.finish()
		if !dark {
			d.step()
		}
		d.pass(tick)
	}
}

func (d *day) step() {
	p := placement.Decide(placement.NewView(d.now, d.state, d.workers, d.stopping, far).WithForecast(d.forecast()))
	for _, id := range p.Stops() {
		d.stop(id)
	}
	if len(p.Groups()) == 0 {
		return
	}
	d.apply(batch.NewPlaceRuns(d.now, p.Groups()...))
	d.assertCapacityOf(262_144)
	for _, g := range p.Groups() {
		for _, m := range g.Members() {
			d.ends[run.NewID(g.Task(m), m.Run())] = d.now.Add(d.actual[g.Task(m)])
		}
		id := g.Step().Job()
		if _, known := d.begun[id]; !known {
			d.begun[id] = d.now
		}
	}
}

// shownAfter is how long a run takes to show its rate.
const shownAfter = 1200 * time.Millisecond

// forecast returns what the running tasks have shown.
func (d *day) forecast() placement.Forecast {
	ends := map[run.ID]time.Time{}
	for id, at := range d.ends {
		j, _ := d.state.Job(id.Task().Job())
		t, _ := j.Task(id.Task())
		if d.stopping[id] || d.now.Sub(t.PhaseSince()) < shownAfter {
			continue
		}
		ends[id] = at
		key := placement.NewStepKey(id.Task())
		if length := d.lengths[id.Task()]; d.shown[key] == 0 || length < d.shown[key] {
			d.shown[key] = length
		}
	}
	return placement.NewForecast(ends, d.shown)
}

// stop ends a run, and all of its gang, after a while.
func (d *day) stop(id run.ID) {
	j, _ := d.state.Job(id.Task().Job())
	for n, t := range j.Tasks(0, 0) {
		member := run.NewID(batch.NewTaskID(id.Task().Job(), 0, 0, n), t.Run())
		if t.Phase() == batch.Placed && (member == id || j.Spec().Steps()[0].Gang()) && !d.stopping[member] {
			d.stopping[member] = true
			d.ends[member] = d.now.Add(stopTakes)
		}
	}
}

func (d *day) darken() {
	for id := range d.ends {
		d.stopping[id] = true
		d.ends[id] = d.now
	}
}

// finish ends the runs whose time has come.
func (d *day) finish() {
	var due []run.ID
	for id, at := range d.ends {
		if !at.After(d.now) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b run.ID) int { return cmpText(a.Task().String(), b.Task().String()) })
	for _, id := range due {
		j, _ := d.state.Job(id.Task().Job())
		t, _ := j.Task(id.Task())
		step := j.Spec().Steps()[0]
		how := batch.Done
		if d.stopping[id] {
			how = batch.Stopped
			d.interrupt(id, d.now.Sub(t.PhaseSince()), step)
		}
		d.used += d.now.Sub(t.PhaseSince()).Seconds() * float64(step.Resources().Accelerators())
		d.apply(batch.NewEndRuns(d.now, batch.NewEnd(id.Task(), id.Run(), how, "")))
		delete(d.ends, id)
		delete(d.stopping, id)
	}
}

func (d *day) interrupt(id run.ID, ran time.Duration, step batch.Step) {
	if step.Checkpoints() {
		d.actual[id.Task()] = max(d.actual[id.Task()]-ran, 0) + catchUp
		return
	}
	d.wasted += ran.Seconds() * step.Resources().CoreEquivalents()
}

func cmpText(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func (d *day) assertCapacityOf(memoryMB int) {
	d.t.Helper()
	used := map[batch.Incarnation]batch.Resources{}
	for _, j := range d.state.Jobs().All() {
		for _, t := range j.Tasks(0, 0) {
			if t.Phase() == batch.Placed {
				used[t.Worker()] = used[t.Worker()].Plus(j.Spec().Steps()[0].Resources())
			}
		}
	}
	for l, u := range used {
		require.True(d.t, u.Fits(batch.NewResources(128_000, memoryMB, 8)), "worker %s has %+v", l.ID(), u)
	}
}

// waves returns in how many turns a step runs on a quarter of all workers.
func (d *day) waves(s batch.Step) int {
	if s.Gang() {
		return 1
	}
	room := max(hosts*8/s.Resources().Accelerators()/4, 1)
	return (s.Count() + room - 1) / room
}

// wasteWorth is what a core-second of wasted work costs in worth.
const wasteWorth = 0.0019

// worth returns the credit of a day as a share of what was possible, less the price of wasted work.
func (d *day) worth() (share float64, byQueue map[string]float64) {
	earned, owed := map[string]float64{}, map[string]float64{}
	sizes, counts := map[string]float64{}, map[string]float64{}
	size := func(j *batch.Job) float64 {
		s := j.Spec().Steps()[0]
		return float64(s.Count()) * s.Resources().CoreEquivalents()
	}
	for id, c := range d.classes {
		j, _ := d.state.Job(id)
		sizes[c.queue] += size(j)
		counts[c.queue]++
	}
	var all, best float64
	for id, c := range d.classes {
		j, _ := d.state.Job(id)
		weight := min(0.3+0.7*size(j)*counts[c.queue]/sizes[c.queue], 4)
		q := d.state.CurrentQueue(j)
		objective := q.Objective(d.works[id] * time.Duration(d.waves(j.Spec().Steps()[0])))
		took := j.EndedAt().Sub(d.sent[id])
		credit := 0.0
		switch {
		case j.State() == batch.Completed && took <= objective:
			credit = c.worth
		case j.State() == batch.Completed && took <= 3*objective:
			credit = c.late
		case j.Active() && d.sent[id].Add(objective).After(d.now):
			continue // not owed yet
		}
		earned[c.queue] += weight * credit
		owed[c.queue] += weight * c.worth
		all += weight * credit
		best += weight * c.worth
	}
	byQueue = map[string]float64{}
	for q := range owed {
		byQueue[q] = earned[q] / owed[q]
	}
	return (all - wasteWorth*d.wasted) / best, byQueue
}

// Guards against a policy that serves less of a day than the one before it. The bound is what users were told: half of
// the credit on the heaviest days.
func TestWorthOfDays(t *testing.T) {
	const days = 12
	for name, tr := range map[string]trouble{
		"calm":             {},
		"burst of urgent":  {burst: map[string]float64{urgent: 2.3}},
		"burst of large":   {burst: map[string]float64{patient: 2.3, scans: 2.3}},
		"power loss":       {darkness: true},
		"burst and losses": {burst: map[string]float64{urgent: 2.2}, darkness: true},
	} {
		t.Run(name, func(t *testing.T) {
			sum, wasted, used := 0.0, 0.0, 0.0
			queues := map[string]float64{}
			for seed := range uint64(days) {
				d := newDay(t, seed)
				d.play(mill(), tr)
				w, by := d.worth()
				sum += w
				wasted += d.wasted
				used += d.used
				for q, v := range by {
					queues[q] += v / days
				}
			}
			t.Logf("worth %.3f, urgent %.3f, patient %.3f, scans %.3f, wasted %.0f core-seconds, accelerators in use %.2f",
				sum/days, queues[urgent], queues[patient], queues[scans], wasted/days, used/days/(hosts*8*dayEnds.Seconds()))
			assert.Greater(t, sum/days, 0.5)
		})
	}
}
