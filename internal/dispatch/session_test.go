package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// starts lets a moment pass and returns the runs that the leader orders to start.
func (b *bench) starts() (ids []run.ID) {
	b.now = b.now.Add(100 * time.Millisecond)
	for _, o := range b.core.Step(b.now, b.state).Orders() {
		if s, ok := o.Order().(run.Start); ok {
			ids = append(ids, s.ID())
		}
	}
	return ids
}

// reconnect opens another session of the agent, which lists no run.
func (b *bench) reconnect(session uint64, settled ...run.ID) {
	b.core.Connect("h", session)
	b.core.Report(b.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(b.life, "s", "z", b.now.UnixMilli()).
		WithClock(b.now.Sub(epoch))).WithList(run.NewList(b.life, 1, b.now.Sub(epoch), nil, nil, settled)))
}

// Guards against a run that waits for seconds because the order to start it was lost with its agent's session.
func TestStartLostWithSession(t *testing.T) {
	group := batch.NewGroup(batch.NewTaskID("j", 0, 0, 0), batch.NewMember(0, 1, batch.NewIncarnation("h", "w", 1)))
	id := run.NewID(batch.NewTaskID("j", 0, 0, 0), 1)
	begin := func(t *testing.T) *bench {
		b := newBench(t, 1)
		b.reconnect(1)
		b.core.Begun(group)
		assert.Equal(t, []run.ID{id}, b.starts())
		return b
	}
	t.Run("ordered again in the next one", func(t *testing.T) {
		b := begin(t)
		assert.Empty(t, b.starts())
		b.reconnect(2)
		b.starts()
		assert.Equal(t, []run.ID{id}, b.starts())
		assert.Empty(t, b.starts())
	})
	t.Run("not if it was answered", func(t *testing.T) {
		b := begin(t)
		b.reconnect(2, id)
		assert.Empty(t, b.starts())
		assert.Empty(t, b.starts())
	})
}
