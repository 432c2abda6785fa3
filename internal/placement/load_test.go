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

// jobClass describes one kind of job in a generated load.
type jobClass struct {
	queue          string
	rate           float64       // jobs per second
	meanWidth      float64       // tasks
	maxWidth       int           // tasks
	duration       time.Duration // mean of a task
	millicores     int
	memoryMB       int
	shapes         []int // accelerators of each task
	gang           bool
	tightlyCoupled float64 // share of the gangs
	checkpoints    float64 // share of the jobs
	estimateSigma  float64 // standard deviation of the logarithm of declared over true duration
	creditInTime   float64 // for a job that ends within its objective
	creditLate     float64 // for a job that ends within three times its objective
}

// millClasses returns the load of a mill: checks of vats on the patient queue, urgent previews, and wide scans whose
// declared durations are far off.
func millClasses() []jobClass {
	shapes := []int{1, 2, 4, 8, 8}
	return []jobClass{
		{
			queue: patient, rate: 0.325, meanWidth: 1.5, maxWidth: 9, duration: 11 * time.Second,
			millicores: 52_000, memoryMB: 110_000, shapes: shapes, gang: true, tightlyCoupled: 0.6, checkpoints: 0.45,
			estimateSigma: 0.2, creditInTime: 3, creditLate: 0.9,
		},
		{
			queue: urgent, rate: 0.466, meanWidth: 3.4, maxWidth: 21, duration: 2500 * time.Millisecond,
			millicores: 15_000, memoryMB: 31_000, shapes: shapes, gang: true, tightlyCoupled: 0.8,
			estimateSigma: 0.2, creditInTime: 4, creditLate: 0.8,
		},
		{
			queue: scans, rate: 0.196, meanWidth: 9.2, maxWidth: 55, duration: 7600 * time.Millisecond,
			millicores: 11_000, memoryMB: 16_000, shapes: []int{1}, checkpoints: 0.45,
			estimateSigma: 0.9, creditInTime: 1, creditLate: 0.3,
		},
	}
}

// faults are the disturbances of a generated load.
type faults struct {
	burst     map[string]float64 // factor of a queue's rate from burstStart to burstEnd
	powerLoss bool               // whether all workers are without power from powerLossStart to powerLossEnd
}

const (
	burstStart, burstEnd         = 8 * time.Second, 14 * time.Second
	powerLossStart, powerLossEnd = 35 * time.Second, 41 * time.Second
	submissionsEnd               = 50 * time.Second
	dayEnd                       = 64 * time.Second
	tick                         = 50 * time.Millisecond
	stopDuration                 = 300 * time.Millisecond
	workersPerRack               = 3
	hostCount                    = 11
	resumeCost                   = 600 * time.Millisecond
)

// simulatedDay runs a generated load in virtual time.
type simulatedDay struct {
	*fixture
	random          *rand.Rand
	classes         map[string]jobClass
	remaining       map[batch.TaskID]time.Duration // work left
	durations       map[batch.TaskID]time.Duration // all work
	jobDurations    map[string]time.Duration       // of the longest task, by job
	observed        map[placement.StepKey]time.Duration
	ends            map[run.ID]time.Time
	stopping        map[run.ID]bool
	submittedAt     map[string]time.Time
	startedAt       map[string]time.Time
	wastedWork      float64                       // core-seconds
	acceleratorTime float64                       // accelerator-seconds
	actualSpeeds    map[batch.Incarnation]float64 // of workers that are not normal
}

func newSimulatedDay(t *testing.T, seed uint64) *simulatedDay {
	d := &simulatedDay{
		fixture: newFixture(t), random: rand.New(rand.NewPCG(seed, 1)), classes: map[string]jobClass{},
		remaining: map[batch.TaskID]time.Duration{}, durations: map[batch.TaskID]time.Duration{},
		jobDurations: map[string]time.Duration{},
		observed:     map[placement.StepKey]time.Duration{}, ends: map[run.ID]time.Time{}, stopping: map[run.ID]bool{},
		submittedAt: map[string]time.Time{}, startedAt: map[string]time.Time{},
	}
	d.workers = nil
	for i := range hostCount {
		rack := fmt.Sprintf("r%d", i/workersPerRack)
		d.workers = append(d.workers, placement.NewWorker(run.NewAnnouncement(incarnation(i), "s", "z", 1).
			WithRack(rack, []string{"a", rack}).WithCapacity(batch.NewResources(128_000, 262_144, 8)), false))
	}
	return d
}

// lognormal returns a lognormal sample with the given mean.
func (d *simulatedDay) lognormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*d.random.NormFloat64()-sigma*sigma/2)
}

// submitRandom submits a job of a class with random size, duration and estimate.
func (d *simulatedDay) submitRandom(c jobClass) {
	id := fmt.Sprintf("%s-%d", c.queue, len(d.submittedAt))
	shape := c.shapes[d.random.IntN(len(c.shapes))]
	count := min(max(int(math.Round(d.lognormal(c.meanWidth, 0.8))), 1), c.maxWidth, hostCount*8/shape)
	// Tasks that need all accelerators of a worker are not gangs.
	gang := c.gang && shape < 8
	tight := gang && d.random.Float64() < c.tightlyCoupled
	if tight {
		count = min(count, workersPerRack*8/shape)
	}
	work := time.Duration(d.lognormal(float64(c.duration), 0.3))
	declared := time.Duration(float64(work) * math.Exp(c.estimateSigma*d.random.NormFloat64()))
	d.classes[id] = c
	d.submittedAt[id] = d.now
	d.submit(id, c.queue, []string{"a", "b"}[d.random.IntN(2)], batch.NewStep(
		count, batch.NewResources(c.millicores, c.memoryMB, shape), declared,
		batch.WithGang(gang, tight), batch.WithCheckpoints(d.random.Float64() < c.checkpoints)))
	for i := range count {
		task := batch.NewTaskID(id, 0, 0, i)
		d.remaining[task] = time.Duration(float64(work) * (1 + 0.15*d.random.Float64()))
		d.durations[task] = d.remaining[task]
		d.jobDurations[id] = max(d.jobDurations[id], d.remaining[task])
	}
}

// simulate runs the day with jobs of the given classes, under faults.
func (d *simulatedDay) simulate(classes []jobClass, f faults) {
	start := d.now
	for d.now.Sub(start) < dayEnd {
		at := d.now.Sub(start)
		for _, c := range classes {
			rate := c.rate
			if factor := f.burst[c.queue]; factor > 0 && at >= burstStart && at < burstEnd {
				rate *= factor
			}
			if at < submissionsEnd && d.random.Float64() < rate*tick.Seconds() {
				d.submitRandom(c)
			}
		}
		powerOff := f.powerLoss && at >= powerLossStart && at < powerLossEnd
		if powerOff && at < powerLossStart+tick {
			d.cutPower()
		}
		d.endDueRuns()
		if !powerOff {
			d.applyDecision()
		}
		d.advance(tick)
	}
}

// applyDecision makes a decision, stops the runs that it preempts and starts its groups.
func (d *simulatedDay) applyDecision() {
	p := placement.Decide(placement.NewView(d.now, d.state, d.workers, d.stopping, remoteFactor).
		WithForecast(d.forecast()).WithSpeeds(d.speeds))
	for _, id := range slices.Concat(p.Stops(), p.Moves()) {
		d.stop(id)
	}
	if len(p.Groups()) == 0 {
		return
	}
	d.apply(batch.NewPlaceRuns(d.now, p.Groups()...))
	d.assertCapacityOf(262_144)
	for _, g := range p.Groups() {
		for _, m := range g.Members() {
			d.ends[run.NewID(g.Task(m), m.Run())] = d.now.Add(time.Duration(float64(d.remaining[g.Task(m)]) / d.actualSpeed(m.Worker())))
		}
		id := g.Step().Job()
		if _, known := d.startedAt[id]; !known {
			d.startedAt[id] = d.now
		}
	}
}

// observationDelay is how long a run takes until its progress tells its end and duration.
const observationDelay = 1200 * time.Millisecond

// forecast returns the ends and durations observed from the running tasks.
func (d *simulatedDay) forecast() placement.Forecast {
	ends := map[run.ID]time.Time{}
	for id, at := range d.ends {
		j, _ := d.state.Job(id.Task().Job())
		t, _ := j.Task(id.Task())
		if d.stopping[id] || d.now.Sub(t.PhaseSince()) < observationDelay {
			continue
		}
		ends[id] = at
		key := placement.NewStepKey(id.Task())
		if duration := d.durations[id.Task()]; d.observed[key] == 0 || duration < d.observed[key] {
			d.observed[key] = duration
		}
	}
	return placement.NewForecast(ends, d.observed)
}

// stop lets a run, and all runs of its gang, end after stopDuration.
func (d *simulatedDay) stop(id run.ID) {
	j, _ := d.state.Job(id.Task().Job())
	for n, t := range j.Tasks(0, 0).All() {
		member := run.NewID(batch.NewTaskID(id.Task().Job(), 0, 0, n), t.Run())
		if t.Phase() == batch.Placed && (member == id || j.Spec().Steps()[0].Gang()) && !d.stopping[member] {
			d.stopping[member] = true
			d.ends[member] = d.now.Add(stopDuration)
		}
	}
}

// cutPower ends all runs at once.
func (d *simulatedDay) cutPower() {
	for id := range d.ends {
		d.stopping[id] = true
		d.ends[id] = d.now
	}
}

// endDueRuns ends the runs whose end is due, in a fixed order.
func (d *simulatedDay) endDueRuns() {
	var due []run.ID
	for id, at := range d.ends {
		if !at.After(d.now) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b run.ID) int { return compareStrings(a.Task().String(), b.Task().String()) })
	for _, id := range due {
		j, _ := d.state.Job(id.Task().Job())
		t, _ := j.Task(id.Task())
		step := j.Spec().Steps()[0]
		how := batch.Done
		if d.stopping[id] {
			how = batch.Stopped
			d.interrupt(id, time.Duration(float64(d.now.Sub(t.PhaseSince()))*d.actualSpeed(t.Worker())), step)
		}
		d.acceleratorTime += d.now.Sub(t.PhaseSince()).Seconds() * float64(step.Resources().Accelerators())
		d.apply(batch.NewEndRuns(d.now, batch.NewEnd(id.Task(), id.Run(), how, "")))
		delete(d.ends, id)
		delete(d.stopping, id)
	}
}

// actualSpeed returns the speed at which a worker runs tasks, whether it is known or not.
func (d *simulatedDay) actualSpeed(w batch.Incarnation) float64 {
	if s, known := d.actualSpeeds[w]; known {
		return s
	}
	return 1
}

// interrupt accounts for the work of a run that was stopped: with checkpoints it counts, less resumeCost; without, it
// is wasted.
func (d *simulatedDay) interrupt(id run.ID, ran time.Duration, step batch.Step) {
	if step.Checkpoints() {
		d.remaining[id.Task()] = max(d.remaining[id.Task()]-ran, 0) + resumeCost
		return
	}
	d.wastedWork += ran.Seconds() * step.Resources().CoreEquivalents()
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func (d *simulatedDay) assertCapacityOf(memoryMB int) {
	d.t.Helper()
	used := map[batch.Incarnation]batch.Resources{}
	for _, j := range d.state.Jobs().All() {
		for _, t := range j.Tasks(0, 0).All() {
			if t.Phase() == batch.Placed {
				used[t.Worker()] = used[t.Worker()].Plus(j.Spec().Steps()[0].Resources())
			}
		}
	}
	for l, u := range used {
		require.True(d.t, u.Fits(batch.NewResources(128_000, memoryMB, 8)), "worker %s has %+v", l.ID(), u)
	}
}

// waves returns in how many rounds a step runs on a quarter of all workers.
func (d *simulatedDay) waves(s batch.Step) int {
	if s.Gang() {
		return 1
	}
	slots := max(hostCount*8/s.Resources().Accelerators()/4, 1)
	return (s.Count() + slots - 1) / slots
}

// creditPerWastedCoreSecond is the credit deducted for each core-second of wasted work.
const creditPerWastedCoreSecond = 0.0019

// creditShare returns the weighted credit of a day, less the deduction for wasted work, as a share of the credit for
// ending every job in time; byQueue leaves out the deduction. Unfinished jobs whose objective has not passed are not
// counted.
func (d *simulatedDay) creditShare() (share float64, byQueue map[string]float64) {
	earned, possible := map[string]float64{}, map[string]float64{}
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
		objective := q.Objective(d.jobDurations[id] * time.Duration(d.waves(j.Spec().Steps()[0])))
		took := j.EndedAt().Sub(d.submittedAt[id])
		credit := 0.0
		switch {
		case j.State() == batch.Completed && took <= objective:
			credit = c.creditInTime
		case j.State() == batch.Completed && took <= 3*objective:
			credit = c.creditLate
		case j.Active() && d.submittedAt[id].Add(objective).After(d.now):
			continue // the objective has not passed
		}
		earned[c.queue] += weight * credit
		possible[c.queue] += weight * c.creditInTime
		all += weight * credit
		best += weight * c.creditInTime
	}
	byQueue = map[string]float64{}
	for q := range possible {
		byQueue[q] = earned[q] / possible[q]
	}
	return (all - creditPerWastedCoreSecond*d.wastedWork) / best, byQueue
}

// Guards against changes of the policy that make too many jobs late or waste too much work. The bound of half the
// possible credit is what users were told to expect on the heaviest days.
func TestWorthOfDays(t *testing.T) {
	const days = 12
	for name, f := range map[string]faults{
		"calm":                 {},
		"burst of urgent jobs": {burst: map[string]float64{urgent: 2.3}},
		"burst of large jobs":  {burst: map[string]float64{patient: 2.3, scans: 2.3}},
		"power loss":           {powerLoss: true},
		"burst and power loss": {burst: map[string]float64{urgent: 2.2}, powerLoss: true},
	} {
		t.Run(name, func(t *testing.T) {
			sum, wasted, used := 0.0, 0.0, 0.0
			queues := map[string]float64{}
			for seed := range uint64(days) {
				d := newSimulatedDay(t, seed)
				d.simulate(millClasses(), f)
				share, by := d.creditShare()
				sum += share
				wasted += d.wastedWork
				used += d.acceleratorTime
				for q, v := range by {
					queues[q] += v / days
				}
			}
			t.Logf("worth %.3f, urgent %.3f, patient %.3f, scans %.3f, wasted %.0f core-seconds, accelerators in use %.2f",
				sum/days, queues[urgent], queues[patient], queues[scans], wasted/days, used/days/(hostCount*8*dayEnd.Seconds()))
			assert.Greater(t, sum/days, 0.5)
		})
	}
}
