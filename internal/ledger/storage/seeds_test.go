package storage_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against hosts that never find each other or start a second log, when successors and hosts with emptied disks
// have seeds that are gone or empty themselves, and all other hosts come back from a loss of power a little later.
func TestChangedSeedsAndPowerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 5, rapid.Uint64().Draw(t, "seed"))
		c.run(3 * time.Second)
		for range rapid.IntRange(0, 2).Draw(t, "replaced") {
			successor := c.replace(c.hosts[c.random.IntN(len(c.hosts))], drawSeeds(c))
			c.run(time.Duration(c.random.IntN(2000)) * time.Millisecond)
			c.reload(successor, drawSeeds(c))
			c.reload(successor, append(drawSeeds(c), c.hosts[c.random.IntN(len(c.hosts))].address))
			requireRepaired(t, c)
		}
		proposeAll(c)
		c.run(time.Duration(c.random.IntN(200)) * time.Millisecond)
		for _, h := range c.hosts {
			c.crash(h)
		}
		order := c.random.Perm(len(c.hosts))
		for n, i := range order {
			h := c.hosts[i]
			if n < 2 {
				h.seeds = drawSeeds(c)
				c.emptyDisk(h)
			} else {
				c.run(time.Duration(c.random.IntN(1500)) * time.Millisecond)
			}
			c.start(h)
		}
		requireRecovered(t, c)
	})
}

// drawSeeds returns up to three seeds, of which some may be gone.
func drawSeeds(c *cluster) (seeds []string) {
	gone := []string{"gone", "gone too"}
	for _, i := range c.random.Perm(len(c.hosts) + len(gone))[:3] {
		if i < len(c.hosts) {
			seeds = append(seeds, c.hosts[i].address)
		} else {
			seeds = append(seeds, gone[i-len(c.hosts)])
		}
	}
	return seeds
}

// requireRepaired waits until all hosts are voters.
func requireRepaired(t *rapid.T, c *cluster) {
	for n := 0; !isRepaired(c); n++ {
		if n > 2000 {
			t.Fatalf("not repaired: %v", c.oracle.membership())
		}
		c.run(10 * time.Millisecond)
	}
}
