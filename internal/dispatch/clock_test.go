package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// announceClock reports the worker with a reading of its clock.
func (f *fixture) announceClock(clock time.Duration) {
	f.core.Report(f.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(f.incarnation, "s", "z", f.now.UnixMilli()).
		WithCapacity(batch.NewResources(1000, 1000, 8)).WithClock(clock)))
}

// grantedLease returns the reading of the worker's clock at which the next renewed lease ends.
func (f *fixture) grantedLease() time.Duration {
	for range 20 {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, o := range f.core.Step(f.now, f.state).Orders() {
			if r, ok := o.Order().(run.RenewLease); ok && r.Lease() > 0 {
				return r.Lease()
			}
		}
	}
	assert.Fail(f.t, "no lease is renewed")
	return 0
}

// Guards against leases that end too early, so that starts are refused as late and runs end, because an agent that was
// paused reports what its worker announced before the pause.
func TestStaleClockReading(t *testing.T) {
	const pause = 6 * time.Second
	f := newFixture(t, 1)
	f.now = epoch.Add(time.Second)
	f.announceClock(time.Second)
	f.now = f.now.Add(pause)
	f.announceClock(1500 * time.Millisecond)
	elapsed := time.Duration(0.98 * float64(f.now.Sub(epoch.Add(time.Second))))
	assert.GreaterOrEqual(t, f.grantedLease(), time.Second+elapsed+5*time.Second)
}
