package rosemarywind

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/agent"
	"rosemarywind.example/rosemarywind/internal/control"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/task"
)

// lossStopLimit bounds the time from the loss of a member until the others are stopped, without a control host.
const lossStopLimit = 6 * time.Second

// TestMembersWatchEachOther guards against a gang that continues without some of its members while no control host is
// reachable. Without the watch between the members, only the end of the task lease of 30 s would stop the others.
func TestMembersWatchEachOther(t *testing.T) {
	t.Run("a lost member stops the others", func(t *testing.T) { assertLossStops(t, 2, 0, 1) })
	t.Run("a lost hub stops the others", func(t *testing.T) { assertLossStops(t, 0, 1, 2) })
}

// TestGangOutlivesLeader guards against a change of leader that stops running gangs, or after which the new leader does
// not renew their task leases.
func TestGangOutlivesLeader(t *testing.T) {
	s, stops := requireStoppableSystem(t, 3, WithTaskLease(6*time.Second))
	before := requireGang(t, s)
	leader := slices.Index(s.controls, requireLeader(t, s, s.controls))
	stops[leader]()
	others := slices.Delete(slices.Clone(s.controls), leader, leader+1)
	next := requireLeader(t, s, others)
	select {
	case <-time.After(2 * 6 * time.Second):
	case <-t.Context().Done():
	}
	j, _ := next.Board().State().Load().Jobs().Get(before.Spec().ID())
	assert.Equal(t, job.Started, j.State(), j.Reason())
	assert.Equal(t, before.FencingToken(), j.FencingToken())
	for _, a := range s.agents {
		requireTask(t, a, task.Running, time.Second)
	}
}

// assertLossStops runs a gang on three workers, stops the control host, and then stops the worker of the member lost.
// It checks that the members others are stopped within lossStopLimit.
func assertLossStops(t *testing.T, lost int, others ...int) {
	t.Helper()
	s, stops := requireStoppableSystem(t, 1)
	workers := make([]int, 3) // the index in s.agents of each member's worker
	for i, m := range requireGang(t, s).Members() {
		_, _ = fmt.Sscanf(m.Worker(), "w%d", &workers[i])
		workers[i]--
		requireTask(t, s.agents[workers[i]], task.Running, startLimit)
	}
	stops[0]()
	select {
	case <-time.After(lossStopLimit):
	case <-t.Context().Done():
	}
	for _, i := range others {
		assert.Equal(t, task.Running, s.agents[workers[i]].Board().Tasks().Load()[0].State(), "other members before the loss")
	}
	stops[1+workers[lost]]()
	start := time.Now()
	for _, i := range others {
		requireTask(t, s.agents[workers[i]], task.Stopped, lossStopLimit)
	}
	t.Logf("stopped after %s, limit %s", time.Since(start).Round(time.Millisecond), lossStopLimit)
	assert.LessOrEqual(t, time.Since(start), lossStopLimit)
}

const startLimit = 20 * time.Second

// requireStoppableSystem runs a system with three workers. The functions stops stop one host each: first the control
// hosts, then the workers.
func requireStoppableSystem(t *testing.T, controls int, opts ...Option) (s *System, stops []context.CancelFunc) {
	t.Helper()
	s, err := New(time.Now(), append(opts, WithFolder(t.TempDir()), WithHosts(controls, 0, 3))...)
	require.NoError(t, err)
	var hostFuncs [][]func(context.Context) error
	for i := range controls {
		hostFuncs = append(hostFuncs, s.roleFuncs[i:i+1])
	}
	for i := controls; i < len(s.roleFuncs); i += 2 { // the functions of a stand-in and of its agent
		hostFuncs = append(hostFuncs, s.roleFuncs[i:i+2])
	}
	var g errgroup.Group
	for _, funcs := range hostFuncs {
		ctx, cancel := context.WithCancel(context.Background())
		stops = append(stops, cancel)
		for _, f := range funcs {
			g.Go(func() error { return f(ctx) })
		}
	}
	t.Cleanup(func() {
		for _, f := range stops {
			f()
		}
		assert.NoError(t, g.Wait())
	})
	requireLeader(t, s, s.controls)
	return s, stops
}

// requireLeader waits until all workers have announced themselves to one of the control hosts, and returns it.
func requireLeader(t *testing.T, s *System, candidates []*control.Control) *control.Control {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	found := make(chan *control.Control, len(candidates))
	for _, c := range candidates {
		go func() {
			for ctx.Err() == nil {
				r, changed := c.Board().Roster().Watch()
				if r.Snapshot().Len() == len(s.agents) {
					found <- c
					return
				}
				select {
				case <-changed:
				case <-ctx.Done():
				}
			}
		}()
	}
	select {
	case c := <-found:
		return c
	case <-ctx.Done():
		require.Fail(t, "timed out waiting for a control host with the announcements of all workers")
		return nil
	}
}

// requireGang submits a job with a member on each of the three workers, and waits until it is started.
func requireGang(t *testing.T, s *System) job.Job {
	t.Helper()
	requireDeclared(t, s, "team")
	id := requireSubmitted(t, s, "team", 3, "idempotent")
	for {
		state, changed := s.controls[0].Board().State().Watch()
		if j, _ := state.Jobs().Get(id); j.State() == job.Started {
			return j
		}
		requireChange(t, changed)
	}
}

// requireTask waits until an agent's worker has exactly one task and it is in the given state.
func requireTask(t *testing.T, a *agent.Agent, want task.State, limit time.Duration) {
	t.Helper()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		list, changed := a.Board().Tasks().Watch()
		if len(list) == 1 && list[0].State() == want {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			require.Fail(t, "timed out waiting for a task", "want %s, have %v", want, list)
		}
	}
}
