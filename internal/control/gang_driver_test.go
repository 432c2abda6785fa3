package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/gang"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

func TestOutbox(t *testing.T) {
	t.Run("a worker that does not answer delays neither other workers nor its own stops", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		o := newOutbox(func(ctx context.Context, b batch) []task.Reply {
			if b.worker == "slow" && !b.stops {
				<-ctx.Done()
			}
			return make([]task.Reply, len(b.orders))
		})
		o.add("slow", 1, task.NewStart(task.NewID("a", 0), 1))
		o.flush(ctx)
		o.add("slow", 1, task.NewStart(task.NewID("b", 0), 1))
		o.add("slow", 1, task.NewStop(task.NewID("a", 0), 1, false))
		for i := range 40 {
			o.add("quick", 1, task.NewStop(task.NewID("c", i), 1, false))
		}
		o.flush(ctx)
		assertBatches(ctx, t, o, map[queueKey]int{{"slow", true}: 1, {"quick", true}: 40})
		assert.Len(t, o.waiting[queueKey{"slow", false}], 1, "the next batch waits for the one in flight")
	})
	t.Run("an order that waits is not sent after a stop of its member", func(t *testing.T) {
		o := newOutbox(func(_ context.Context, b batch) []task.Reply { return make([]task.Reply, len(b.orders)) })
		for token, id := range []string{"stopped", "kept"} {
			o.add("w", 1, task.NewStart(task.NewID(id, 0), 1))
			o.add("w", lease.FencingToken(1-token), task.NewStop(task.NewID(id, 0), 1, false))
		}
		o.flush(t.Context())
		assertBatches(t.Context(), t, o, map[queueKey]int{{"w", false}: 1, {"w", true}: 2})
	})
	t.Run("an order that is added again while it waits is sent once", func(t *testing.T) {
		o := newOutbox(func(_ context.Context, b batch) []task.Reply { return make([]task.Reply, len(b.orders)) })
		for range 3 {
			o.add("w", 1, task.NewStart(task.NewID("a", 0), 1))
		}
		o.flush(t.Context())
		assertBatches(t.Context(), t, o, map[queueKey]int{{"w", false}: 1})
	})
}

func TestOrderQuarantine(t *testing.T) {
	t.Run("a worker that does not answer orders is quarantined until it does", func(t *testing.T) {
		g := newTestGangDriver(t)
		lost, taken := []task.Reply{task.NewReply(task.Unanswered, "")}, []task.Reply{task.NewReply(task.Refused, "")}
		g.updateOrderQuarantine(batch{queueKey: queueKey{worker: "w1"}, replies: lost}, start)
		assertQuarantinedUntil(t, g, "w1", start.Add(minOrderQuarantine))
		g.updateOrderQuarantine(batch{queueKey: queueKey{worker: "w1"}, replies: lost}, start.Add(time.Second))
		assertQuarantinedUntil(t, g, "w1", start.Add(minOrderQuarantine))
		g.updateOrderQuarantine(batch{queueKey: queueKey{worker: "w1"}, replies: lost}, start.Add(minOrderQuarantine))
		assertQuarantinedUntil(t, g, "w1", start.Add(3*minOrderQuarantine))
		g.updateOrderQuarantine(batch{queueKey: queueKey{worker: "w1"}, replies: taken}, start.Add(minOrderQuarantine))
		assertQuarantinedUntil(t, g, "w1", time.Time{})
	})
}

// Guards against a gang that is started in an availability zone that was evacuated after its placement.
func TestEvacuatedGang(t *testing.T) {
	evacuate := func(t *testing.T, g *gangDriver, zone string) {
		t.Helper()
		requireApplied(t, g.control.board, registry.NewEvacuateZone("", zone, "", true, start))
	}
	t.Run("reserved", func(t *testing.T) {
		g := newTestGangDriver(t)
		g.sync(1, start)
		requireAccepted(t, g.control.rosterController, announced("w1", "a:1", 1, 0), 1, start)
		j := requirePlaced(t, g.control.board, "j1", "w1")
		g.sync(1, start)
		evacuate(t, g, "z2")
		g.sync(1, start)
		assertKeepsRunning(t, g, j, start)
		evacuate(t, g, "z1")
		g.sync(1, start)
		assertStops(t, g, j, "was evacuated", start)
	})
	t.Run("started, and its worker lost meanwhile", func(t *testing.T) {
		g := newTestGangDriver(t)
		g.sync(1, start)
		requireAccepted(t, g.control.rosterController, announced("w1", "a:1", 1, 0), 1, start)
		j := requireStarted(t, g.control.board, "j1", "w1")
		g.sync(1, start)
		g.control.rosterController.runDue(start.Add(2 * announceLease))
		evacuate(t, g, "z1")
		g.sync(1, start.Add(2*announceLease))
		assertStops(t, g, j, "was evacuated", start.Add(2*announceLease))
	})
	t.Run("evacuated before it is tracked", func(t *testing.T) {
		g := newTestGangDriver(t)
		g.sync(1, start)
		requireAccepted(t, g.control.rosterController, announced("w1", "a:1", 1, 0), 1, start)
		evacuate(t, g, "z1")
		j := requirePlaced(t, g.control.board, "j1", "w1")
		g.sync(1, start)
		assertStops(t, g, j, "was evacuated", start)
	})
}

func assertQuarantinedUntil(t *testing.T, g *gangDriver, worker string, until time.Time) {
	t.Helper()
	m, _ := g.control.board.orderQuarantines.Load().Get(worker)
	assert.Equal(t, until, m.until)
}

// assertBatches finishes as many batches as wanted and compares the number of orders of each queue.
func assertBatches(ctx context.Context, t *testing.T, o *outbox, want map[queueKey]int) {
	t.Helper()
	got := map[queueKey]int{}
	for range want {
		b := <-o.finished
		got[b.queueKey] += len(b.orders)
		o.finish(ctx, b)
	}
	assert.Equal(t, want, got)
}

func newTestGangDriver(t *testing.T) *gangDriver {
	t.Helper()
	c := &Control{options: defaults(), board: newBoard()}
	c.rosterController = newRosterController(c.board, announceLease, c.logger)
	shape, err := workspace.NewShape(1, 1, workspace.Anywhere)
	require.NoError(t, err)
	config, err := workspace.NewConfig([]workspace.Workspace{
		workspace.New("team", "team", shape, workspace.NewLimits(1, 1)),
	}, nil, nil)
	require.NoError(t, err)
	requireApplied(t, c.board, registry.NewApplyConfig("", workspace.Diff(workspace.EmptyConfig(), config), start))
	return newGangDriver(c)
}

func requireApplied(t *testing.T, b *Board, c registry.Command) registry.Accepted {
	t.Helper()
	next, r := registry.Apply(b.state.Load(), c)
	require.IsType(t, registry.Accepted{}, r)
	b.state.Publish(next)
	return r.(registry.Accepted)
}

// requirePlaced submits a job and reserves one accelerator on each worker.
func requirePlaced(t *testing.T, b *Board, id string, workers ...string) job.Job {
	t.Helper()
	shape, err := workspace.NewShape(len(workers), 1, workspace.Anywhere)
	require.NoError(t, err)
	spec, err := job.NewSpec(id, "team", shape, start)
	require.NoError(t, err)
	requireApplied(t, b, registry.NewSubmitJob("", spec, start))
	var members []job.Member
	for i, w := range workers {
		members = append(members, job.NewMember(i, w, 1))
	}
	requireApplied(t, b, registry.NewReserveGang(id, members, time.Minute))
	j, _ := b.state.Load().Jobs().Get(id)
	return j
}

func requireStarted(t *testing.T, b *Board, id string, workers ...string) job.Job {
	t.Helper()
	j := requirePlaced(t, b, id, workers...)
	requireApplied(t, b, registry.NewStartGang(id, j.FencingToken()))
	j, _ = b.state.Load().Jobs().Get(id)
	return j
}

func assertStops(t *testing.T, g *gangDriver, j job.Job, reason string, now time.Time) {
	t.Helper()
	actions := gang.Step(j, g.jobs[j.Spec().ID()].progress, now)
	require.Len(t, actions, 1)
	require.IsType(t, gang.Stop{}, actions[0])
	assert.Contains(t, actions[0].(gang.Stop).Reason(), reason)
}

func assertKeepsRunning(t *testing.T, g *gangDriver, j job.Job, now time.Time) {
	t.Helper()
	for _, a := range gang.Step(j, g.jobs[j.Spec().ID()].progress, now) {
		assert.IsType(t, gang.Send{}, a)
	}
}
