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

const announceLease = 3 * time.Second

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func TestRosterController(t *testing.T) {
	t.Run("a new term discards the roster of the term before", func(t *testing.T) {
		c, _ := newTestRosterController()
		requireAccepted(t, c, announced("w1", "a:1", 1, 0), 1, start)
		assertLive(t, c, 1, start.Add(time.Minute), "w1")
		requireAccepted(t, c, announced("w2", "a:2", 1, 0), 3, start.Add(time.Hour))
		assertLive(t, c, 3, start.Add(time.Hour), "w2")
		assert.False(t, c.board.roster.Load().complete(3, start.Add(time.Hour)), "the roster of a new leader is not complete yet")
		assert.False(t, c.board.roster.Load().silent("w1", 3, start.Add(time.Hour)), "w1 may still announce itself")
		assert.True(t, c.board.roster.Load().silent("w1", 3, start.Add(time.Hour+rosterCompleteAfter)))
	})
	t.Run("an announcement of an earlier term is refused", func(t *testing.T) {
		c, _ := newTestRosterController()
		requireAccepted(t, c, announced("w1", "a:1", 1, 0), 2, start)
		assert.False(t, c.accept(announced("w2", "a:2", 1, 0), 1, start))
	})
	t.Run("a change of load or tasks wakes no watcher of the fleet", func(t *testing.T) {
		c, _ := newTestRosterController()
		requireAccepted(t, c, announced("w1", "a:1", 1, 0), 1, start)
		before := c.board.roster.Version()
		requireAccepted(t, c, announced("w1", "a:1", 1, 5), 1, start.Add(time.Second))
		requireAccepted(t, c, announced("w1", "a:1", 1, 5, task.NewReport(task.NewID("j", 0), 1, task.Running)), 1, start.Add(2*time.Second))
		assert.Equal(t, before, c.board.roster.Version())
		n, _ := c.board.inFlight.Load().Get("w1")
		assert.Equal(t, 5, n)
		reports, _ := c.board.reports.Load().Get("w1")
		assert.Len(t, reports, 1)
	})
	t.Run("a renewal without a change publishes nothing", func(t *testing.T) {
		c, _ := newTestRosterController()
		requireAccepted(t, c, announced("w1", "a:1", 1, 5), 1, start)
		before := c.board.inFlight.Version() + c.board.reports.Version() + c.board.roster.Version()
		requireAccepted(t, c, announced("w1", "a:1", 1, 5), 1, start.Add(time.Second))
		assert.Equal(t, before, c.board.inFlight.Version()+c.board.reports.Version()+c.board.roster.Version())
	})
	t.Run("an announcement expires after its lease and the drift margin", func(t *testing.T) {
		c, _ := newTestRosterController()
		requireAccepted(t, c, announced("w1", "a:1", 1, 0), 1, start)
		c.runDue(start.Add(announceLease))
		assertLive(t, c, 1, start.Add(announceLease), "w1")
		c.runDue(start.Add(announceLease * 105 / 100))
		assertLive(t, c, 1, start.Add(announceLease*105/100))
		assert.True(t, c.board.roster.Load().silent("w1", 1, start.Add(announceLease*105/100)))
		requireAccepted(t, c, announced("w1", "a:1", 1, 0), 1, start.Add(time.Minute))
		assertLive(t, c, 1, start.Add(time.Minute), "w1")
	})
	t.Run("a second process under one name is refused and logged once", func(t *testing.T) {
		c, log := newTestRosterController()
		requireAccepted(t, c, announced("w1", "a:1", 1, 0), 1, start)
		for i := range 5 {
			assert.False(t, c.accept(announced("w1", "b:1", 2, 0), 1, start.Add(time.Duration(i)*time.Millisecond)))
		}
		assert.Equal(t, 1, bytes.Count(log.Bytes(), []byte("two processes announce one name")))
		requireAccepted(t, c, announced("w1", "a:1", 3, 0), 1, start.Add(time.Second))
	})
	t.Run("a burst of announcements is published once", func(t *testing.T) {
		c, _ := newTestRosterController()
		before := c.board.roster.Version()
		for i := range 500 {
			assert.True(t, c.accept(announced(fmt.Sprintf("w%d", i), fmt.Sprintf("a:%d", i), 1, 0), 1, start))
		}
		c.runDue(start.Add(publishDelay))
		assert.Equal(t, before+2, c.board.roster.Version(), "one for the term, one for the burst")
		assert.Equal(t, 500, c.board.roster.Load().snapshot.Len())
	})
}

func TestAdoption(t *testing.T) {
	t.Run("a reservation of an earlier leader is released, and no worker is lost before the roster is complete", func(t *testing.T) {
		g := newTestGangDriver(t)
		g.sync(1, start)
		j := requirePlaced(t, g.control.board, "j1", "w1", "w2")
		g.sync(2, start)
		require.Contains(t, g.jobs, "j1")
		assertStops(t, g, j, "the leader changed", start)
	})
	t.Run("a gang keeps running while its workers announce themselves one by one to a new leader", func(t *testing.T) {
		g := newTestGangDriver(t)
		j := requireStarted(t, g.control.board, "j1", "w1", "w2")
		g.sync(2, start)
		requireAccepted(t, g.control.rosterController, announced("w1", "a:1", 1, 0), 2, start)
		g.sync(2, start.Add(time.Second))
		assertKeepsRunning(t, g, j, start.Add(time.Second))
		g.sync(2, start.Add(rosterCompleteAfter))
		assertStops(t, g, j, "does not answer", start.Add(rosterCompleteAfter))
	})
}

// BenchmarkRosterController measures one second of announcements by 7,200 agents, of which 100 changed.
func BenchmarkRosterController(b *testing.B) {
	c, _ := newTestRosterController()
	now := start
	for b.Loop() {
		now = now.Add(time.Second)
		for i := range 7200 {
			load := 0
			if i < 100 {
				load = now.Second()
			}
			c.accept(announced(fmt.Sprintf("w%d", i), "a:1", 1, load), 1, now)
		}
		c.runDue(now.Add(publishDelay))
	}
}

func newTestRosterController() (c *rosterController, log *bytes.Buffer) {
	log = &bytes.Buffer{}
	return newRosterController(newBoard(), announceLease, hclog.New(&hclog.LoggerOptions{Output: log})), log
}

func announced(name, address string, incarnation uint64, inFlight int, tasks ...task.Report) fleet.Announcement {
	w := fleet.NewWorker(name, "r1", "z1", "rack1").WithResources(1, 1, 8)
	return fleet.NewAnnouncement(fleet.NewEndpoint(w, address, 8, 64, incarnation), inFlight, tasks)
}

// requireAccepted passes an announcement to the controller and publishes it after publishDelay.
func requireAccepted(t *testing.T, c *rosterController, a fleet.Announcement, term uint64, now time.Time) {
	t.Helper()
	require.True(t, c.accept(a, term, now))
	c.runDue(now.Add(publishDelay))
}

func assertLive(t *testing.T, c *rosterController, term uint64, now time.Time, names ...string) {
	t.Helper()
	r := c.board.roster.Load()
	assert.Equal(t, len(names), r.snapshot.Len())
	for _, n := range names {
		assert.False(t, r.silent(n, term, now), "%s is live", n)
	}
}
