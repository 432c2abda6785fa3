package speed

import (
	"maps"
	"math"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// halfLife is the time in which the weight of earlier observations of a worker halves.
	halfLife = 10 * time.Minute
	// predecessorShare is the share of an estimate that holds for the next incarnation of a worker.
	predecessorShare = 0.5
	// fitInterval is the least time between two fits.
	fitInterval = 200 * time.Millisecond
	// maxWorkerWeight bounds the weight of the earlier observations of a worker, so that a change of its speed shows after
	// as many runs.
	maxWorkerWeight = 16
	// minWorkerWeight is the weight below which a worker without runs is forgotten.
	minWorkerWeight = 0.05
	// maxStepWeight bounds the weight of the ended runs of a step.
	maxStepWeight = 64
)

// Model learns the speeds of workers. On a logarithmic scale the duration of a run is the duration of its step on a normal
// worker, less the speed of its worker, plus the deviation of the task itself. A Model is not safe for concurrent use.
type Model struct {
	workers   map[string]*worker // by host
	steps     map[stepKey]*step
	services  map[string]*service
	changed   map[stepKey]bool // steps with observations since the last fit
	restored  bool             // whether records were restored since the last fit
	fittedAt  time.Time
	estimates Estimates
}

// NewModel returns a model without observations.
func NewModel() *Model {
	return &Model{
		workers: map[string]*worker{}, steps: map[stepKey]*step{}, services: map[string]*service{}, changed: map[stepKey]bool{},
	}
}

// worker holds what is known of the worker on a host. Its averages are of residuals: how much shorter, on the logarithmic
// scale, runs were than their step takes on a normal worker.
type worker struct {
	service     string
	incarnation batch.Incarnation
	ended       evidence // of steps without runs at work
	endedAt     time.Time
	live        evidence // of steps with runs at work
	observedAt  time.Time
}

// step holds what is known of a step: the durations of its runs, corrected for the speed of their workers.
type step struct {
	service string
	runs    map[run.ID]*observedRun
	groups  map[string]*group // by host
	ended   average
	center  average // of all its runs, as of the last fit
}

// observedRun is the latest observation of a run at work and its part of its group.
type observedRun struct {
	host      string
	logarithm float64
	variance  float64
	residual  residuals
}

// Observe takes in an observation of a run, in place of an earlier one of the same run.
func (m *Model) Observe(now time.Time, o Observation) {
	if !o.valid() {
		return
	}
	w := m.worker(o)
	w.observedAt = now
	key := newStepKey(o.id)
	s, known := m.steps[key]
	if !known {
		s = &step{service: o.service, runs: map[run.ID]*observedRun{}, groups: map[string]*group{}}
		m.steps[key] = s
	}
	r, known := s.runs[o.id]
	if !known {
		r = &observedRun{host: o.worker.Host()}
		s.runs[o.id] = r
		if s.groups[r.host] == nil {
			s.groups[r.host] = &group{}
		}
		s.groups[r.host].runs++
	}
	r.logarithm, r.variance = o.logarithm(), o.variance()
	m.changed[key] = true
}

// worker returns the worker of an observation. What was known of another incarnation on its host counts less.
func (m *Model) worker(o Observation) *worker {
	w, known := m.workers[o.worker.Host()]
	if !known {
		w = &worker{service: o.service, incarnation: o.worker}
		m.workers[o.worker.Host()] = w
	}
	if w.service != o.service {
		w.service, w.ended = o.service, evidence{}
	}
	if w.incarnation != o.worker {
		w.incarnation, w.ended = o.worker, w.ended.scaled(predecessorShare)
	}
	if m.services[o.service] == nil {
		m.services[o.service] = newService()
	}
	return w
}

// End takes in that a run has ended; its latest observation stays in the averages.
func (m *Model) End(now time.Time, id run.ID) {
	key := newStepKey(id)
	s, known := m.steps[key]
	if !known {
		return
	}
	r, observed := s.runs[id]
	if !observed {
		return
	}
	if r.residual.forMean.weight == 0 {
		m.fitStep(s)
	}
	sv := m.services[s.service]
	value, variance := m.workers[r.host].known(sv)
	s.ended.add(r.logarithm+value, sv.noise()/(sv.noise()+variance+r.variance))
	s.ended = s.ended.scaled(min(1, maxStepWeight/s.ended.weight))
	delete(s.runs, id)
	m.changed[key] = true
	if g := s.groups[r.host]; g.end() {
		delete(s.groups, r.host)
		m.endGroup(now, m.workers[r.host], g)
	}
}

// endGroup adds the runs of a step on a worker, of which none is at work any more, to what is known of the worker.
func (m *Model) endGroup(now time.Time, w *worker, g *group) {
	sum := g.evidence()
	w.live = w.live.minus(sum)
	if w.live.weight < minWeight {
		w.live = evidence{}
	}
	w.ended, w.endedAt = w.endedBy(now), now
	m.services[w.service].addResidual(sum.average, w.ended.average)
	w.ended = w.ended.plus(sum)
	w.ended = w.ended.scaled(min(1, maxWorkerWeight/max(w.ended.weight, minWeight)))
}

// Forget drops the steps of jobs for which known returns false, and workers of which hardly anything is known any more.
func (m *Model) Forget(now time.Time, known func(job string) bool) {
	observed := map[string]bool{}
	for key, s := range m.steps {
		if known(key.job) {
			for host := range s.groups {
				observed[host] = true
			}
			continue
		}
		for host, g := range s.groups {
			w := m.workers[host]
			w.live = w.live.minus(g.evidence())
		}
		delete(m.steps, key)
		delete(m.changed, key)
	}
	for host, w := range m.workers {
		if !observed[host] && w.endedBy(now).weight < minWorkerWeight {
			delete(m.workers, host)
		}
	}
}

// Duration returns how long a task of a step takes on a normal worker; ok is false if that is not known, or if the
// workers of the service do not differ.
func (m *Model) Duration(job string, index int) (d time.Duration, ok bool) {
	s, known := m.steps[stepKey{job, index}]
	if !known || m.services[s.service].speedVariance == 0 {
		return 0, false
	}
	if s.center.weight < minWeight {
		return 0, false
	}
	return time.Duration(math.Exp(s.center.mean()) * float64(time.Second)), true
}

// Estimates returns the estimates at a time.
func (m *Model) Estimates(now time.Time) Estimates {
	if len(m.changed) == 0 && !m.restored || now.Sub(m.fittedAt) < fitInterval {
		return m.estimates
	}
	m.fittedAt = now
	for _, key := range slices.SortedFunc(maps.Keys(m.changed), compareKeys) {
		m.fitStep(m.steps[key])
	}
	clear(m.changed)
	m.restored = false
	m.fitServices(now)
	e := Estimates{byHost: make(map[string]hostEstimate, len(m.workers))}
	for host, w := range m.workers {
		estimate := w.estimate(now, m.services[w.service])
		e.byHost[host] = hostEstimate{w.incarnation, estimate}
		e.differ = e.differ || estimate.logarithm != 0
	}
	m.estimates = e
	return e
}

// endedBy returns the evidence of ended steps with the weight that it has at a time.
func (w *worker) endedBy(now time.Time) evidence {
	if w.endedAt.IsZero() {
		return w.ended
	}
	return w.ended.scaled(math.Exp2(-now.Sub(w.endedAt).Seconds() / halfLife.Seconds()))
}

// mean returns the mean residual of the worker's runs.
func (w *worker) mean() float64 { return w.ended.plus(w.live).mean() }

// weight returns the number of independent runs that the mean counts as.
func (w *worker) weight() float64 { return w.ended.plus(w.live).weight }

// known returns the worker's speed and the variance of its estimate, or those of an unobserved worker while they are no
// worse.
func (w *worker) known(s *service) (value, variance float64) {
	prior := max(s.speedVariance, s.noise())
	if weight := w.weight(); weight > minWeight && s.noise()/weight < prior {
		return w.mean() - s.offset, s.noise() / weight
	}
	return 0, prior
}

// Steps returns the number of steps about which the model keeps observations.
func (m *Model) Steps() int { return len(m.steps) }

// Workers returns the number of workers about which the model keeps observations.
func (m *Model) Workers() int { return len(m.workers) }

// Deviation returns how much longer a run takes than its step and worker make expect, on the logarithmic scale; ok is false
// if too little is known of the run or its step.
func (m *Model) Deviation(now time.Time, id run.ID) (d float64, ok bool) {
	s, known := m.steps[newStepKey(id)]
	if !known {
		return 0, false
	}
	r, known := s.runs[id]
	if !known || s.center.weight < minCenterWeight {
		return 0, false
	}
	estimate := m.workers[r.host].estimate(now, m.services[s.service])
	return r.logarithm + estimate.logarithm - s.center.mean(), true
}

// minCenterWeight is the least weight of a step's runs with which a single one is compared.
const minCenterWeight = 2
