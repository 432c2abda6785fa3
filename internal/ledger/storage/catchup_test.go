package storage_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a follower that missed many entries and needs one round trip for each of them, or never catches up.
func TestCatchUp(t *testing.T) {
	t.Run("from the log", func(t *testing.T) {
		c, follower := clusterWithLaggingFollower(t, 500)
		assertCurrent(t, c, follower)
	})
	t.Run("from a snapshot", func(t *testing.T) {
		c, follower := clusterWithLaggingFollower(t, 500)
		c.compact(leaders(c)[0])
		assertCurrent(t, c, follower)
	})
	t.Run("from a snapshot that replaces uncommitted entries", func(t *testing.T) {
		c := newCluster(t, 3, 1)
		c.run(3 * time.Second)
		old := leaders(c)[0]
		replaceUncommitted(c)
		for range 500 {
			c.propose(leaders(c)[0])
		}
		c.run(50 * time.Millisecond)
		assertCurrent(t, c, old)
	})
}

// clusterWithLaggingFollower returns a cluster and a follower in it that lacks count entries of the leader.
func clusterWithLaggingFollower(t *testing.T, count int) (*cluster, *host) {
	c := newCluster(t, 3, 1)
	c.run(3 * time.Second)
	follower := c.hosts[0]
	if leaders(c)[0] == follower {
		follower = c.hosts[1]
	}
	c.blocked[[2]string{leaders(c)[0].name, follower.name}] = true
	for range count {
		c.propose(leaders(c)[0])
	}
	c.run(500 * time.Millisecond)
	assert.Empty(t, follower.lines)
	return c, follower
}

// assertCurrent asserts that a host catches up within one heartbeat interval of 100 ms and one exchange of 40 ms.
func assertCurrent(t *testing.T, c *cluster, h *host) {
	t.Helper()
	clear(c.blocked)
	c.run(100*time.Millisecond + 40*time.Millisecond)
	assert.Equal(t, leaders(c)[0].lines, h.lines)
	assert.GreaterOrEqual(t, len(h.lines), 500)
}

// Guards against elections that no candidate can win because its vote for itself is not synced before the timeout.
func TestSlowDisk(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.run(time.Second)
	for range 20 {
		for range 70 {
			for range len(c.packets) {
				c.deliver(0, false)
			}
			c.advanceClock(10 * time.Millisecond)
		}
		for _, h := range c.hosts {
			c.save(h, len(h.writes))
		}
	}
	assert.NotEmpty(t, leaders(c))
}
