package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// benchJobs gangs of benchMembers tasks each make 42,000 running tasks.
const (
	benchJobs    = 2000
	benchMembers = 21
	benchWorkers = 7200
)

// BenchmarkDriver measures passes of the gang driver over 42,000 running tasks and 8,100 finished jobs.
func BenchmarkDriver(b *testing.B) {
	g, now := newBusyGangDriver(b), start.Add(time.Second)
	b.Run("nothing changed", func(b *testing.B) {
		for b.Loop() {
			g.pass(b.Context(), 1, now)
		}
	})
	b.Run("one worker reports", func(b *testing.B) {
		for b.Loop() {
			list := []task.Report{task.NewReport(task.NewID("j0", 0), 1, task.Running)}
			g.control.board.reports.Publish(g.control.board.reports.Load().With("w0", list))
			g.pass(b.Context(), 1, now)
		}
	})
	b.Run("one job is submitted", func(b *testing.B) {
		n := 0
		for b.Loop() {
			n++
			requireState(b, g.control.board, registry.NewSubmitJob("", benchSpec(b, fmt.Sprintf("s%d", n%50), 1), start))
			g.pass(b.Context(), 1, now)
		}
	})
	b.Run("a request's key is claimed", func(b *testing.B) {
		n := 0
		for b.Loop() {
			n++
			requireState(b, g.control.board, registry.NewClaimKey("team", fmt.Sprint(n%1000), "f", now, now))
			g.pass(b.Context(), 1, now)
		}
	})
}

// newBusyGangDriver returns a driver that tracks benchJobs running gangs and whose orders are never answered.
func newBusyGangDriver(b *testing.B) *gangDriver {
	b.Helper()
	c := &Control{options: defaults(), board: newBoard()}
	c.rosterController = newRosterController(c.board, announceLease, c.logger)
	shape, err := workspace.NewShape(1, 1, workspace.Anywhere)
	require.NoError(b, err)
	config, err := workspace.NewConfig([]workspace.Workspace{
		workspace.New("team", "team", shape, workspace.NewLimits(1, 1)),
	}, nil, nil)
	require.NoError(b, err)
	requireState(b, c.board, registry.NewApplyConfig("", workspace.Diff(workspace.EmptyConfig(), config), start))
	for i := range benchWorkers {
		name := fmt.Sprintf("w%d", i)
		c.rosterController.accept(announced(name, "a:1", 1, 0), 1, start)
	}
	c.rosterController.runDue(start.Add(publishDelay))
	for i := range benchJobs {
		id := fmt.Sprintf("j%d", i)
		requireState(b, c.board, registry.NewSubmitJob("", benchSpec(b, id, benchMembers), start))
		var members []job.Member
		for k := range benchMembers {
			members = append(members, job.NewMember(k, fmt.Sprintf("w%d", (i*benchMembers+k)%benchWorkers), 1))
		}
		requireState(b, c.board, registry.NewReserveGang(id, members, time.Minute))
		j, _ := c.board.state.Load().Jobs().Get(id)
		requireState(b, c.board, registry.NewStartGang(id, j.FencingToken()))
	}
	for i := range 8100 {
		id := fmt.Sprintf("d%d", i)
		requireState(b, c.board, registry.NewSubmitJob("", benchSpec(b, id, 1), start))
		requireState(b, c.board, registry.NewEndJob(id, 0, job.Rejected, "no free capacity", start))
	}
	g := newGangDriver(c)
	g.outbox = newOutbox(func(ctx context.Context, _ batch) []task.Reply {
		<-ctx.Done()
		return nil
	})
	g.pass(b.Context(), 1, start)
	return g
}

func benchSpec(tb testing.TB, id string, members int) job.Spec {
	tb.Helper()
	shape, err := workspace.NewShape(members, 1, workspace.Anywhere)
	require.NoError(tb, err)
	spec, err := job.NewSpec(id, "team", shape, start)
	require.NoError(tb, err)
	return spec
}

func requireState(tb testing.TB, b *Board, c registry.Command) {
	tb.Helper()
	next, _ := registry.Apply(b.state.Load(), c)
	b.state.Publish(next)
}
