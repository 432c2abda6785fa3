package runner

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/run"
)

// Guards against a run that begins after the leader has given it up: an agent that was paused reads the start order when
// its lease has ended, and the worker, which has restarted under the same ID, cannot tell that from its own clock.
func TestLateStart(t *testing.T) {
	const lease = 5 * time.Second
	assertCallsAfter := func(t *testing.T, pause time.Duration, want ...string) {
		t.Helper()
		w := &busyWorker{starts: []error{nil}, stops: []error{nil}}
		l := newLoop(New("h", w, nil, nil, hclog.NewNullLogger()))
		announce(l, 0, announced(first).WithClock(time.Minute))
		o := run.NewStart(task, first, "", "", time.Minute+lease)
		l.handle(t.Context(), epoch.Add(pause), orderInput{envelope: run.NewEnvelope(1, o)})
		awaitResult(t, l)
		assert.Equal(t, want, w.calls)
	}
	t.Run("read in time", func(t *testing.T) { assertCallsAfter(t, lease-time.Second, "start") })
	t.Run("read after the end of the lease", func(t *testing.T) { assertCallsAfter(t, lease+time.Second, "stop") })
	t.Run("read after a later reading of the clock", func(t *testing.T) {
		c := workerClock{}
		c.observe(time.Minute, epoch)
		c.observe(time.Minute+lease, epoch.Add(lease/2))
		assert.True(t, c.ended(epoch.Add(lease), time.Minute+lease))
		assert.False(t, c.ended(epoch.Add(lease), time.Minute+2*lease))
	})
	t.Run("the clock is not known", func(t *testing.T) {
		assert.False(t, (&workerClock{}).ended(epoch, lease))
	})
}
