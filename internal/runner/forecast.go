package runner

import (
	"math"
	"time"

	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// firstRate is how long after the first list the leader is told the progress from which it learns a run's rate.
	firstRate = 700 * time.Millisecond
	// figureShare is by what part the worker's figure of a run may change before the leader is told, if by no less than
	// leastFigure: a tail latency in milliseconds that the pace of others depends on.
	figureShare = 0.1
	leastFigure = 2
	// deviation is by how many percent a run may be elsewhere than the leader expects before it is told.
	deviation = 5
)

// told is what the leader was told last of a run's progress, which it extrapolates.
type told struct {
	at      time.Time
	percent int
	rate    float64 // percent a second
	rated   bool
	figure  int
}

// expected returns how far the leader takes the run to be.
func (t told) expected(now time.Time) float64 {
	return float64(t.percent) + t.rate*now.Sub(t.at).Seconds()
}

// deviates reports whether the leader has to be told of a run's progress.
func (t told) deviates(now time.Time, r run.Running) bool {
	if change := math.Abs(float64(r.Measurement() - t.figure)); change >= leastFigure && change >= figureShare*float64(t.figure) {
		return true
	}
	if !t.rated {
		return now.Sub(t.at) >= firstRate
	}
	if t.rate == 0 {
		return r.Percent() != t.percent
	}
	return math.Abs(float64(r.Percent())-t.expected(now)) >= deviation
}

// next returns what the leader was told with a further list.
func (t told) next(now time.Time, r run.Running) told {
	passed := now.Sub(t.at)
	t.figure = r.Measurement()
	if passed < firstRate/2 {
		return t
	}
	return told{
		at: now, percent: r.Percent(), rate: float64(r.Percent()-t.percent) / passed.Seconds(), rated: true, figure: r.Measurement(),
	}
}

// news reports whether a list has progress that the leader does not expect.
func (l *loop) news(now time.Time, list run.List) bool {
	for _, r := range list.Running() {
		if t, known := l.told[r.ID()]; known && t.deviates(now, r) {
			return true
		}
	}
	return false
}

// tellProgress notes that the leader gets a list.
func (l *loop) tellProgress(now time.Time, list run.List) {
	next := make(map[run.ID]told, len(list.Running()))
	for _, r := range list.Running() {
		if t, known := l.told[r.ID()]; known {
			next[r.ID()] = t.next(now, r)
		} else {
			next[r.ID()] = told{at: now, percent: r.Percent(), figure: r.Measurement()}
		}
	}
	l.told = next
}
