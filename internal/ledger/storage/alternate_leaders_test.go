package storage_test

import (
	"time"
)

// alternateLeaders makes two hosts leaders in turn, each of which persists an entry on its own disk only. The first
// one then leads again and replicates its entry to a majority, but crashes before it has synced the entry of its new
// term. The second one may win the next election, because its last entry is of a later term, so the replicated entry
// of the first one must not count as committed.
func alternateLeaders(c *cluster) {
	if len(c.hosts) < 3 {
		return
	}
	clearFaults(c)
	var order []*host
	for _, i := range c.random.Perm(len(c.hosts)) {
		order = append(order, c.hosts[i])
	}
	first, second, shared := order[0], order[1], order[2:2+len(order)/2]
	if !electAmong(c, first, shared) {
		return
	}
	persistUnreplicated(c, first)
	if !electAmong(c, second, shared) {
		return
	}
	persistUnreplicated(c, second)
	if !electAmong(c, first, shared) {
		return
	}
	for range 10 {
		c.advanceClock(10 * time.Millisecond)
		c.deliverAll()
		c.saveAll(first)
	}
	c.crash(first)
	c.start(first)
	electAmong(c, second, append(order[2+len(shared):], first))
	c.run(time.Second)
	clear(c.blocked)
}

// electAmong isolates a host and the given voters from the rest, and reports whether the host becomes leader. Its no-op
// entry is not synced yet then.
func electAmong(c *cluster, h *host, voters []*host) bool {
	group := map[string]bool{h.name: true}
	for _, o := range voters {
		group[o.name] = true
	}
	for _, from := range c.hosts {
		for _, to := range c.hosts {
			c.blocked[[2]string{from.name, to.name}] = !group[from.name] || !group[to.name]
		}
	}
	for range 1000 {
		c.advanceClock(10 * time.Millisecond)
		c.deliverAll()
		for _, o := range leaders(c) {
			if o == h {
				return true
			}
			if group[o.name] {
				c.crash(o)
				c.start(o)
			}
		}
		c.saveAll(nil)
	}
	return false
}

// persistUnreplicated makes a leader persist an entry and crash before any other host receives it.
func persistUnreplicated(c *cluster, h *host) {
	c.propose(h)
	c.packets = nil
	c.save(h, len(h.writes))
	c.crash(h)
	c.start(h)
	c.packets = nil
}

// deliverAll delivers the messages in flight, but not those sent meanwhile.
func (c *cluster) deliverAll() {
	for range len(c.packets) {
		c.deliver(0, false)
	}
}

// saveAll syncs the writes of all hosts except for slow, which may be nil.
func (c *cluster) saveAll(slow *host) {
	for _, h := range c.hosts {
		if h != slow {
			c.save(h, len(h.writes))
		}
	}
}
