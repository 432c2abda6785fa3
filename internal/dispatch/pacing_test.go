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
	listPeriod    = time.Second     // interval between the worker's lists
	maxOverTarget = 4 * time.Second // longest time for which best-effort work may keep a serving task over its target
	latencyTarget = 100 * time.Millisecond
)

// pacingDecoder decodes one job with a serving task and one with a best-effort task.
type pacingDecoder struct{ declaration batch.Declaration }

func (d pacingDecoder) Declaration([]byte) (batch.Declaration, error) { return d.declaration, nil }

func (d pacingDecoder) Spec(id string, _ []byte) (batch.Spec, error) {
	if id == "serve" {
		return batch.NewSpec(id, "", batch.NewStep(1, batch.NewResources(1, 1, 0), 0, batch.WithLongRunning(true, 0), batch.WithImage("i", latencyTarget)))
	}
	return batch.NewSpec(id, "", batch.NewStep(1, batch.NewResources(1, 1, 0), time.Minute, batch.WithBestEffort(true)))
}

// sharedWorker is a worker with a serving and a best-effort task; the latency of the first rises with the pace of the
// second.
type sharedWorker struct {
	t           *testing.T
	core        *Core
	state       batch.State
	incarnation batch.Incarnation
	now         time.Time
	percent     int
	overTarget  time.Duration
	maxOver     time.Duration
	paceSum     int
}

func newSharedWorker(t *testing.T) *sharedWorker {
	t.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithObjective(3, time.Second, time.Second),
	}, []batch.Service{batch.NewService("s", false, false)}, nil)
	require.NoError(t, err)
	s := &sharedWorker{
		t: t, core: NewCore(DefaultTiming(), 1, start), incarnation: batch.NewIncarnation("h", "w", 1), now: start, percent: fullPace,
		state: batch.NewState(pacingDecoder{d}),
	}
	s.apply(batch.NewDeclare(nil))
	for _, id := range []string{"serve", "fill"} {
		s.apply(batch.NewSubmit(id, "q", "", nil, start))
		s.apply(batch.NewPlaceRuns(start, batch.NewGroup(s.id(id).Task(), batch.NewMember(0, 1, s.incarnation))))
	}
	s.core.Connect("h", 1)
	return s
}

func (s *sharedWorker) apply(c batch.Command) { s.state, _ = s.state.Apply(c) }

func (s *sharedWorker) id(job string) run.ID { return run.NewID(batch.NewTaskID(job, 0, 0, 0), 1) }

// advance reports a list every second, with a tail latency of idle plus impact at full pace, in milliseconds.
func (s *sharedWorker) advance(seconds int, idle, impact float64) {
	for range seconds {
		s.now = s.now.Add(listPeriod)
		latency := idle + impact*float64(s.percent)/fullPace
		if latency > float64(latencyTarget.Milliseconds()) && idle < float64(latencyTarget.Milliseconds()) {
			s.overTarget += listPeriod
		} else {
			s.overTarget = 0
		}
		s.maxOver = max(s.maxOver, s.overTarget)
		s.paceSum += s.percent
		s.core.Report(s.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(s.incarnation, "s", "z", s.now.UnixMilli()).
			WithClock(s.now.Sub(start))))
		s.core.Report(s.now, run.NewReport("h").WithList(run.NewList(s.incarnation, 1, s.now.Sub(start), []run.Running{
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

// Guards against best-effort tasks that keep a serving one over its target, and against best-effort tasks that never
// get the processor time that others leave idle.
func TestPacing(t *testing.T) {
	t.Run("slowed within the limit", func(t *testing.T) {
		s := newSharedWorker(t)
		s.advance(30, 40, 300)
		assert.Less(t, s.maxOver, maxOverTarget)
	})
	t.Run("sudden rise of the load", func(t *testing.T) {
		s := newSharedWorker(t)
		s.advance(20, 20, 40)
		s.advance(20, 70, 200)
		assert.Less(t, s.maxOver, maxOverTarget)
	})
	t.Run("full pace without effect on the latency", func(t *testing.T) {
		s := newSharedWorker(t)
		s.advance(30, 20, 20)
		assert.Equal(t, fullPace, s.percent)
	})
	t.Run("partial pace with a small effect on the latency", func(t *testing.T) {
		s := newSharedWorker(t)
		s.advance(60, 30, 120)
		assert.Greater(t, s.paceSum/60, 15)
		assert.Less(t, s.maxOver, maxOverTarget)
	})
	t.Run("no best-effort work beside an overloaded task", func(t *testing.T) {
		s := newSharedWorker(t)
		s.advance(10, 150, 10)
		assert.Zero(t, s.percent)
	})
}
