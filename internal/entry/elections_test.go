package entry_test

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Guards against an entry that waits for the timeout of a crashed or frozen leader although another control host has
// reported the next leader. The old leader keeps sending heartbeats, so only the notice of the election can end the
// watch.
func TestElections(t *testing.T) {
	t.Run("the entry follows the elected leader", func(t *testing.T) {
		et := newElectionTest(t)
		et.next.announceElection(2, et.next)
		requireFollows(t, et.testEntry, et.next)
	})
	t.Run("any control host may report the leader", func(t *testing.T) {
		et := newElectionTest(t)
		et.old.announceElection(2, et.next)
		requireFollows(t, et.testEntry, et.next)
	})
	t.Run("a later election supersedes an earlier one", func(t *testing.T) {
		et := newElectionTest(t)
		et.next.announceElection(2, et.next)
		requireFollows(t, et.testEntry, et.next)
		et.next.announceElection(3, et.old)
		requireFollows(t, et.testEntry, et.old)
	})
	t.Run("a notice of an earlier election is ignored", func(t *testing.T) {
		et := newElectionTest(t)
		et.old.announceElection(3, et.old)
		requireTerm(t, et.testEntry, 3)
		et.next.announceElection(2, et.next)
		et.next.announceElection(4, et.old)
		requireTerm(t, et.testEntry, 4)
		assert.Zero(t, et.next.watches.Load())
		assert.Equal(t, et.old.address, et.entry.Board().Control().Load().Leader())
	})
}

// Guards against a keyed request that is refused because the leader crashed before it answered the claim, and against
// one that runs twice because the claim was sent to two leaders.
func TestClaimMovesOn(t *testing.T) {
	et := newElectionTest(t)
	reached := make(chan registry.Command, 1)
	et.old.setFault(func(c registry.Command) fault {
		reached <- c
		return noReply
	})
	got := make(chan reply, 1)
	go func() {
		r, _ := et.call(et.ctx, http.MethodPost, "/w/previews/a", "x", "Idempotency-Key", "early")
		got <- r
	}()
	requireReceive(t, reached)
	et.next.announceElection(2, et.next)
	assertRan(t, requireReceive(t, got), "x")
	assert.Equal(t, int64(1), et.runs.Load())
	assertIdle(t, et.testEntry)
}

// electionTest is a running entry that watches one stand-in for the leader and is configured with a second one.
type electionTest struct {
	*testEntry
	old, next *fakeLeader
	runs      *atomic.Int64
}

func newElectionTest(t *testing.T) electionTest {
	t.Helper()
	env, runs := newTestEnv(t), &atomic.Int64{}
	endpoint := env.fakeAgent("w1", 8, func(ctx context.Context, s *link.Stream, f wire.Forward) {
		runs.Add(1)
		echo(ctx, s, f)
	})
	u := fleet.NewUpdate(true, 1, []fleet.Endpoint{endpoint}, nil).WithConfig(
		workspace.Diff(workspace.EmptyConfig(), config(t, workspace.NewLimits(100, 100), "previews")))
	et := electionTest{old: newFakeLeader(env, u), next: newFakeLeader(env, u), runs: runs}
	et.testEntry = newEntry(t, env, et.old, entry.WithControl([]string{et.old.address, et.next.address}))
	requireFollows(t, et.testEntry, et.old)
	return et
}

func requireFollows(t *testing.T, te *testEntry, fl *fakeLeader) {
	t.Helper()
	requirePublished(t, te.entry.Board().Control(), func(c entry.Control) bool { return c.Leader() == fl.address })
}

func requireTerm(t *testing.T, te *testEntry, term uint64) {
	t.Helper()
	requirePublished(t, te.entry.Board().Leadership(), func(l fleet.Leadership) bool { return l.Term() == term })
}

// announceElection makes the stand-in send a notice that leader was elected.
func (fl *fakeLeader) announceElection(term uint64, leader *fakeLeader) {
	fl.elections.Publish(append(slices.Clone(fl.elections.Load()), fleet.NewLeadership(term, leader.address)))
}

// serveElections sends a notice of each announced election, in order.
func (fl *fakeLeader) serveElections(ctx context.Context, s *link.Stream) {
	_ = wire.WriteStatus(s, nil)
	sent := 0
	for {
		list, changed := fl.elections.Watch()
		for ; sent < len(list); sent++ {
			if wire.WriteLeadership(s, list[sent]) != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
