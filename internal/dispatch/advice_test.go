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

// newAdvisedBench returns a bench with a job whose queue needs advice.
func newAdvisedBench(t *testing.T) *bench {
	b := newBench(t, 1)
	b.apply(batch.NewSubmit("other", "advised", "", nil, b.now))
	b.reconnect(1)
	return b
}

// turn lets half a second pass, takes a decision and commits what begins.
func (b *bench) turn() dispatch.Actions {
	b.now = b.now.Add(500 * time.Millisecond)
	b.core.Report(b.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(b.life, "s", "z", b.now.UnixMilli()).
		WithCapacity(batch.NewResources(1000, 1000, 8)).WithClock(b.now.Sub(epoch))))
	a := b.core.Step(b.now, b.state)
	b.apply(batch.NewEndRuns(b.now, a.Ends()...))
	if len(a.Groups()) > 0 {
		b.apply(batch.NewPlaceRuns(b.now, a.Groups()...))
		for _, g := range a.Groups() {
			b.core.Begun(g)
		}
	}
	return a
}

// untilAsked takes decisions until the advisor is asked.
func (b *bench) untilAsked() dispatch.Actions {
	for range 4 {
		if a := b.turn(); asks(a) {
			return a
		}
	}
	require.Fail(b.t, "the advisor is not asked")
	return dispatch.Actions{}
}

func asks(a dispatch.Actions) bool {
	_, ok := a.Inquiry()
	return ok
}

// ticket returns the ticket of the first start among the next orders.
func (b *bench) ticket() string {
	for range 3 {
		for _, o := range b.turn().Orders() {
			if s, ok := o.Order().(run.Start); ok && s.ID().Task().Job() == "other" {
				return s.Ticket()
			}
		}
	}
	return "none started"
}

// Guards against inquiries that overlap, tickets that are used when they are void, and advice that is asked for without
// end.
func TestAdvice(t *testing.T) {
	approved := []dispatch.Approval{dispatch.NewApproval("w", "c81e")}
	t.Run("one inquiry at a time, and the ticket with the start", func(t *testing.T) {
		b := newAdvisedBench(t)
		i, _ := b.untilAsked().Inquiry()
		assert.False(t, asks(b.turn()))
		b.core.Advised(b.now, i, approved, time.Minute)
		assert.Equal(t, "c81e", b.ticket())
	})
	t.Run("denied workers are not asked about again", func(t *testing.T) {
		b := newAdvisedBench(t)
		i, _ := b.untilAsked().Inquiry()
		b.core.Advised(b.now, i, nil, time.Minute)
		assert.False(t, asks(b.turn()))
		assert.Equal(t, "none started", b.ticket())
	})
	t.Run("a ticket that is too old is renewed first", func(t *testing.T) {
		b := newAdvisedBench(t)
		i, _ := b.untilAsked().Inquiry()
		b.core.Advised(b.now, i, approved, 600*time.Millisecond)
		b.now = b.now.Add(time.Second)
		assert.True(t, asks(b.turn()))
	})
	t.Run("no answer: asked again after a pause", func(t *testing.T) {
		b := newAdvisedBench(t)
		b.untilAsked()
		b.core.Unadvised(b.now.Add(200 * time.Millisecond))
		assert.False(t, asks(b.turn()))
		assert.True(t, asks(b.turn()))
	})
	t.Run("a refused ticket is forgotten", func(t *testing.T) {
		b := newAdvisedBench(t)
		i, _ := b.untilAsked().Inquiry()
		b.core.Advised(b.now, i, approved, time.Minute)
		require.Equal(t, "c81e", b.ticket())
		id := run.NewID(batch.NewTaskID("other", 0, 0, 0), 1)
		b.core.Report(b.now, run.NewReport("h").WithRefused([]run.Refusal{run.NewRefusal(id, "ticket")}))
		b.reconnect(1, id)
		assert.True(t, asks(b.untilAsked()))
	})
}
