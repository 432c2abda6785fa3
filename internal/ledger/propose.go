package ledger

func (c *Core) propose(proposals []Proposal) {
	if c.role != Leader || c.transfer != nil {
		for _, p := range proposals {
			c.emit(Refused{token: p.token, reason: c.refusal()})
		}
		return
	}
	entries := make([]Entry, len(proposals))
	for i, p := range proposals {
		index := c.log.lastIndex() + 1 + uint64(i)
		entries[i] = NewEntry(index, c.term, Data, p.data)
		c.emit(Accepted{token: p.token, index: index})
	}
	c.appendLog(entries...)
}

func (c *Core) refusal() Refusal {
	if c.role == Leader {
		return Transferring
	}
	return NotLeader
}

// change appends a membership that differs in one member. A promotion is deferred until the member has caught up.
// The token of a request is not 0.
func (c *Core) change(in MembershipChange) {
	current, known := c.membership.Find(in.member.id)
	switch reason := c.checkChange(in, known); {
	case reason != "":
		c.emit(Refused{token: in.token, reason: reason})
	case in.kind == Promote && c.promotions[current.id] != 0:
		c.emit(Refused{token: in.token, reason: ChangePending})
	case in.kind == Promote && !current.voter:
		c.promotions[current.id] = in.token
	case in.kind == Promote:
		c.emit(Accepted{token: in.token, index: c.membershipIndex})
	case in.kind == AddNonVoter:
		c.appendMembership(in.token, c.membership.with(NewMember(in.member.id, in.member.address, false)))
	case in.kind == Remove:
		c.appendMembership(in.token, c.membership.without(in.member.id))
	}
}

func (c *Core) checkChange(in MembershipChange, known bool) Refusal {
	switch {
	case c.role != Leader || c.transfer != nil:
		return c.refusal()
	case in.kind == AddNonVoter && known:
		return MemberExists
	case in.kind != AddNonVoter && !known:
		return UnknownMember
	case in.kind == Promote && !c.membership.isVoter(in.member.id) && c.membership.Voters() >= maxVoters:
		return TooManyVoters
	case in.kind == Promote:
		return ""
	case c.changePending():
		return ChangePending
	case in.kind == Remove && c.membership.isVoter(in.member.id) && c.membership.Voters() == 1:
		return LastVoter
	case in.kind == Remove && in.member.id == c.self:
		return LeaderRemoving
	default:
		return ""
	}
}

// changePending reports whether a membership change may be uncommitted, either of this leader or of an earlier one.
// Two changes must not overlap.
func (c *Core) changePending() bool {
	return c.commitIndex < c.noOpIndex || c.membershipIndex > c.commitIndex
}

func (c *Core) appendMembership(token uint64, m Membership) {
	index := c.log.lastIndex() + 1
	if token != 0 {
		c.emit(Accepted{token: token, index: index})
	}
	c.appendLog(NewConfigEntry(index, c.term, m))
}

// promoteCaughtUp makes a member with a pending promotion a voter once it has caught up.
func (c *Core) promoteCaughtUp() {
	if len(c.promotions) == 0 || c.changePending() || c.transfer != nil || c.membership.Voters() >= maxVoters {
		return
	}
	for _, e := range c.membership.members {
		token, pending := c.promotions[e.id]
		if !pending {
			continue
		}
		if !c.caughtUp(e.id) {
			continue
		}
		delete(c.promotions, e.id)
		c.appendMembership(token, c.membership.with(NewMember(e.id, e.address, true)))
		return
	}
}

// refusePending refuses the promotions and the transfer that had not taken effect when leadership ended.
func (c *Core) refusePending() {
	for _, token := range c.promotions {
		c.emit(Refused{token: token, reason: NotLeader})
	}
	c.promotions = nil
	if c.transfer != nil && !c.transfer.sent {
		c.emit(Refused{token: c.transfer.token, reason: NotLeader})
	}
	c.transfer = nil
}
