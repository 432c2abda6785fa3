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
	// initialWeight is the number of observations that the assumption counts as.
	initialWeight = 20
	// maxServiceWeight bounds the weight of the observations of a service's tasks.
	maxServiceWeight = 1000
	// outlierDeviation is the deviation beyond which an observation counts less, so that one task that is long by itself
	// does not make its worker slow.
	outlierDeviation = 0.6
	// minWorkers is the number of observed workers from which it can be told whether workers differ.
	minWorkers = 6
	// minSpread is the least standard deviation of workers' speeds that counts as a difference.
	minSpread = 0.12
	// chanceErrors is the number of standard errors from which the spread of the workers does not come from chance.
	chanceErrors = 3
	// maxSquareRatio bounds the squared deviation of a worker, as a multiple of the median.
	maxSquareRatio = 25
	// outlierRuns and outlierErrors are the number of runs and of standard errors from which a single worker counts as
	// different though the others are alike.
	outlierRuns   = 2
	outlierErrors = 5
)

// service holds the variances of a service's tasks and of its workers' speeds.
type service struct {
	squares average // squared deviations of tasks from what is known of their step and worker
	spread  float64 // variance of the workers' speeds; 0 while they are not known to differ
}

func newService() *service {
	return &service{squares: average{initialWeight * initialDeviation * initialDeviation, initialWeight}}
}

// noise returns the variance of a task.
func (s *service) noise() float64 { return s.squares.mean() }

// addResidual takes in the residual of an ended run on a worker with the given mean, which counts as weight runs beside
// it.
func (s *service) addResidual(residual, mean, weight float64) {
	if weight < 1 {
		return
	}
	deviation := min(math.Abs(residual-mean), outlierDeviation)
	s.squares.add(deviation*deviation*(weight+1)/weight, 1)
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
		weight := v.weight * robustness(v.corrected-c.median)
		c.all.add(v.corrected, weight)
		own := c.byHost[v.host]
		own.add(v.corrected, weight)
		c.byHost[v.host] = own
	}
	return c
}

// robustness returns the weight of an observation with the given deviation.
func robustness(deviation float64) float64 {
	d := math.Abs(deviation)
	if d <= outlierDeviation {
		return 1
	}
	return (outlierDeviation / d) * (outlierDeviation / d)
}

// fitStep updates what the runs at work of a step contribute to their workers. Each run is compared with the runs on other
// workers.
func (m *Model) fitStep(s *step) {
	c, sv := m.center(s), m.services[s.service]
	for _, r := range s.runs {
		w := m.workers[r.host]
		w.live = w.live.minus(average{r.residual * r.weight, r.weight})
		r.residual, r.weight = 0, 0
		others := c.all.minus(c.byHost[r.host])
		if others.weight < minWeight {
			continue
		}
		r.residual = others.mean() - r.logarithm
		r.weight = sv.noise() / (sv.noise()*(1+1/others.weight) + r.variance) * robustness(r.residual-w.mean())
		w.live.add(r.residual, r.weight)
	}
}

// fitServices estimates how much the workers of each service differ.
func (m *Model) fitServices(now time.Time) {
	means := map[string][]average{}
	for _, host := range slices.Sorted(maps.Keys(m.workers)) {
		w := m.workers[host]
		if known := w.endedBy(now).plus(w.live); known.weight >= 1 {
			means[w.service] = append(means[w.service], known)
		}
	}
	for name, s := range m.services {
		s.spread = spread(means[name], s.noise())
	}
}

// spread returns the variance of workers' speeds beyond that of the tasks, or 0 if it may come from chance. A single
// worker that differs from all others counts only so far.
func spread(means []average, noise float64) float64 {
	if len(means) < minWorkers {
		return 0
	}
	squares, expected, chance := make([]float64, 0, len(means)), 0.0, 0.0
	for _, a := range means {
		squares = append(squares, a.mean()*a.mean())
		expected += noise / a.weight
		chance += 2 * (noise / a.weight) * (noise / a.weight)
	}
	slices.Sort(squares)
	limit, sum := maxSquareRatio*squares[len(squares)/2], 0.0
	for _, square := range squares {
		sum += min(square, limit)
	}
	count := float64(len(means))
	excess := (sum - expected) / count
	if excess <= max(minSpread*minSpread, chanceErrors*math.Sqrt(chance)/count) {
		return 0
	}
	return excess
}

// estimate returns the estimate of a worker: its mean, drawn towards that of a normal worker as far as it is uncertain.
func (w *worker) estimate(now time.Time, s *service) Estimate {
	known := w.endedBy(now).plus(w.live)
	if known.weight < minWeight {
		return Estimate{observedAt: w.observedAt}
	}
	mean, variance, spread := known.mean(), s.noise()/known.weight, s.spread
	if known.weight >= outlierRuns && mean*mean > outlierErrors*outlierErrors*variance {
		spread = max(spread, mean*mean)
	}
	if spread == 0 {
		return Estimate{observedAt: w.observedAt}
	}
	share := spread / (spread + variance)
	return Estimate{logarithm: share * mean, uncertainty: math.Sqrt(share * variance), observedAt: w.observedAt}
}
