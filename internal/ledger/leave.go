package ledger

import "time"

// leaveTimeout is the time for which the leader takes a voter to be about to stop after its latest Leave. The member
// repeats it while it has a vote. One without a vote may be a spare again only when it asks to join.
const leaveTimeout = time.Second

// leave tells the leader that this member is about to stop, so that a spare gets its vote before that.
func (c *Core) leave() {
	c.leaving = true
	if c.leader != "" && c.leader != c.self {
		c.send(c.leader, Leave{})
	}
}

func (c *Core) onLeave(from MemberID) {
	if _, known := c.membership.Find(from); known && c.role == Leader {
		c.leavingAt[from] = c.now
		delete(c.joining, from)
	}
}

// isLeaving reports whether the member is about to stop.
func (c *Core) isLeaving(id MemberID) bool {
	at, known := c.leavingAt[id]
	return known && (!c.membership.isVoter(id) || c.now.Sub(at) <= leaveTimeout)
}
