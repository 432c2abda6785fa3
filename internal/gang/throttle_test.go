package gang_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/task"
)

// TestThrottle guards against a leader that counts a member as throttled, or as resumed, although a later order has
// changed its speed or an earlier one may still do so, and against one that renews the lease of a member that does not
// accept its speed.
func TestThrottle(t *testing.T) {
	t.Run("a late acceptance of an older order does not change the speed", func(t *testing.T) {
		d := newDriver(t, 1)
		first := d.throttle(t, job.Throttling)
		d.accept(first)
		second := d.throttle(t, job.Resumed)
		third := d.throttle(t, job.Throttling)
		d.accept(third)
		d.accept(second)
		assertPercent(t, d.throttle(t, job.Resumed), 100)
	})
	t.Run("a member does not count as throttled while an order to resume may still arrive", func(t *testing.T) {
		d := newDriver(t, 1)
		d.accept(d.throttle(t, job.Throttling))
		d.throttle(t, job.Resumed)
		assertPercent(t, d.throttle(t, job.Throttling), 0)
	})
	t.Run("the lease of a member that does not accept its speed is not renewed", func(t *testing.T) {
		d := newDriver(t, 2)
		d.accept(d.throttle(t, job.Throttling))
		for range 10 {
			d.now = d.now.Add(leaseDuration / 20)
			for _, o := range d.step() {
				_, renews := o.(task.Renew)
				assert.False(t, renews && task.IDOf(o).Index() == 1, "member 1 is renewed")
				if task.IDOf(o).Index() == 0 {
					d.accept(o)
				}
			}
		}
	})
}

func assertPercent(t *testing.T, o task.Order, percent int) {
	t.Helper()
	throttle, ok := o.(task.Throttle)
	require.True(t, ok, "%T", o)
	assert.Equal(t, percent, throttle.Percent())
}
