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

// Guards against an entry that waits for the silence of a dead or frozen leader although another control host knows
// the next one. The old leader of each subtest goes on to send heartbeats, so only the notice can end the watch.
func TestElections(t *testing.T) {
	t.Run("the entry goes to the elected leader", func(t *testing.T) {
		p := newPair(t)
		p.next.elect(2, p.next)
		assertFollows(t, p.site, p.next)
	})
	t.Run("any control host may name it", func(t *testing.T) {
		p := newPair(t)
		p.old.elect(2, p.next)
		assertFollows(t, p.site, p.next)
	})
	t.Run("a later election counts more", func(t *testing.T) {
		p := newPair(t)
		p.next.elect(2, p.next)
		assertFollows(t, p.site, p.next)
		p.next.elect(3, p.old)
		assertFollows(t, p.site, p.old)
	})
	t.Run("a host that was paused names an earlier leader in vain", func(t *testing.T) {
		p := newPair(t)
		p.old.elect(3, p.old)
		requireTerm(t, p.site, 3)
		p.next.elect(2, p.next)
		p.next.elect(4, p.old)
		requireTerm(t, p.site, 4)
		assert.Zero(t, p.next.watches.Load())
		assert.Equal(t, p.old.address, p.entry.Board().Control().Load().Leader())
	})
}

// Guards against a keyed request that is refused because it was sent to a leader that died before it answered, and
// against one that runs twice because it was sent to two leaders.
func TestClaimMovesOn(t *testing.T) {
	p := newPair(t)
	reached := make(chan registry.Command, 1)
	p.old.setFault(func(c registry.Command) fault {
		reached <- c
		return silence
	})
	got := make(chan reply, 1)
	go func() {
		r, _ := p.call(p.ctx, http.MethodPost, "/w/previews/a", "x", "Idempotency-Key", "early")
		got <- r
	}()
	requireReceive(t, reached)
	p.next.elect(2, p.next)
	assertRan(t, requireReceive(t, got), "x")
	assert.Equal(t, int64(1), p.runs.Load())
	assertIdle(t, p.site)
}

// pair is an entry that watches a stand-in of the leader and knows of a second control host.
type pair struct {
	*site
	old, next *ledger
	runs      *atomic.Int64
}

func newPair(t *testing.T) pair {
	t.Helper()
	w, runs := newWorld(t), &atomic.Int64{}
	endpoint := w.agent("w1", 8, func(ctx context.Context, s *link.Stream, f wire.Forward) {
		runs.Add(1)
		answering(ctx, s, f)
	})
	u := fleet.NewUpdate(true, 1, []fleet.Endpoint{endpoint}, nil).WithConfig(
		workspace.Diff(workspace.EmptyConfig(), config(t, workspace.NewLimits(100, 100), "previews")))
	p := pair{old: newLedger(w, u), next: newLedger(w, u), runs: runs}
	p.site = newEntry(t, w, p.old, entry.WithControl([]string{p.old.address, p.next.address}))
	assertFollows(t, p.site, p.old)
	return p
}

func assertFollows(t *testing.T, s *site, l *ledger) {
	t.Helper()
	requireSection(t, s.entry.Board().Control(), func(c entry.Control) bool { return c.Leader() == l.address })
}

func requireTerm(t *testing.T, s *site, term uint64) {
	t.Helper()
	requireSection(t, s.entry.Board().Elected(), func(l fleet.Leadership) bool { return l.Term() == term })
}

// elect has the stand-in tell of an election.
func (l *ledger) elect(term uint64, leader *ledger) {
	l.elected.Publish(append(slices.Clone(l.elected.Load()), fleet.NewLeadership(term, leader.address)))
}

// leadership tells of each election in its order.
func (l *ledger) leadership(ctx context.Context, s *link.Stream) {
	_ = wire.WriteStatus(s, nil)
	sent := 0
	for {
		list, changed := l.elected.Watch()
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
