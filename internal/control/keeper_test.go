package control

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/task"
)

const announceLength = 3 * time.Second

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func TestKeeper(t *testing.T) {
	t.Run("a new term forgets the fleet of the term before", func(t *testing.T) {
		k, _ := newTestKeeper()
		requireTaken(t, k, announced("w1", "a:1", 1, 0), 1, start)
		assertLive(t, k, 1, start.Add(time.Minute), "w1")
		requireTaken(t, k, announced("w2", "a:2", 1, 0), 3, start.Add(time.Hour))
		assertLive(t, k, 3, start.Add(time.Hour), "w2")
		assert.False(t, k.board.roster.Load().settled(3, start.Add(time.Hour)), "the fleet of a new leader is not known yet")
		assert.False(t, k.board.roster.Load().silent("w1", 3, start.Add(time.Hour)), "w1 may still announce itself")
		assert.True(t, k.board.roster.Load().silent("w1", 3, start.Add(time.Hour+rosterSettles)))
	})
	t.Run("an announcement of an earlier term does not count", func(t *testing.T) {
		k, _ := newTestKeeper()
		requireTaken(t, k, announced("w1", "a:1", 1, 0), 2, start)
		assert.False(t, k.take(announced("w2", "a:2", 1, 0), 1, start))
	})
	t.Run("a change of load or tasks wakes no watcher of the fleet", func(t *testing.T) {
		k, _ := newTestKeeper()
		requireTaken(t, k, announced("w1", "a:1", 1, 0), 1, start)
		before := k.board.roster.Version()
		requireTaken(t, k, announced("w1", "a:1", 1, 5), 1, start.Add(time.Second))
		requireTaken(t, k, announced("w1", "a:1", 1, 5, task.NewReport(task.NewID("j", 0), 1, task.Running)), 1, start.Add(2*time.Second))
		assert.Equal(t, before, k.board.roster.Version())
		n, _ := k.board.inFlight.Load().Get("w1")
		assert.Equal(t, 5, n)
		reports, _ := k.board.reports.Load().Get("w1")
		assert.Len(t, reports, 1)
	})
	t.Run("a renewal without a change publishes nothing", func(t *testing.T) {
		k, _ := newTestKeeper()
		requireTaken(t, k, announced("w1", "a:1", 1, 5), 1, start)
		before := k.board.inFlight.Version() + k.board.reports.Version() + k.board.roster.Version()
		requireTaken(t, k, announced("w1", "a:1", 1, 5), 1, start.Add(time.Second))
		assert.Equal(t, before, k.board.inFlight.Version()+k.board.reports.Version()+k.board.roster.Version())
	})
	t.Run("an announcement lapses after its lease and the margin", func(t *testing.T) {
		k, _ := newTestKeeper()
		requireTaken(t, k, announced("w1", "a:1", 1, 0), 1, start)
		k.act(start.Add(announceLength))
		assertLive(t, k, 1, start.Add(announceLength), "w1")
		k.act(start.Add(announceLength * 105 / 100))
		assertLive(t, k, 1, start.Add(announceLength*105/100))
		assert.True(t, k.board.roster.Load().silent("w1", 1, start.Add(announceLength*105/100)))
		requireTaken(t, k, announced("w1", "a:1", 1, 0), 1, start.Add(time.Minute))
		assertLive(t, k, 1, start.Add(time.Minute), "w1")
	})
	t.Run("a second process of one name is refused and logged once", func(t *testing.T) {
		k, log := newTestKeeper()
		requireTaken(t, k, announced("w1", "a:1", 1, 0), 1, start)
		for i := range 5 {
			assert.False(t, k.take(announced("w1", "b:1", 2, 0), 1, start.Add(time.Duration(i)*time.Millisecond)))
		}
		assert.Equal(t, 1, bytes.Count(log.Bytes(), []byte("two processes announce one name")))
		requireTaken(t, k, announced("w1", "a:1", 3, 0), 1, start.Add(time.Second))
	})
	t.Run("a burst of announcements is one publication", func(t *testing.T) {
		k, _ := newTestKeeper()
		before := k.board.roster.Version()
		for i := range 500 {
			assert.True(t, k.take(announced(fmt.Sprintf("w%d", i), fmt.Sprintf("a:%d", i), 1, 0), 1, start))
		}
		k.act(start.Add(gatherTime))
		assert.Equal(t, before+2, k.board.roster.Version(), "one for the term, one for the burst")
		assert.Equal(t, 500, k.board.roster.Load().snapshot.Len())
	})
}

func TestAdoption(t *testing.T) {
	t.Run("a reservation of an earlier leader is released, and no worker is lost before the fleet is known", func(t *testing.T) {
		g := newTestDriver(t)
		g.follow(1, start)
		j := requirePlaced(t, g.control.board, "j1", "w1", "w2")
		g.follow(2, start)
		require.Contains(t, g.jobs, "j1")
		assertStops(t, g, j, "the leader changed", start)
	})
	t.Run("a gang keeps running while its workers announce themselves one by one to a new leader", func(t *testing.T) {
		g := newTestDriver(t)
		j := requireStarted(t, g.control.board, "j1", "w1", "w2")
		g.follow(2, start)
		requireTaken(t, g.control.keeper, announced("w1", "a:1", 1, 0), 2, start)
		g.follow(2, start.Add(time.Second))
		assertGoesOn(t, g, j, start.Add(time.Second))
		g.follow(2, start.Add(rosterSettles))
		assertStops(t, g, j, "does not answer", start.Add(rosterSettles))
	})
}

// BenchmarkKeeper measures a second of announcements of 7,200 agents, a hundred of which changed.
func BenchmarkKeeper(b *testing.B) {
	k, _ := newTestKeeper()
	now := start
	for b.Loop() {
		now = now.Add(time.Second)
		for i := range 7200 {
			load := 0
			if i < 100 {
				load = now.Second()
			}
			k.take(announced(fmt.Sprintf("w%d", i), "a:1", 1, load), 1, now)
		}
		k.act(now.Add(gatherTime))
	}
}

func newTestKeeper() (k *keeper, log *bytes.Buffer) {
	log = &bytes.Buffer{}
	return newKeeper(newBoard(), announceLength, hclog.New(&hclog.LoggerOptions{Output: log})), log
}

func announced(name, address string, incarnation uint64, inFlight int, tasks ...task.Report) fleet.Announcement {
	w := fleet.NewWorker(name, "r1", "z1", "rack1").WithResources(1, 1, 8)
	return fleet.NewAnnouncement(fleet.NewEndpoint(w, address, 8, 64, incarnation), inFlight, tasks)
}

// requireTaken announces, and publishes as the keeper does a little later.
func requireTaken(t *testing.T, k *keeper, a fleet.Announcement, term uint64, now time.Time) {
	t.Helper()
	require.True(t, k.take(a, term, now))
	k.act(now.Add(gatherTime))
}

func assertLive(t *testing.T, k *keeper, term uint64, now time.Time, names ...string) {
	t.Helper()
	r := k.board.roster.Load()
	assert.Equal(t, len(names), r.snapshot.Len())
	for _, n := range names {
		assert.False(t, r.silent(n, term, now), "%s is live", n)
	}
}
