package ledger

import "time"

// acceptLeader follows the sender if its term is current and reports whether it is. The sender of an earlier term
// receives a reply with the current one.
func (c *Core) acceptLeader(from MemberID, term, round uint64, sentAt time.Duration) bool {
	if term < c.term {
		c.sendAfterSync(from, AppendEntriesReply{term: c.term, round: round, sentAt: sentAt})
		return false
	}
	if term > c.term || c.role != Follower || c.leader != from {
		c.follow(term, from)
		c.askSoon()
	}
	c.grantLease()
	c.startedElections = 0
	if c.addressChanged() {
		c.send(from, Join{address: c.address})
	}
	return true
}

func (c *Core) onAppendEntries(from MemberID, m AppendEntries) {
	reply := AppendEntriesReply{term: c.term, round: m.round, sentAt: m.sentAt}
	// An index up to the commit index always matches, even if the log has been compacted past it.
	if t, ok := c.log.term(m.previousIndex); m.previousIndex > c.commitIndex && (!ok || t != m.previousTerm) {
		reply.index = m.previousIndex
		reply.conflictIndex = c.log.lastIndex() + 1
		if ok {
			reply.conflictTerm = t
			reply.conflictIndex = c.log.firstOfTerm(m.previousIndex, c.commitIndex+1)
		}
		c.sendAfterSync(from, reply)
		return
	}
	lastMatched := m.previousIndex + uint64(len(m.entries))
	for i, e := range m.entries {
		if e.index <= c.commitIndex {
			continue
		}
		if t, ok := c.log.term(e.index); !ok || t != e.term {
			c.appendLog(m.entries[i:]...)
			break
		}
	}
	c.commitIndex = max(c.commitIndex, min(m.commit, lastMatched))
	reply.matched, reply.index = true, lastMatched
	if durable := c.writes.durableIndex; lastMatched > durable && len(m.entries) == 0 {
		// A heartbeat is answered before the sync, so that the leader does not lose its lease to a slow disk.
		reply.index = durable
		c.send(from, reply)
		return
	}
	if lastMatched <= c.writes.durableIndex {
		c.send(from, reply)
		return
	}
	c.sendAfterSync(from, reply)
}

func (c *Core) onInstallSnapshot(from MemberID, m InstallSnapshot) {
	s := m.snapshot
	reply := AppendEntriesReply{
		term: c.term, round: m.round, sentAt: m.sentAt, matched: true, index: max(s.index, c.commitIndex),
	}
	if s.index > c.commitIndex {
		if t, ok := c.log.term(s.index); ok && t == s.term {
			c.log.compact(s, Trailing{})
		} else {
			c.log = newLog(s, nil)
			c.writes.durableIndex = min(c.writes.durableIndex, s.index)
			for i := range c.writes.pending {
				c.writes.pending[i].lastIndex = min(c.writes.pending[i].lastIndex, s.index)
			}
		}
		c.commitIndex, c.emittedIndex = s.index, s.index
		c.membership, c.membershipIndex = c.log.membership(c.log.lastIndex())
		c.writes.snapshot, c.writes.dirty = &s, true
		c.emit(Restore{snapshot: s})
	}
	c.sendAfterSync(from, reply)
}

func (c *Core) compact(in Compact) {
	term, ok := c.log.term(in.index)
	if !ok || in.index <= c.log.snapshot.index || in.index > c.emittedIndex {
		return
	}
	m, _ := c.log.membership(in.index)
	s := NewSnapshot(in.index, term, m, in.data)
	c.log.compact(s, in.trailing)
	c.writes.snapshot, c.writes.dirty = &s, true
}
