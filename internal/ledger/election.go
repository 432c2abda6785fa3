package ledger

import "time"

// Bounds of the pause after a round of pre-votes or votes that nobody won. A pre-vote
// costs a round trip between availability zones; a vote costs a disk sync besides. The
// pause after a vote doubles with each one that is lost, because a disk may be slower.
const (
	preVoteRetryMin = 150 * time.Millisecond
	preVoteRetryMax = 300 * time.Millisecond
	voteRetryMin    = 300 * time.Millisecond
	voteRetryMax    = 600 * time.Millisecond
	maxDoublings    = 3
)

// campaign asks the voters whether this member could win, without raising a term.
func (c *Core) campaign() {
	if !c.membership.isVoter(c.self) {
		c.askToJoin()
		return
	}
	if c.role == Candidate && c.writes.persisted < c.writes.sequence {
		// The own vote is not yet on the disk; a new round would start from the same place.
		c.awaitVotes()
		return
	}
	c.role, c.leader = PreCandidate, ""
	c.granted = map[MemberID]bool{c.self: true}
	c.wakeAt = c.now.Add(c.between(preVoteRetryMin, preVoteRetryMax))
	if c.won() {
		c.stand(false)
		return
	}
	c.sendVoters(PreVote{term: c.term + 1, lastIndex: c.log.lastIndex(), lastTerm: c.log.lastTerm()})
}

// stand raises the term and asks for votes once the own vote is on the disk.
func (c *Core) stand(transfer bool) {
	c.role, c.leader = Candidate, ""
	c.term++
	c.vote = c.self
	c.markHard()
	c.granted = map[MemberID]bool{}
	c.lost++
	c.awaitVotes()
	m := Vote{term: c.term, lastIndex: c.log.lastIndex(), lastTerm: c.log.lastTerm(), transfer: transfer}
	for _, e := range c.membership.members {
		if e.voter && e.id != c.self {
			c.hold(e.id, m)
		}
	}
}

// awaitVotes allows the voters time to answer, counted from the present.
func (c *Core) awaitVotes() {
	c.wakeAt = c.now.Add(c.between(voteRetryMin, voteRetryMax) << min(c.lost-1, maxDoublings))
}

func (c *Core) sendVoters(m Message) {
	for _, e := range c.membership.members {
		if e.voter && e.id != c.self {
			c.send(e.id, m)
		}
	}
}

func (c *Core) won() bool {
	return c.membership.hasMajority(func(id MemberID) bool { return c.granted[id] })
}

// count notes a vote or pre-vote for this member.
func (c *Core) count(from MemberID) {
	c.granted[from] = true
	if !c.won() {
		return
	}
	if c.role == PreCandidate {
		c.stand(false)
		return
	}
	c.becomeLeader()
}

// mayDepose reports whether no leader can still rely on this member's promise.
func (c *Core) mayDepose() bool { return c.role != Leader && c.heard.Over(c.now) }

func (c *Core) upToDate(lastIndex, lastTerm uint64) bool {
	own := c.log.lastTerm()
	return lastTerm > own || lastTerm == own && lastIndex >= c.log.lastIndex()
}

func (c *Core) onPreVote(from MemberID, m PreVote) {
	granted := m.term > c.term && c.mayDepose() && c.upToDate(m.lastIndex, m.lastTerm)
	c.send(from, PreVoteReply{term: m.term, current: c.term, granted: granted})
}

func (c *Core) onPreVoteReply(from MemberID, m PreVoteReply) {
	switch {
	case m.current > c.term:
		c.follow(m.current, "")
	case m.granted && c.role == PreCandidate && m.term == c.term+1:
		c.count(from)
	}
}

func (c *Core) onVote(from MemberID, m Vote) {
	if m.term < c.term || !m.transfer && !c.mayDepose() {
		return
	}
	if m.term > c.term {
		c.follow(m.term, "")
	}
	granted := (c.vote == "" || c.vote == from) && c.upToDate(m.lastIndex, m.lastTerm)
	if granted {
		c.role, c.vote = Follower, from
		c.markHard()
		c.wakeAt = c.now.Add(c.between(c.timing.electionMin, c.timing.electionMax))
	}
	c.hold(from, VoteReply{term: c.term, granted: granted})
}

func (c *Core) onVoteReply(from MemberID, m VoteReply) {
	switch {
	case m.term > c.term:
		c.follow(m.term, "")
	case m.granted && c.role == Candidate && m.term == c.term:
		c.count(from)
	}
}

// follow makes this member a follower of leader in term; the leader may be unknown.
func (c *Core) follow(term uint64, leader MemberID) {
	if c.role == Leader {
		// What is committed has a known outcome.
		c.hand()
		c.emit(StepDown{term: c.term})
		c.refuseWaiting()
		c.heard = c.heardUntilNow()
	}
	if c.role != Follower {
		c.wakeAt = c.now.Add(c.between(c.timing.electionMin, c.timing.electionMax))
	}
	if term > c.term {
		c.term, c.vote = term, ""
		c.markHard()
	}
	c.role, c.leader = Follower, leader
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.self
	c.leaderSince = c.now
	c.lost = 0
	c.noOp = c.log.lastIndex() + 1
	c.wakeAt = c.now.Add(c.timing.heartbeat)
	c.peers = map[MemberID]*progress{}
	c.promotions = map[MemberID]uint64{}
	c.joining = map[MemberID]string{}
	c.transfer = nil
	c.emit(BecomeLeader{term: c.term, noOp: c.noOp})
	c.appendLog(NewEntry(c.noOp, c.term, NoOp, nil))
}
