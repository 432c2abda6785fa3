package ledger

import "time"

// transfer is a leadership transfer that is pending until the target has the whole log.
type transfer struct {
	token    uint64
	target   MemberID
	deadline time.Time
	sent     bool // TimeoutNow was sent
}

func (c *Core) beginTransfer(token uint64) {
	target := c.transferTarget()
	switch {
	case c.role != Leader || c.transfer != nil:
		c.emit(Refused{token: token, reason: c.refusal()})
	case target == "":
		c.emit(Refused{token: token, reason: NoSuccessor})
	default:
		c.transfer = &transfer{token: token, target: target, deadline: c.now.Add(c.timing.lease)}
	}
}

// transferTarget returns the recently active voter with the highest match index, one that is about to stop only if there
// is no other; it is empty if there is none.
func (c *Core) transferTarget() (best MemberID) {
	for _, e := range c.membership.members {
		if c.role == Leader && e.voter && e.id != c.self && c.recentlyActive(e.id) && (best == "" || c.betterTarget(e.id, best)) {
			best = e.id
		}
	}
	return best
}

// betterTarget reports whether a leadership transfer to a is better than one to b.
func (c *Core) betterTarget(a, b MemberID) bool {
	if c.isLeaving(a) != c.isLeaving(b) {
		return c.isLeaving(b)
	}
	return c.peers[a].matchIndex > c.peers[b].matchIndex
}

// finishTransfer steps down in favour of the target once all proposed entries are committed, so that no caller is left
// with an unknown outcome. The leader gives up its lease before it sends TimeoutNow, because a vote that the target
// requests is granted regardless of this lease.
func (c *Core) finishTransfer() {
	t := c.transfer
	if t == nil {
		return
	}
	if p := c.peers[t.target]; p == nil || p.matchIndex < c.log.lastIndex() || c.commitIndex < c.log.lastIndex() {
		return
	}
	t.sent = true
	c.emit(Accepted{token: t.token})
	c.send(t.target, TimeoutNow{term: c.term})
	c.follow(c.term, "")
}

func (c *Core) expireTransfer() {
	if c.transfer != nil && !c.now.Before(c.transfer.deadline) {
		c.emit(Refused{token: c.transfer.token, reason: NoSuccessor})
		c.transfer = nil
	}
}
