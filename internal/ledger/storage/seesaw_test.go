package storage_test

import (
	"time"
)

// seesaw has two hosts lead by turns. Each leaves entries on its own disk only; then the first one brings its
// entries to a majority, and dies before the entry of its new term is on its own disk. The second one may then
// win with entries of a later term, so what was brought must not count as committed.
func seesaw(c *cluster) {
	if len(c.hosts) < 3 {
		return
	}
	resume(c)
	var order []*host
	for _, i := range c.random.Perm(len(c.hosts)) {
		order = append(order, c.hosts[i])
	}
	first, second, shared := order[0], order[1], order[2:2+len(order)/2]
	if !elect(c, first, shared) {
		return
	}
	leave(c, first)
	if !elect(c, second, shared) {
		return
	}
	leave(c, second)
	if !elect(c, first, shared) {
		return
	}
	for range 10 {
		c.pass(10 * time.Millisecond)
		c.deliverAll()
		c.saveAll(first)
	}
	c.crash(first)
	c.start(first)
	elect(c, second, append(order[2+len(shared):], first))
	c.calm(time.Second)
	clear(c.blocked)
}

// elect isolates a host and its voters from the rest and waits until it leads; its entry is not on its disk yet.
func elect(c *cluster, h *host, voters []*host) bool {
	group := map[string]bool{h.address: true}
	for _, o := range voters {
		group[o.address] = true
	}
	for _, from := range c.hosts {
		for _, to := range c.hosts {
			c.blocked[[2]string{from.address, to.address}] = !group[from.address] || !group[to.address]
		}
	}
	for range 1000 {
		c.pass(10 * time.Millisecond)
		c.deliverAll()
		for _, o := range leaders(c) {
			if o == h {
				return true
			}
			if group[o.address] {
				c.crash(o)
				c.start(o)
			}
		}
		c.saveAll(nil)
	}
	return false
}

// leave puts an entry on the disk of a leader that nobody hears of.
func leave(c *cluster, h *host) {
	c.propose(h)
	c.packets = nil
	c.save(h, len(h.writes))
	c.crash(h)
	c.start(h)
	c.packets = nil
}

// deliverAll delivers what is under way.
func (c *cluster) deliverAll() {
	for range len(c.packets) {
		c.deliver(0, false)
	}
}

// saveAll syncs what is written, but for the disk of one host.
func (c *cluster) saveAll(slow *host) {
	for _, h := range c.hosts {
		if h != slow {
			c.save(h, len(h.writes))
		}
	}
}
