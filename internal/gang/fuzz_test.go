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

// TestGangsFuzz guards P2 and the at-most-once rule of jobs against lost, delayed, duplicated and reordered orders,
// frozen, restarted and partitioned workers, clocks that are up to 4.7% slower or faster, and replaced leaders.
func TestGangsFuzz(t *testing.T) {
	steps := fuzzing.NewCounter(t)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(steps.CountActions(map[string]func(*rapid.T){
			"pass":     func(t *rapid.T) { s.advance(tick * time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks"))) },
			"wait":     func(*rapid.T) { s.advance(leaseDuration / 2) },
			"outlast":  func(*rapid.T) { s.advance(leaseDuration * 11 / 10) },
			"submit":   s.submit,
			"place":    func(*rapid.T) { s.place() },
			"cancel":   s.cancel,
			"reclaim":  s.reclaim,
			"throttle": s.throttle,
			"resume":   s.resume,
			"swing":    s.throttleRepeatedly,
			"strand":   s.reclaimUnreachable,
			"freeze":   func(t *rapid.T) { s.pickWorker(t).frozen = true },
			"thaw":     func(t *rapid.T) { s.pickWorker(t).frozen = false },
			"cut":      func(t *rapid.T) { s.pickWorker(t).partitioned = true },
			"heal":     func(t *rapid.T) { s.pickWorker(t).partitioned = false },
			"restart":  func(t *rapid.T) { s.restart(s.pickWorker(t)) },
			"depose":   func(*rapid.T) { s.hasLeader = false },
			"elect":    func(*rapid.T) { s.elect() },
			"replace":  func(*rapid.T) { s.hasLeader = false; s.advance(5 * time.Second); s.elect() },
			"": func(*rapid.T) {
				if s.hasLeader {
					s.place()
				}
				s.advance(5 * tick)
			},
		}))
		s.finish()
	})
}

func (s *simulation) pickWorker(t *rapid.T) *simulatedWorker {
	return s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(t, "worker")]
}

func (s *simulation) submit(t *rapid.T) {
	shape, err := workspace.NewShape(rapid.IntRange(1, 3).Draw(t, "members"), rapid.IntRange(1, acceleratorsPerWorker).Draw(t, "accelerators"),
		workspace.Anywhere)
	require.NoError(t, err)
	payload := rapid.SampledFrom([]string{"sleep 1s", "sleep 12s", "sleep 50s", "fail 9s"}).Draw(t, "payload")
	s.add(payload, rapid.Bool().Draw(t, "idempotent"), shape)
}

func (s *simulation) add(payload string, idempotent bool, shape workspace.Shape) {
	s.submitted++
	spec, err := job.NewSpec(fmt.Sprintf("j%d", s.submitted), "team", shape, s.now,
		job.WithIdempotent(idempotent), job.WithPayload(payload))
	require.NoError(s.t, err)
	s.commit(registry.NewSubmitJob("", spec, s.now))
	s.place()
}

func (s *simulation) cancel(t *rapid.T) {
	id := fmt.Sprintf("j%d", rapid.IntRange(1, s.submitted+1).Draw(t, "job"))
	s.commit(registry.NewCancelJob("", id, "", s.now))
}

func (s *simulation) reclaim(*rapid.T) {
	if ids := s.placed(); len(ids) > 0 {
		j, _ := s.state.Jobs().Get(ids[0])
		s.commit(registry.NewStopGang(ids[0], j.FencingToken(), "reclaimed"))
	}
}

// throttle starts to throttle the first started gang that may be throttled.
func (s *simulation) throttle(*rapid.T) {
	for _, id := range s.placed() {
		j, _ := s.state.Jobs().Get(id)
		if j.State() == job.Started && job.Throttling.Follows(j.Speed()) {
			s.commit(registry.NewThrottleGang(id, j.FencingToken(), job.Throttling, "reclaimed"))
			return
		}
	}
}

// resume resumes the throttled gangs whose accelerators are free.
func (s *simulation) resume(*rapid.T) {
	for _, id := range s.placed() {
		j, _ := s.state.Jobs().Get(id)
		free := s.free()
		for _, m := range j.Members() {
			free[m.Worker()] -= m.Accelerators()
		}
		if j.State() == job.Started && j.Speed() == job.Throttled && slices.Min(slices.Collect(maps.Values(free))) >= 0 {
			s.commit(registry.NewThrottleGang(id, j.FencingToken(), job.Resumed, "free again"))
		}
	}
}

// throttleRepeatedly throttles and resumes a gang several times, so that delayed and duplicated orders arrive after newer
// ones.
func (s *simulation) throttleRepeatedly(t *rapid.T) {
	shape, err := workspace.NewShape(rapid.IntRange(1, 3).Draw(t, "members"), 1, workspace.Anywhere)
	require.NoError(t, err)
	s.add("sleep 30s", true, shape)
	s.advance(2 * time.Second)
	for range rapid.IntRange(1, 6).Draw(t, "times") {
		s.throttle(t)
		s.advance(tick * time.Duration(rapid.IntRange(5, 40).Draw(t, "throttled")))
		s.resume(t)
		s.advance(tick * time.Duration(rapid.IntRange(5, 40).Draw(t, "resumed")))
	}
}

// reclaimUnreachable stops a gang whose workers are partitioned, so that only the ends of their leases release the
// accelerators.
func (s *simulation) reclaimUnreachable(*rapid.T) {
	ids := s.placed()
	if len(ids) == 0 {
		return
	}
	j, _ := s.state.Jobs().Get(ids[0])
	for _, m := range j.Members() {
		s.worker(m.Worker()).partitioned = true
	}
	s.commit(registry.NewStopGang(ids[0], j.FencingToken(), "reclaimed"))
	s.advance(leaseDuration * 11 / 10)
}

// restart replaces the process of a worker, which loses its tasks.
func (s *simulation) restart(w *simulatedWorker) {
	for _, r := range w.host.Reports() {
		if !r.State().Final() {
			s.oracle.recordLoss(reservation{r.ID().Job(), r.FencingToken()}, r.ID().Index(), s.now)
		}
	}
	w.host, w.frozen = standin.NewHost(acceleratorsPerWorker), false
	w.incarnation++
}

// finish heals all faults and requires that each job ends and no task runs afterwards.
func (s *simulation) finish() {
	for _, w := range s.workers {
		w.partitioned, w.frozen = false, false
	}
	s.elect()
	for range 3000 {
		s.resume(nil)
		s.place()
		s.advance(tick)
		if s.state.Unfinished().Len() == 0 {
			break
		}
		s.advance(9 * tick)
	}
	for id, j := range s.state.Unfinished().All() {
		require.Fail(s.t, "job does not end", "%s is %s: %s", id, j.State(), j.Reason())
	}
	for _, w := range s.workers {
		for _, r := range w.host.Reports() {
			require.NotEqual(s.t, task.Running, r.State(), "%s runs after all jobs ended", r.ID())
		}
	}
}
