package ledger

import "time"

// heed follows the leader of a current term; a leader of an earlier one is told so.
func (c *Core) heed(from MemberID, term, round uint64, stamp time.Duration) bool {
	if term < c.term {
		c.hold(from, AppendReply{term: c.term, round: round, stamp: stamp})
		return false
	}
	if term > c.term || c.role != Follower || c.leader != from {
		c.follow(term, from)
	}
	c.hear()
	c.lost = 0
	if c.moved() {
		c.send(from, Join{address: c.address})
	}
	return true
}

func (c *Core) onAppend(from MemberID, m Append) {
	reply := AppendReply{term: c.term, round: m.round, stamp: m.stamp}
	// An index below the commit index matches by the safety of the log, whether or not the log still has it.
	if t, ok := c.log.term(m.previousIndex); m.previousIndex > c.commit && (!ok || t != m.previousTerm) {
		reply.index = m.previousIndex
		reply.conflictIndex = c.log.lastIndex() + 1
		if ok {
			reply.conflictTerm = t
			reply.conflictIndex = c.log.firstOfTerm(m.previousIndex, c.commit+1)
		}
		c.hold(from, reply)
		return
	}
	verified := m.previousIndex + uint64(len(m.entries))
	for i, e := range m.entries {
		if e.index <= c.commit {
			continue
		}
		if t, ok := c.log.term(e.index); !ok || t != e.term {
			c.appendLog(m.entries[i:]...)
			break
		}
	}
	c.commit = max(c.commit, min(m.commit, verified))
	reply.matched, reply.index = true, verified
	if durable := c.writes.durable; verified > durable && len(m.entries) == 0 {
		// A heartbeat is answered at once so that a slow disk does not cost the leader its lease.
		reply.index = durable
		c.send(from, reply)
		return
	}
	if verified <= c.writes.durable {
		c.send(from, reply)
		return
	}
	c.hold(from, reply)
}

func (c *Core) onInstall(from MemberID, m Install) {
	s := m.snapshot
	reply := AppendReply{term: c.term, round: m.round, stamp: m.stamp, matched: true, index: max(s.index, c.commit)}
	if s.index > c.commit {
		if t, ok := c.log.term(s.index); ok && t == s.term {
			c.log.compact(s, 0)
		} else {
			c.log = newLog(s, nil)
			c.writes.durable = min(c.writes.durable, s.index)
			for i := range c.writes.pending {
				c.writes.pending[i].last = min(c.writes.pending[i].last, s.index)
			}
		}
		c.commit, c.handed = s.index, s.index
		c.membership, c.membershipAt = c.log.membership(c.log.lastIndex())
		c.writes.snapshot, c.writes.dirty = &s, true
		c.emit(Restore{snapshot: s})
	}
	c.hold(from, reply)
}

func (c *Core) compact(in Compact) {
	term, ok := c.log.term(in.index)
	if !ok || in.index <= c.log.snapshot.index || in.index > c.handed {
		return
	}
	m, _ := c.log.membership(in.index)
	s := NewSnapshot(in.index, term, m, in.data)
	c.log.compact(s, in.trailing)
	c.writes.snapshot, c.writes.dirty = &s, true
}
