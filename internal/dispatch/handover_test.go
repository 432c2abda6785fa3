package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/speed"
)

// speedsTold returns the speeds that the orders of a step tell, by agent.
func speedsTold(a dispatch.Actions) map[string]run.Speed {
	told := map[string]run.Speed{}
	for _, o := range a.Orders() {
		if renewal, ok := o.Order().(run.RenewLease); ok {
			if s, ok := renewal.Speed(); ok {
				told[o.Agent()] = s
			}
		}
	}
	return told
}

// elect replaces the leader by one that knows only the state and what the agents report.
func (f *unevenFleet) elect(told map[string]run.Speed) {
	f.core = dispatch.NewCore(dispatch.DefaultTiming(), 1, f.now)
	for n := range f.speeds {
		f.core.Connect(f.host(n), uint64(100+n))
		r := run.NewReport(f.host(n)).WithAnnouncement(run.NewAnnouncement(f.incarnation(n), "s", "z", f.now.UnixMilli()).
			WithRack("r", []string{"a", "r"}).WithCapacity(batch.NewResources(32_000, 64_000, 8)).WithClock(f.now.Sub(epoch)))
		if s, ok := told[f.host(n)]; ok {
			r = r.WithSpeed(s)
		}
		f.core.Report(f.now, r)
	}
}

// Guards against speeds that are lost with the leader: urgent gangs of the next seconds would run on slow workers again.
func TestSpeedsSurviveLeader(t *testing.T) {
	f := newUnevenFleet(t, 0.5, 1, 0.5, 1, 2, 1, 0.5, 2, 1, 0.5, 1, 2)
	for n := range 4 {
		f.spread(fmt.Sprintf("j%d", n), sameLength)
	}
	f.advance(0)
	f.advance(700 * time.Millisecond)
	told := speedsTold(f.advance(time.Second))
	assert.Len(t, told, len(f.speeds))
	assert.Empty(t, speedsTold(f.advance(time.Second)), "an agent is told again only what has changed")
	f.elect(told)
	f.submit("gang", "urgent", batch.NewStep(3, batch.NewResources(4000, 4000, 4), time.Second, batch.WithGang(true, true)))
	assert.Equal(t, []int{4, 7, 11}, f.workersOf(f.advance(100*time.Millisecond), "gang"))
}

// Guards against operators who cannot see which workers are slow.
func TestSpeedsCounted(t *testing.T) {
	f := newUnevenFleet(t, 0.5, 1, 0.5, 1, 2, 1, 0.5, 2, 1, 0.5, 1, 2)
	for n := range 4 {
		f.spread(fmt.Sprintf("j%d", n), sameLength)
	}
	f.advance(0)
	f.advance(700 * time.Millisecond)
	a := f.advance(time.Second)
	assert.Equal(t, map[speed.Class]int{speed.Slow: 4, speed.Normal: 5, speed.Fast: 3}, a.Speeds())
	var lines []string
	for range 12 {
		for _, d := range f.advance(time.Second).Decisions() {
			if d.Kind() == dispatch.SpeedsLearned {
				lines = append(lines, d.Reason())
			}
		}
	}
	assert.Equal(t, []string{"3 fast, 5 normal, 4 slow"}, lines)
}
