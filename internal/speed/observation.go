package speed

import (
	"cmp"
	"math"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// Observation is the duration of a run on a worker of a service, as its progress shows it.
type Observation struct {
	id       run.ID
	worker   batch.Incarnation
	service  string
	duration time.Duration
	percent  int
}

// NewObservation returns the observation of a run that would take the given duration in all, derived from the time that
// the given percentage of it took.
func NewObservation(id run.ID, worker batch.Incarnation, service string, duration time.Duration, percent int) Observation {
	return Observation{id: id, worker: worker, service: service, duration: duration, percent: percent}
}

// valid reports whether the observation has a duration and a percentage.
func (o Observation) valid() bool { return o.duration > 0 && o.percent > 0 }

// logarithm returns the natural logarithm of the duration in seconds.
func (o Observation) logarithm() float64 { return math.Log(o.duration.Seconds()) }

// timingError is the standard deviation of the time between two reports of a run's progress, of which a part may be the
// wait of a gang for its last member.
const timingError = 100 * time.Millisecond

// variance returns the variance of the logarithm that comes from progress in whole percents and from timing.
func (o Observation) variance() float64 {
	elapsed := o.duration.Seconds() * float64(o.percent) / 100
	timing := timingError.Seconds() / elapsed
	return 1/float64(o.percent*o.percent) + timing*timing
}

// stepKey identifies a step of a job in all its occurrences.
type stepKey struct {
	job  string
	step int
}

func newStepKey(id run.ID) stepKey { return stepKey{id.Task().Job(), id.Task().Step()} }

func compareKeys(a, b stepKey) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.step, b.step))
}

// average is a weighted mean.
type average struct {
	sum    float64
	weight float64
}

func (a *average) add(value, weight float64) { a.sum, a.weight = a.sum+value*weight, a.weight+weight }

// plus returns the average of all values of both.
func (a average) plus(b average) average { return average{a.sum + b.sum, a.weight + b.weight} }

// minus returns the average without the values of b.
func (a average) minus(b average) average { return average{a.sum - b.sum, max(a.weight-b.weight, 0)} }

// scaled returns the average with a share of its weight.
func (a average) scaled(share float64) average { return average{a.sum * share, a.weight * share} }

// mean returns the mean, or 0 without values.
func (a average) mean() float64 {
	if a.weight < minWeight {
		return 0
	}
	return a.sum / a.weight
}

// minWeight is the weight below which an average counts as empty.
const minWeight = 1e-6
