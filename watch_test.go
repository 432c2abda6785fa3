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

// lossBound is how soon the loss of a member must stop the others without control.
const lossBound = 6 * time.Second

// TestMembersWatchEachOther guards against a gang that runs on with a part of its members behind a partition
// of control; the task lease of 30 s would stop it much later.
func TestMembersWatchEachOther(t *testing.T) {
	t.Run("a lost member stops the others", func(t *testing.T) { assertLossStops(t, 2, 0, 1) })
	t.Run("a lost hub stops the others", func(t *testing.T) { assertLossStops(t, 0, 1, 2) })
}

// TestGangOutlivesLeader guards against a change of leader that stops running gangs, or after which
// nobody renews their leases.
func TestGangOutlivesLeader(t *testing.T) {
	s, stops := requireSplit(t, 3, WithTaskLease(6*time.Second))
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

// assertLossStops runs a gang of three workers, takes control away, and then the worker lost.
func assertLossStops(t *testing.T, lost int, others ...int) {
	t.Helper()
	s, stops := requireSplit(t, 1)
	order := make([]int, 3) // the system's worker of each member
	for i, m := range requireGang(t, s).Members() {
		_, _ = fmt.Sscanf(m.Worker(), "w%d", &order[i])
		order[i]--
		requireTask(t, s.agents[order[i]], task.Running, startLimit)
	}
	stops[0]()
	select {
	case <-time.After(lossBound):
	case <-t.Context().Done():
	}
	for _, i := range others {
		assert.Equal(t, task.Running, s.agents[order[i]].Board().Tasks().Load()[0].State(), "the gang is whole")
	}
	stops[1+order[lost]]()
	began := time.Now()
	for _, i := range others {
		requireTask(t, s.agents[order[i]], task.Stopped, lossBound)
	}
	t.Logf("stopped after %s, bound %s", time.Since(began).Round(time.Millisecond), lossBound)
	assert.LessOrEqual(t, time.Since(began), lossBound)
}

const startLimit = 20 * time.Second

// requireSplit runs a system whose control hosts and three workers can be stopped one by one, in this order.
func requireSplit(t *testing.T, controls int, opts ...Option) (s *System, stops []context.CancelFunc) {
	t.Helper()
	s, err := New(time.Now(), append(opts, WithFolder(t.TempDir()), WithHosts(controls, 0, 3))...)
	require.NoError(t, err)
	var parts [][]func(context.Context) error
	for i := range controls {
		parts = append(parts, s.runs[i:i+1])
	}
	for i := controls; i < len(s.runs); i += 2 { // a stand-in and its agent
		parts = append(parts, s.runs[i:i+2])
	}
	var g errgroup.Group
	for _, runs := range parts {
		ctx, cancel := context.WithCancel(context.Background())
		stops = append(stops, cancel)
		for _, f := range runs {
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

// requireLeader returns the control host that all workers announce themselves to.
func requireLeader(t *testing.T, s *System, among []*control.Control) *control.Control {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	found := make(chan *control.Control, len(among))
	for _, c := range among {
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
		require.Fail(t, "no control host knows all workers")
		return nil
	}
}

// requireGang has control run a job with a member on each worker.
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

// requireTask waits until the only task of an agent's worker is in a state.
func requireTask(t *testing.T, a *agent.Agent, want task.State, bound time.Duration) {
	t.Helper()
	limit := time.NewTimer(bound)
	defer limit.Stop()
	for {
		list, changed := a.Board().Tasks().Watch()
		if len(list) == 1 && list[0].State() == want {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			require.Fail(t, "not in time", "want %s, have %v", want, list)
		}
	}
}
