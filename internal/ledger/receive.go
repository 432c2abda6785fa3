package ledger

func (c *Core) receive(from MemberID, m Message) {
	switch m := m.(type) {
	case PreVote:
		c.onPreVote(from, m)
	case PreVoteReply:
		c.onPreVoteReply(from, m)
	case RequestVote:
		c.onRequestVote(from, m)
	case RequestVoteReply:
		c.onRequestVoteReply(from, m)
	case AppendEntries:
		if c.acceptLeader(from, m.term, m.round, m.sentAt) {
			c.onAppendEntries(from, m)
		}
	case AppendEntriesReply:
		c.onAppendEntriesReply(from, m)
	case InstallSnapshot:
		if c.acceptLeader(from, m.term, m.round, m.sentAt) {
			c.onInstallSnapshot(from, m)
		}
	case Probe:
		c.send(from, ProbeReply{term: c.term, logExists: c.term > 0 || !c.membership.isVoter(c.self)})
	case ProbeReply:
	case Join:
		c.onJoin(from, m)
	case Leave:
		c.onLeave(from)
	case TimeoutNow:
		if m.term == c.term && c.role != Leader && c.membership.isVoter(c.self) {
			c.startElection(true)
		}
	}
}
