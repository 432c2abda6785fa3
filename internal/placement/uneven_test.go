package placement_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/speed"
)

// setActualSpeeds gives the workers of a day the given speeds in turn, which decisions know if known is set.
func (d *simulatedDay) setActualSpeeds(known bool, speeds ...float64) {
	d.actualSpeeds = map[batch.Incarnation]float64{}
	estimates := map[batch.Incarnation]speed.Estimate{}
	for i := range hostCount {
		s := speeds[i%len(speeds)]
		d.actualSpeeds[incarnation(i)] = s
		estimates[incarnation(i)] = speed.NewEstimate(s, 0.1, d.now)
	}
	if known {
		d.speeds = speed.NewEstimates(estimates)
	}
}

// worthOfUnevenDays returns the mean worth of days on workers of the given speeds, and that of their urgent jobs.
func worthOfUnevenDays(t *testing.T, known bool, f faults, speeds ...float64) (all, urgentOnly float64) {
	t.Helper()
	const days = 12
	for seed := range uint64(days) {
		d := newSimulatedDay(t, seed)
		d.setActualSpeeds(known, speeds...)
		d.simulate(millClasses(), f)
		share, byQueue := d.creditShare()
		all += share / days
		urgentOnly += byQueue[urgent] / days
	}
	return all, urgentOnly
}

// Guards against speeds that are used to the harm of the whole: urgent gangs beside wide patient steps, on workers of
// which half are slow, and on workers of three speeds, calm and with a burst of large jobs.
func TestWorthOfUnevenDays(t *testing.T) {
	for name, speeds := range map[string][]float64{
		"half of the workers slow": {0.6, 1}, "workers of three speeds": {0.6, 1, 1.6},
	} {
		for load, f := range map[string]faults{"calm": {}, "burst of large jobs": {burst: map[string]float64{patient: 2.3, scans: 2.3}}} {
			t.Run(name+", "+load, func(t *testing.T) {
				all, urgentOnly := worthOfUnevenDays(t, true, f, speeds...)
				allBefore, urgentBefore := worthOfUnevenDays(t, false, f, speeds...)
				t.Logf("worth %.3f with speeds, %.3f without; urgent %.3f, %.3f", all, allBefore, urgentOnly, urgentBefore)
				assert.Greater(t, urgentOnly, urgentBefore)
				assert.Greater(t, all, allBefore)
			})
		}
	}
}
