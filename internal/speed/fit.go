package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// initialDeviation is the standard deviation of the tasks of a step that is assumed before any is observed.
	initialDeviation = 0.3
	// minDeviation is the least standard deviation of tasks that is assumed, also where all have been alike.
	minDeviation = 0.02
	// initialWeight is the number of observations that the assumption counts as.
	initialWeight = 20
	// maxServiceWeight bounds the weight of the observations of a service's tasks.
	maxServiceWeight = 1000
	// outlierDeviation is the deviation beyond which an observation counts less, so that one task that is long by itself
	// does not make its worker slow.
	outlierDeviation = 0.6
	// outlierSpeed is the deviation beyond which an observation counts less in the comparison of steps: that of a worker at
	// less than a third of the normal speed, or more than three times that.
	outlierSpeed = 1.2
	// minWorkers is the number of workers with runs of different steps from which it can be told whether workers differ.
	minWorkers = 6
	// minSpeedDeviation is the least standard deviation of workers' speeds that counts as a difference.
	minSpeedDeviation = 0.12
	// chanceErrors is the number of standard errors from which the variance of the speeds does not come from chance.
	chanceErrors = 3.5
	// outlierRuns and outlierErrors are the number of runs and of standard errors from which a single worker counts as
	// different though the others are alike.
	outlierRuns   = 2
	outlierErrors = 6
)

// service holds the variances of a service's tasks and of its workers' speeds.
type service struct {
	squares       average // squared deviations of tasks from what is known of their step and worker
	speedVariance float64 // of the workers; 0 while they are not known to differ
	offset        float64 // mean of the workers' residuals; it is subtracted, or all speeds would drift in one direction
}

func newService() *service {
	return &service{squares: average{initialWeight * initialDeviation * initialDeviation, initialWeight}}
}

// noise returns the variance of a task.
func (s *service) noise() float64 { return max(s.squares.mean(), minDeviation*minDeviation) }

// addResidual takes in the residual of a group of ended runs on a worker with the given evidence beside it.
func (s *service) addResidual(own, others average) {
	if others.weight < 1 || own.weight < minWeight {
		return
	}
	deviation := min(math.Abs(own.mean()-others.mean()), outlierDeviation)
	s.squares.add(deviation*deviation/(1/own.weight+1/others.weight), 1)
	s.squares = s.squares.scaled(min(1, maxServiceWeight/s.squares.weight))
}

// center is the average duration of a step on a normal worker, over all runs and by host.
type center struct {
	all    average
	byHost map[string]average
	median float64
}

// center returns the average of a step's runs, each corrected for its worker's speed and weighted by its certainty. Runs
// far from the median count less.
func (m *Model) center(s *step) center {
	sv := m.services[s.service]
	type value struct {
		host              string
		corrected, weight float64
	}
	values := make([]value, 0, len(s.runs))
	for _, r := range s.runs {
		speed, variance := m.workers[r.host].known(sv)
		values = append(values, value{r.host, r.logarithm + speed, sv.noise() / (sv.noise() + variance + r.variance)})
	}
	slices.SortFunc(values, func(a, b value) int {
		return cmp.Or(cmp.Compare(a.corrected, b.corrected), cmp.Compare(a.host, b.host))
	})
	c := center{all: s.ended, byHost: map[string]average{}, median: s.ended.mean()}
	if len(values) > 0 && s.ended.weight < 1 {
		c.median = (values[(len(values)-1)/2].corrected + values[len(values)/2].corrected) / 2
	}
	for _, v := range values {
		weight := v.weight * robustness(v.corrected-c.median, outlierDeviation)
		c.all.add(v.corrected, weight)
		own := c.byHost[v.host]
		own.add(v.corrected, weight)
		c.byHost[v.host] = own
	}
	return c
}

// robustness returns the weight of an observation with the given deviation, which is below 1 beyond the limit.
func robustness(deviation, limit float64) float64 {
	d := math.Abs(deviation)
	if d <= limit {
		return 1
	}
	return (limit / d) * (limit / d)
}

// fitStep updates what the runs at work of a step say of their workers. Each run is compared with the runs on other
// workers.
func (m *Model) fitStep(s *step) {
	c, sv := m.center(s), m.services[s.service]
	s.center = c.all
	for _, r := range s.runs {
		others := c.all.minus(c.byHost[r.host])
		if others.weight < minWeight {
			continue
		}
		w, g := m.workers[r.host], s.groups[r.host]
		w.live = w.live.minus(g.evidence())
		g.residuals = g.residuals.minus(r.residual)
		residual := others.mean() - r.logarithm
		weight := sv.noise() / (sv.noise()*(1+1/others.weight) + r.variance)
		r.residual = residuals{}
		r.residual.forMean.add(residual, weight*robustness(residual-w.mean(), outlierDeviation))
		r.residual.forAgreement.add(residual, weight*robustness(residual, outlierSpeed))
		g.residuals = g.residuals.plus(r.residual)
		w.live = w.live.plus(g.evidence())
	}
}

// fitServices estimates how much the workers of each service differ.
func (m *Model) fitServices(now time.Time) {
	workers := map[string][]evidence{}
	for _, host := range slices.Sorted(maps.Keys(m.workers)) {
		w := m.workers[host]
		workers[w.service] = append(workers[w.service], w.endedBy(now).plus(w.live))
	}
	for name, s := range m.services {
		s.speedVariance, s.offset = speedVariance(workers[name]), offset(workers[name])
	}
}

// offset returns the mean of the workers' residuals, each weighted by how well it is known.
func offset(workers []evidence) float64 {
	var sum average
	for _, e := range workers {
		sum.add(e.mean(), e.weight/(e.weight+1))
	}
	return sum.mean()
}

// speedVariance returns the variance of workers' speeds, or 0 if it may come from chance. Workers differ if one that was slow for
// one step is slow for the next.
func speedVariance(workers []evidence) float64 {
	var values, squares average
	count := 0.0
	for _, e := range workers {
		if value, weight := e.agreement(); weight > 0 {
			weight = math.Sqrt(weight)
			values.add(value, weight)
			squares.add(value*value, weight)
			count++
		}
	}
	if count < minWorkers {
		return 0
	}
	mean := values.mean()
	deviation := math.Sqrt(max(squares.mean()-mean*mean, 0) / count)
	if mean <= max(minSpeedDeviation*minSpeedDeviation, chanceErrors*deviation) {
		return 0
	}
	return mean
}

// estimate returns the estimate of a worker: its mean, drawn towards that of a normal worker as far as it is uncertain.
func (w *worker) estimate(now time.Time, s *service) Estimate {
	known := w.endedBy(now).plus(w.live)
	if known.weight < minWeight {
		return Estimate{observedAt: w.observedAt}
	}
	mean, variance, prior := known.mean()-s.offset, s.noise()/known.weight, s.speedVariance
	if known.weight >= outlierRuns && mean*mean > outlierErrors*outlierErrors*variance {
		prior = max(prior, mean*mean)
	}
	if prior == 0 {
		return Estimate{observedAt: w.observedAt}
	}
	share := prior / (prior + variance)
	return Estimate{logarithm: share * mean, uncertainty: math.Sqrt(share * variance), observedAt: w.observedAt}
}
