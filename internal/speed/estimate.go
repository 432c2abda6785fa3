package speed

import (
	"math"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Class says how a worker compares with a normal one.
type Class string

// The classes of workers.
const (
	Slow   Class = "slow"
	Normal Class = "normal"
	Fast   Class = "fast"
)

// Classes returns all classes.
func Classes() []Class { return []Class{Slow, Normal, Fast} }

const (
	// levelWidth is the difference between two levels, on the logarithmic scale of speeds. Smaller differences do not
	// outweigh a tighter packing.
	levelWidth = 0.25
	// certainDeviations is the number of standard deviations by which a surely slow or fast worker differs from a normal
	// one.
	certainDeviations = 1.5
)

// Estimate is the estimated speed of a worker; the zero Estimate is that of an unknown worker, which counts as normal. It
// is immutable.
type Estimate struct {
	logarithm   float64
	uncertainty float64
	observedAt  time.Time
}

// NewEstimate returns an estimate of a speed, 1 for a normal worker, with the standard deviation of its natural logarithm
// and the time of the latest observation.
func NewEstimate(relative, uncertainty float64, observedAt time.Time) Estimate {
	return Estimate{logarithm: math.Log(relative), uncertainty: uncertainty, observedAt: observedAt}
}

// Relative returns the speed, 1 for a normal worker; the less certain it is, the closer it is to 1.
func (e Estimate) Relative() float64 { return math.Exp(e.logarithm) }

// Uncertainty returns the standard deviation of the natural logarithm of the speed, 0 for a worker that is not known to
// differ from others.
func (e Estimate) Uncertainty() float64 { return e.uncertainty }

// Age returns the time since the latest observation, 0 for an unknown worker.
func (e Estimate) Age(now time.Time) time.Duration {
	if e.observedAt.IsZero() {
		return 0
	}
	return now.Sub(e.observedAt)
}

// Level returns the speed as a whole number, 0 for a normal worker and more for a faster one.
func (e Estimate) Level() int { return int(math.Round(e.logarithm / levelWidth)) }

// LevelOf returns the lowest level at which a worker has at least the given speed.
func LevelOf(relative float64) int { return int(math.Ceil(math.Log(relative) / levelWidth)) }

// Class returns whether the worker is surely slow or fast.
func (e Estimate) Class() Class {
	margin := max(levelWidth/2, certainDeviations*e.uncertainty)
	switch {
	case e.logarithm < -margin:
		return Slow
	case e.logarithm > margin:
		return Fast
	}
	return Normal
}

// SurelyBelow reports whether the worker is surely slower than the given speed.
func (e Estimate) SurelyBelow(relative float64) bool {
	return e.logarithm+certainDeviations*e.uncertainty < math.Log(relative)
}

// Estimates holds the estimates of all observed workers; it is immutable.
type Estimates struct {
	byHost map[string]hostEstimate
	differ bool
}

// hostEstimate is the estimate of the worker on a host, with the incarnation that was observed last.
type hostEstimate struct {
	incarnation batch.Incarnation
	estimate    Estimate
}

// NewEstimates returns the given estimates by incarnation.
func NewEstimates(list map[batch.Incarnation]Estimate) Estimates {
	e := Estimates{byHost: make(map[string]hostEstimate, len(list))}
	for i, estimate := range list {
		e.byHost[i.Host()] = hostEstimate{i, estimate}
		e.differ = e.differ || estimate.logarithm != 0
	}
	return e
}

// Differ reports whether any two workers are estimated to differ.
func (e Estimates) Differ() bool { return e.differ }

// Of returns the estimate of a worker. A new incarnation begins with the estimate of the previous one on its host, at
// less certainty.
func (e Estimates) Of(w batch.Incarnation) Estimate {
	h := e.byHost[w.Host()]
	if h.incarnation != w {
		h.estimate.logarithm *= predecessorShare
	}
	return h.estimate
}

// Counts returns the number of estimated workers by class.
func (e Estimates) Counts() map[Class]int {
	counts := map[Class]int{Slow: 0, Normal: 0, Fast: 0}
	for _, h := range e.byHost {
		counts[h.estimate.Class()]++
	}
	return counts
}
