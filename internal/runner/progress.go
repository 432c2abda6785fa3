package runner

import (
	"math"
	"time"

	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// firstRateDelay is the time from the first to the second report of a run's progress, from which the leader derives
	// the run's rate.
	firstRateDelay = 700 * time.Millisecond
	// minMeasurementShare is the fraction by which a run's measurement must change to be reported; it must also change by
	// minMeasurementChange. The measurement is a tail latency in milliseconds on which the pace of other runs depends.
	minMeasurementShare  = 0.1
	minMeasurementChange = 2
	// maxDeviationPercent is the difference from the progress that the leader expects at which a report is due, in
	// percentage points.
	maxDeviationPercent = 5
)

// reportedProgress is the last reported progress of a run, from which the leader extrapolates.
type reportedProgress struct {
	at          time.Time
	percent     int
	rate        float64 // percentage points per second
	rateKnown   bool
	measurement int
}

// expectedPercent returns the progress that the leader extrapolates for now.
func (p reportedProgress) expectedPercent(now time.Time) float64 {
	return float64(p.percent) + p.rate*now.Sub(p.at).Seconds()
}

// deviates reports whether the leader needs a report because its extrapolation or measurement is out of date.
func (p reportedProgress) deviates(now time.Time, r run.Running) bool {
	if change := math.Abs(float64(r.Measurement() - p.measurement)); change >= minMeasurementChange &&
		change >= minMeasurementShare*float64(p.measurement) {
		return true
	}
	if !p.rateKnown {
		return now.Sub(p.at) >= firstRateDelay
	}
	if p.rate == 0 {
		return r.Percent() != p.percent
	}
	return math.Abs(float64(r.Percent())-p.expectedPercent(now)) >= maxDeviationPercent
}

// updated returns the reported progress after a further list; the rate needs lists that are far enough apart.
func (p reportedProgress) updated(now time.Time, r run.Running) reportedProgress {
	elapsed := now.Sub(p.at)
	p.measurement = r.Measurement()
	if elapsed < firstRateDelay/2 {
		return p
	}
	return reportedProgress{
		at: now, percent: r.Percent(), rate: float64(r.Percent()-p.percent) / elapsed.Seconds(), rateKnown: true,
		measurement: r.Measurement(),
	}
}

// progressDeviates reports whether a run in the list deviates from its reported progress.
func (l *loop) progressDeviates(now time.Time, list run.List) bool {
	for _, r := range list.Running() {
		if p, known := l.reported[r.ID()]; known && p.deviates(now, r) {
			return true
		}
	}
	return false
}

// recordProgress records the progress in a list that is sent to the leader.
func (l *loop) recordProgress(now time.Time, list run.List) {
	next := make(map[run.ID]reportedProgress, len(list.Running()))
	for _, r := range list.Running() {
		if p, known := l.reported[r.ID()]; known {
			next[r.ID()] = p.updated(now, r)
		} else {
			next[r.ID()] = reportedProgress{at: now, percent: r.Percent(), measurement: r.Measurement()}
		}
	}
	l.reported = next
}
