package speed

import (
	"math"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// maxRecordLogarithm bounds the speed in a record, since a record may come from a faulty process.
	maxRecordLogarithm = 3.0
	// minRecordWeight is the least weight for which a record is worth a message.
	minRecordWeight = 1.0
)

// Record returns what is known of a worker, for the next leader; ok is false if that is little.
func (m *Model) Record(now time.Time, worker batch.Incarnation) (s run.Speed, ok bool) {
	w, known := m.workers[worker.Host()]
	if !known || w.incarnation != worker {
		return s, false
	}
	sum := w.endedBy(now).plus(w.live)
	if sum.weight < minRecordWeight {
		return s, false
	}
	agreement, _ := sum.agreement()
	return run.NewSpeed(worker, sum.mean(), agreement, sum.weight, now.Sub(w.observedAt)), true
}

// Restore takes in what an earlier leader knew of a worker of a service, unless the worker has been observed since.
func (m *Model) Restore(now time.Time, serviceName string, s run.Speed) {
	host := s.Worker().Host()
	if _, known := m.workers[host]; known || host == "" || !plausible(s) {
		return
	}
	weight := min(s.Weight(), maxWorkerWeight) * math.Exp2(-s.Age().Seconds()/halfLife.Seconds())
	m.workers[host] = &worker{
		service: serviceName, incarnation: s.Worker(), ended: restoredEvidence(s.Logarithm(), s.Agreement(), weight), endedAt: now,
		observedAt: now.Add(-s.Age()),
	}
	if m.services[serviceName] == nil {
		m.services[serviceName] = newService()
	}
	m.restored = true
}

// restoredEvidence returns the evidence of a mean that counts as weight runs of different steps with the given agreement.
func restoredEvidence(mean, agreement, weight float64) evidence {
	sum, weightSquares := mean*weight, min(weight, weight*weight)
	a := average{sum, weight}
	return evidence{a, a, sum*sum - agreement*(weight*weight-weightSquares), weightSquares}
}

// plausible reports whether a record can be that of a worker. It is false for values that are not numbers.
func plausible(s run.Speed) bool {
	return math.Abs(s.Logarithm()) <= maxRecordLogarithm &&
		math.Abs(s.Agreement()) <= maxRecordLogarithm*maxRecordLogarithm && s.Weight() > 0 && !math.IsInf(s.Weight(), 0) && s.Age() >= 0
}
