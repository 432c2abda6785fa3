package ledger

func (c *Core) receive(from MemberID, m Message) {
	switch m := m.(type) {
	case PreVote:
		c.onPreVote(from, m)
	case PreVoteReply:
		c.onPreVoteReply(from, m)
	case Vote:
		c.onVote(from, m)
	case VoteReply:
		c.onVoteReply(from, m)
	case Append:
		if c.heed(from, m.term, m.round, m.stamp) {
			c.onAppend(from, m)
		}
	case AppendReply:
		c.onAppendReply(from, m)
	case Install:
		if c.heed(from, m.term, m.round, m.stamp) {
			c.onInstall(from, m)
		}
	case Probe:
		c.send(from, ProbeReply{term: c.term})
	case ProbeReply:
	case Join:
		c.onJoin(from, m)
	case TimeoutNow:
		if m.term == c.term && c.role != Leader && c.membership.isVoter(c.self) {
			c.stand(true)
		}
	}
}
