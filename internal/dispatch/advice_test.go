package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// newAdviceFixture returns a fixture with a job whose queue requires advice.
func newAdviceFixture(t *testing.T) *fixture {
	f := newFixture(t, 1)
	f.apply(batch.NewSubmit("other", "advised", "", nil, f.now))
	f.reconnect(1)
	return f
}

// stepLater advances time by half a second, runs a step and commits the runs that end and begin.
func (f *fixture) stepLater() dispatch.Actions {
	f.now = f.now.Add(500 * time.Millisecond)
	f.core.Report(f.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(f.incarnation, "s", "z", f.now.UnixMilli()).
		WithCapacity(batch.NewResources(1000, 1000, 8)).WithClock(f.now.Sub(epoch))))
	a := f.core.Step(f.now, f.state)
	f.apply(batch.NewEndRuns(f.now, a.Ends()...))
	if len(a.Groups()) > 0 {
		f.apply(batch.NewPlaceRuns(f.now, a.Groups()...))
		for _, g := range a.Groups() {
			f.core.RunsCommitted(g)
		}
	}
	return a
}

// stepUntilInquiry runs steps until one has an inquiry.
func (f *fixture) stepUntilInquiry() dispatch.Actions {
	for range 4 {
		if a := f.stepLater(); hasInquiry(a) {
			return a
		}
	}
	require.Fail(f.t, "no step has an inquiry")
	return dispatch.Actions{}
}

func hasInquiry(a dispatch.Actions) bool {
	_, ok := a.Inquiry()
	return ok
}

// ticket returns the ticket of the next start of job other.
func (f *fixture) ticket() string {
	for range 3 {
		for _, o := range f.stepLater().Orders() {
			if s, ok := o.Order().(run.Start); ok && s.ID().Task().Job() == "other" {
				return s.Ticket()
			}
		}
	}
	return "none started"
}

// Guards against overlapping inquiries, the use of expired or refused tickets, repeated inquiries about the same workers,
// and a task that never runs because its start cannot be ordered again without a valid ticket.
func TestAdvice(t *testing.T) {
	approved := []dispatch.Approval{dispatch.NewApproval("w", "c81e")}
	t.Run("one inquiry at a time, and the start carries the ticket", func(t *testing.T) {
		f := newAdviceFixture(t)
		i, _ := f.stepUntilInquiry().Inquiry()
		assert.False(t, hasInquiry(f.stepLater()))
		f.core.AdviceReceived(f.now, i, approved, time.Minute)
		assert.Equal(t, "c81e", f.ticket())
	})
	t.Run("no second inquiry about denied workers", func(t *testing.T) {
		f := newAdviceFixture(t)
		i, _ := f.stepUntilInquiry().Inquiry()
		f.core.AdviceReceived(f.now, i, nil, time.Minute)
		assert.False(t, hasInquiry(f.stepLater()))
		assert.Equal(t, "none started", f.ticket())
	})
	t.Run("an expired ticket is renewed before the start", func(t *testing.T) {
		f := newAdviceFixture(t)
		i, _ := f.stepUntilInquiry().Inquiry()
		f.core.AdviceReceived(f.now, i, approved, 600*time.Millisecond)
		f.now = f.now.Add(time.Second)
		assert.True(t, hasInquiry(f.stepLater()))
	})
	t.Run("a failed inquiry is repeated after a pause", func(t *testing.T) {
		f := newAdviceFixture(t)
		f.stepUntilInquiry()
		f.core.AdviceFailed(f.now.Add(200 * time.Millisecond))
		assert.False(t, hasInquiry(f.stepLater()))
		assert.True(t, hasInquiry(f.stepLater()))
	})
	t.Run("a refused ticket is dropped", func(t *testing.T) {
		f := newAdviceFixture(t)
		i, _ := f.stepUntilInquiry().Inquiry()
		f.core.AdviceReceived(f.now, i, approved, time.Minute)
		require.Equal(t, "c81e", f.ticket())
		id := run.NewID(batch.NewTaskID("other", 0, 0, 0), 1)
		f.core.Report(f.now, run.NewReport("h").WithRefused([]run.Refusal{run.NewRefusal(id, laterOrder, "ticket")}))
		f.reconnect(1, settledBy(laterOrder, id)...)
		assert.True(t, hasInquiry(f.stepUntilInquiry()))
	})
	t.Run("a start that is ordered again needs a valid ticket", func(t *testing.T) {
		f := newAdviceFixture(t)
		i, _ := f.stepUntilInquiry().Inquiry()
		f.core.AdviceReceived(f.now, i, approved, 2*time.Second)
		require.Equal(t, "c81e", f.ticket())
		f.now = f.now.Add(2 * time.Second)
		f.reconnect(2)
		f.assertStopOrdered(run.NewID(batch.NewTaskID("other", 0, 0, 0), 1))
	})
	t.Run("a refusal of an earlier ticket does not drop the later one", func(t *testing.T) {
		f := newAdviceFixture(t)
		i, _ := f.stepUntilInquiry().Inquiry()
		f.core.AdviceReceived(f.now, i, approved, time.Minute)
		require.Equal(t, "c81e", f.ticket())
		id := run.NewID(batch.NewTaskID("other", 0, 0, 0), 1)
		f.core.Report(f.now, run.NewReport("h").WithRefused([]run.Refusal{run.NewRefusal(id, run.OrderID{}, "ticket")}))
		f.reconnect(2)
		assert.Equal(t, "c81e", f.ticket())
	})
}
