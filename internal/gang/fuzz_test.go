package gang_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/fuzzing"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/standin"
	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// TestGangsFuzz guards P2 and the at-most-once rule of jobs against lost, late, doubled and reordered orders,
// frozen, restarted and partitioned workers, clocks that differ by 4.7% each way, and leaders that are replaced.
func TestGangsFuzz(t *testing.T) {
	steps := fuzzing.NewCounter(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(steps.Actions(map[string]func(*rapid.T){
			"pass":     func(t *rapid.T) { w.advance(tick * time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks"))) },
			"wait":     func(*rapid.T) { w.advance(leaseLength / 2) },
			"outlast":  func(*rapid.T) { w.advance(leaseLength * 11 / 10) },
			"submit":   w.submit,
			"place":    func(*rapid.T) { w.place() },
			"cancel":   w.cancel,
			"reclaim":  w.reclaim,
			"throttle": w.throttle,
			"resume":   w.resume,
			"swing":    w.swing,
			"strand":   w.strand,
			"freeze":   func(t *rapid.T) { w.pick(t).frozen = true },
			"thaw":     func(t *rapid.T) { w.pick(t).frozen = false },
			"cut":      func(t *rapid.T) { w.pick(t).cut = true },
			"heal":     func(t *rapid.T) { w.pick(t).cut = false },
			"restart":  func(t *rapid.T) { w.restart(w.pick(t)) },
			"depose":   func(*rapid.T) { w.leads = false },
			"elect":    func(*rapid.T) { w.elect() },
			"replace":  func(*rapid.T) { w.leads = false; w.advance(5 * time.Second); w.elect() },
			"": func(*rapid.T) {
				if w.leads {
					w.place()
				}
				w.advance(5 * tick)
			},
		}))
		w.settle()
	})
}

func (w *world) pick(t *rapid.T) *machine {
	return w.machines[rapid.IntRange(0, len(w.machines)-1).Draw(t, "worker")]
}

func (w *world) submit(t *rapid.T) {
	shape, err := workspace.NewShape(rapid.IntRange(1, 3).Draw(t, "members"), rapid.IntRange(1, capacity).Draw(t, "accelerators"),
		workspace.Anywhere)
	require.NoError(t, err)
	payload := rapid.SampledFrom([]string{"sleep 1s", "sleep 12s", "sleep 50s", "fail 9s"}).Draw(t, "payload")
	w.add(payload, rapid.Bool().Draw(t, "idempotent"), shape)
}

func (w *world) add(payload string, idempotent bool, shape workspace.Shape) {
	w.jobs++
	spec, err := job.NewSpec(fmt.Sprintf("j%d", w.jobs), "team", shape, w.now,
		job.WithIdempotent(idempotent), job.WithPayload(payload))
	require.NoError(w.t, err)
	w.commit(registry.NewSubmitJob("", spec, w.now))
	w.place()
}

func (w *world) cancel(t *rapid.T) {
	id := fmt.Sprintf("j%d", rapid.IntRange(1, w.jobs+1).Draw(t, "job"))
	w.commit(registry.NewCancelJob("", id, "", w.now))
}

func (w *world) reclaim(*rapid.T) {
	if ids := w.placed(); len(ids) > 0 {
		j, _ := w.state.Jobs().Get(ids[0])
		w.commit(registry.NewStopGang(ids[0], j.FencingToken(), "reclaimed"))
	}
}

// throttle has the first started gang give its accelerators up for a while.
func (w *world) throttle(*rapid.T) {
	for _, id := range w.placed() {
		j, _ := w.state.Jobs().Get(id)
		if j.State() == job.Started && job.Throttling.Follows(j.Speed()) {
			w.commit(registry.NewThrottleGang(id, j.FencingToken(), job.Throttling, "reclaimed"))
			return
		}
	}
}

// resume gives the throttled gangs whose accelerators are free their accelerators back.
func (w *world) resume(*rapid.T) {
	for _, id := range w.placed() {
		j, _ := w.state.Jobs().Get(id)
		free := w.free()
		for _, m := range j.Members() {
			free[m.Worker()] -= m.Accelerators()
		}
		if j.State() == job.Started && j.Speed() == job.Throttled && slices.Min(slices.Collect(maps.Values(free))) >= 0 {
			w.commit(registry.NewThrottleGang(id, j.FencingToken(), job.Resumed, "free again"))
		}
	}
}

// swing throttles and resumes a gang again and again, so that late and doubled orders meet newer ones.
func (w *world) swing(t *rapid.T) {
	shape, err := workspace.NewShape(rapid.IntRange(1, 3).Draw(t, "members"), 1, workspace.Anywhere)
	require.NoError(t, err)
	w.add("sleep 30s", true, shape)
	w.advance(2 * time.Second)
	for range rapid.IntRange(1, 6).Draw(t, "times") {
		w.throttle(t)
		w.advance(tick * time.Duration(rapid.IntRange(5, 40).Draw(t, "throttled")))
		w.resume(t)
		w.advance(tick * time.Duration(rapid.IntRange(5, 40).Draw(t, "resumed")))
	}
}

// strand reclaims a gang whose workers cannot be reached, so that only the ends of their leases free them.
func (w *world) strand(*rapid.T) {
	ids := w.placed()
	if len(ids) == 0 {
		return
	}
	j, _ := w.state.Jobs().Get(ids[0])
	for _, m := range j.Members() {
		w.find(m.Worker()).cut = true
	}
	w.commit(registry.NewStopGang(ids[0], j.FencingToken(), "reclaimed"))
	w.advance(leaseLength * 11 / 10)
}

// restart loses the tasks of a worker.
func (w *world) restart(m *machine) {
	for _, r := range m.host.Reports() {
		if !r.State().Final() {
			w.oracle.lost(run{r.ID().Job(), r.FencingToken()}, r.ID().Index(), w.now)
		}
	}
	m.host, m.frozen = standin.NewHost(capacity), false
	m.life++
}

// settle heals everything and requires that each job ends.
func (w *world) settle() {
	for _, m := range w.machines {
		m.cut, m.frozen = false, false
	}
	w.elect()
	for range 3000 {
		w.resume(nil)
		w.place()
		w.advance(tick)
		if w.state.Unfinished().Len() == 0 {
			break
		}
		w.advance(9 * tick)
	}
	for id, j := range w.state.Unfinished().All() {
		require.Fail(w.t, "job does not end", "%s is %s: %s", id, j.State(), j.Reason())
	}
	for _, m := range w.machines {
		for _, r := range m.host.Reports() {
			require.NotEqual(w.t, task.Running, r.State(), "%s runs after all jobs ended", r.ID())
		}
	}
}
