package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	listInterval = time.Second     // how often a worker's list comes
	longestHarm  = 4 * time.Second // how long a serving task may be over its target by what fills beside it
	target       = 100 * time.Millisecond
)

// pacer decodes one job that serves and one that fills.
type pacer struct{ declaration batch.Declaration }

func (d pacer) Declaration([]byte) (batch.Declaration, error) { return d.declaration, nil }

func (d pacer) Spec(id string, _ []byte) (batch.Spec, error) {
	if id == "serve" {
		return batch.NewSpec(id, "", batch.NewStep(1, batch.NewResources(1, 1, 0), 0, batch.WithLongRunning(true, 0), batch.WithImage("i", target)))
	}
	return batch.NewSpec(id, "", batch.NewStep(1, batch.NewResources(1, 1, 0), time.Minute, batch.WithBestEffort(true)))
}

// shared is a worker on which a task fills beside one that serves; its latency rises with the share of the filling one.
type shared struct {
	t       *testing.T
	core    *Core
	state   batch.State
	life    batch.Incarnation
	now     time.Time
	percent int
	over    time.Duration
	longest time.Duration
	filled  int
}

func newShared(t *testing.T) *shared {
	t.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithObjective(3, time.Second, time.Second),
	}, []batch.Service{batch.NewService("s", false, false)}, nil)
	require.NoError(t, err)
	s := &shared{
		t: t, core: NewCore(DefaultTiming(), 1, start), life: batch.NewIncarnation("h", "w", 1), now: start, percent: fullPace,
		state: batch.NewState(pacer{d}),
	}
	s.apply(batch.NewDeclare(nil))
	for _, id := range []string{"serve", "fill"} {
		s.apply(batch.NewSubmit(id, "q", "", nil, start))
		s.apply(batch.NewPlaceRuns(start, batch.NewGroup(s.id(id).Task(), batch.NewMember(0, 1, s.life))))
	}
	s.core.Connect("h", 1)
	return s
}

func (s *shared) apply(c batch.Command) { s.state, _ = s.state.Apply(c) }

func (s *shared) id(job string) run.ID { return run.NewID(batch.NewTaskID(job, 0, 0, 0), 1) }

// pass lets the worker list once a second, with a tail latency of idle plus harm at the full share, in milliseconds.
func (s *shared) pass(seconds int, idle, harm float64) {
	for range seconds {
		s.now = s.now.Add(listInterval)
		latency := idle + harm*float64(s.percent)/fullPace
		if latency > float64(target.Milliseconds()) && idle < float64(target.Milliseconds()) {
			s.over += listInterval
		} else {
			s.over = 0
		}
		s.longest = max(s.longest, s.over)
		s.filled += s.percent
		s.core.Report(s.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(s.life, "s", "z", s.now.UnixMilli()).
			WithClock(s.now.Sub(start))))
		s.core.Report(s.now, run.NewReport("h").WithList(run.NewList(s.life, 1, s.now.Sub(start), []run.Running{
			run.NewRunning(s.id("serve"), "", 100, int(latency)), run.NewRunning(s.id("fill"), "", 10, 1),
		}, nil, nil)))
		for _, o := range s.core.Step(s.now, s.state).Orders() {
			if p, ok := o.Order().(run.Pace); ok {
				assert.Equal(s.t, s.id("fill"), p.ID())
				s.percent = p.Percent()
			}
		}
	}
}

// Guards against tasks that fill and keep a serving one over its target, and against filling ones that never get what
// others leave over.
func TestPacing(t *testing.T) {
	t.Run("slowed before the harm lasts", func(t *testing.T) {
		s := newShared(t)
		s.pass(30, 40, 300)
		assert.Less(t, s.longest, longestHarm)
	})
	t.Run("load that rises suddenly", func(t *testing.T) {
		s := newShared(t)
		s.pass(20, 20, 40)
		s.pass(20, 70, 200)
		assert.Less(t, s.longest, longestHarm)
	})
	t.Run("full speed where it does no harm", func(t *testing.T) {
		s := newShared(t)
		s.pass(30, 20, 20)
		assert.Equal(t, fullPace, s.percent)
	})
	t.Run("some speed where it does a little", func(t *testing.T) {
		s := newShared(t)
		s.pass(60, 30, 120)
		assert.Greater(t, s.filled/60, 15)
		assert.Less(t, s.longest, longestHarm)
	})
	t.Run("overloaded by its own users: nothing fills", func(t *testing.T) {
		s := newShared(t)
		s.pass(10, 150, 10)
		assert.Zero(t, s.percent)
	})
}
