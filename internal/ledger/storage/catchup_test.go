package storage_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a follower that needs one round trip per entry, or never comes back, after it missed many.
func TestCatchUp(t *testing.T) {
	t.Run("from the log", func(t *testing.T) {
		c, follower := missed(t, 500)
		assertCurrent(t, c, follower)
	})
	t.Run("from a snapshot", func(t *testing.T) {
		c, follower := missed(t, 500)
		c.compact(leaders(c)[0])
		assertCurrent(t, c, follower)
	})
	t.Run("from a snapshot with its own entries replaced", func(t *testing.T) {
		c := newCluster(t, 3, 1)
		c.calm(3 * time.Second)
		old := leaders(c)[0]
		strand(c)
		for range 500 {
			c.propose(leaders(c)[0])
		}
		c.calm(50 * time.Millisecond)
		assertCurrent(t, c, old)
	})
}

// missed returns a cluster in which a follower lacks some entries of the leader.
func missed(t *testing.T, count int) (*cluster, *host) {
	c := newCluster(t, 3, 1)
	c.calm(3 * time.Second)
	follower := c.hosts[0]
	if leaders(c)[0] == follower {
		follower = c.hosts[1]
	}
	c.blocked[[2]string{leaders(c)[0].address, follower.address}] = true
	for range count {
		c.propose(leaders(c)[0])
	}
	c.calm(500 * time.Millisecond)
	assert.Empty(t, follower.lines)
	return c, follower
}

// assertCurrent allows the time to the next heartbeat and one exchange.
func assertCurrent(t *testing.T, c *cluster, h *host) {
	t.Helper()
	clear(c.blocked)
	c.calm(100*time.Millisecond + 40*time.Millisecond)
	assert.Equal(t, leaders(c)[0].lines, h.lines)
	assert.GreaterOrEqual(t, len(h.lines), 500)
}

// Guards against elections that no candidate can finish because its own vote is not yet on the disk.
func TestSlowDisk(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.calm(time.Second)
	for range 20 {
		for range 70 {
			for range len(c.packets) {
				c.deliver(0, false)
			}
			c.pass(10 * time.Millisecond)
		}
		for _, h := range c.hosts {
			c.save(h, len(h.writes))
		}
	}
	assert.NotEmpty(t, leaders(c))
}
