package ledger

import "time"

// transfer is a transfer of leadership that waits until its target has the whole log.
type transfer struct {
	token  uint64
	target MemberID
	ends   time.Time
	told   bool
}

func (c *Core) beginTransfer(token uint64) {
	target := c.successor()
	switch {
	case c.role != Leader || c.transfer != nil:
		c.emit(Refused{token: token, reason: c.refusal()})
	case target == "":
		c.emit(Refused{token: token, reason: NoSuccessor})
	default:
		c.transfer = &transfer{token: token, target: target, ends: c.now.Add(c.timing.lease)}
	}
}

// successor returns the voter that was heard within a lease and has the most of the log.
func (c *Core) successor() (best MemberID) {
	var match uint64
	for _, e := range c.membership.members {
		p := c.peers[e.id]
		if c.role == Leader && e.voter && p != nil && c.answers(e.id) && (best == "" || p.match > match) {
			best, match = e.id, p.match
		}
	}
	return best
}

// finishTransfer steps down in favour of the target once all that was proposed is
// committed, so that no caller is left with an unknown outcome. The lease is given up before the
// target is told, because its voters pass over their promise to this leader.
func (c *Core) finishTransfer() {
	t := c.transfer
	if t == nil {
		return
	}
	if p := c.peers[t.target]; p == nil || p.match < c.log.lastIndex() || c.commit < c.log.lastIndex() {
		return
	}
	t.told = true
	c.emit(Accepted{token: t.token})
	c.send(t.target, TimeoutNow{term: c.term})
	c.follow(c.term, "")
}

func (c *Core) expireTransfer() {
	if c.transfer != nil && !c.now.Before(c.transfer.ends) {
		c.emit(Refused{token: c.transfer.token, reason: NoSuccessor})
		c.transfer = nil
	}
}
