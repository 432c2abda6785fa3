package ledger

import "time"

// Bounds of the randomized timeout of a pre-vote and of a vote. A pre-vote takes one round trip between
// availability zones; a vote takes a disk sync as well. The timeout of a vote doubles with each failed election,
// up to maxDoublings times, because a disk may be slower than that.
const (
	preVoteRetryMin = 150 * time.Millisecond
	preVoteRetryMax = 300 * time.Millisecond
	voteRetryMin    = 300 * time.Millisecond
	voteRetryMax    = 600 * time.Millisecond
	maxDoublings    = 3
)

// campaign starts a pre-vote, which does not raise the term. A non-voter asks to join instead.
func (c *Core) campaign() {
	if !c.membership.isVoter(c.self) {
		c.requestJoin()
		return
	}
	if c.role == Candidate && c.writes.persisted < c.writes.sequence {
		// This member's vote for itself is not synced yet, so a new pre-vote would lead to the same election.
		c.resetVoteTimeout()
		return
	}
	c.role, c.leader = PreCandidate, ""
	c.votes = map[MemberID]bool{c.self: true}
	c.beginPhase(PreVotePhase, c.term+1)
	c.elections.record(c.self, VoteGranted)
	c.wakeAt = c.now.Add(c.randomBetween(preVoteRetryMin, preVoteRetryMax))
	if c.wonVote() {
		c.startElection(false)
		return
	}
	c.sendVoters(PreVote{term: c.term + 1, lastIndex: c.log.lastIndex(), lastTerm: c.log.lastTerm()})
}

// startElection raises the term and requests votes once this member's vote for itself is synced.
func (c *Core) startElection(transfer bool) {
	c.role, c.leader = Candidate, ""
	c.term++
	c.vote = c.self
	c.markDirty()
	c.votes = map[MemberID]bool{}
	c.beginPhase(VotePhase, c.term)
	c.startedElections++
	c.resetVoteTimeout()
	m := RequestVote{term: c.term, lastIndex: c.log.lastIndex(), lastTerm: c.log.lastTerm(), transfer: transfer}
	for _, e := range c.membership.members {
		if e.voter && e.id != c.self {
			c.sendAfterSync(e.id, m)
		}
	}
}

// resetVoteTimeout restarts the time that the voters have to answer.
func (c *Core) resetVoteTimeout() {
	c.wakeAt = c.now.Add(c.randomBetween(voteRetryMin, voteRetryMax) << min(c.startedElections-1, maxDoublings))
}

func (c *Core) sendVoters(m Message) {
	for _, e := range c.membership.members {
		if e.voter && e.id != c.self {
			c.send(e.id, m)
		}
	}
}

func (c *Core) wonVote() bool {
	return c.membership.hasMajority(func(id MemberID) bool { return c.votes[id] })
}

// recordVote counts a vote or pre-vote granted to this member. With a majority it starts the election after a
// pre-vote, and becomes leader after a vote.
func (c *Core) recordVote(from MemberID) {
	c.votes[from] = true
	c.elections.record(from, VoteGranted)
	if !c.wonVote() {
		return
	}
	if c.role == PreCandidate {
		c.startElection(false)
		return
	}
	c.becomeLeader()
}

// mayVote reports whether this member may vote: it is not the leader, and the lease it granted has ended.
func (c *Core) mayVote() bool { return c.role != Leader && c.grantedLease.Expired(c.now) }

func (c *Core) upToDate(lastIndex, lastTerm uint64) bool {
	ownTerm := c.log.lastTerm()
	return lastTerm > ownTerm || lastTerm == ownTerm && lastIndex >= c.log.lastIndex()
}

func (c *Core) onPreVote(from MemberID, m PreVote) {
	reason := c.preVoteReason(m)
	c.elections.countAnswer(reason)
	reply := PreVoteReply{term: m.term, currentTerm: c.term, granted: reason == VoteGranted}
	c.send(from, reply.WithReason(reason))
}

func (c *Core) onPreVoteReply(from MemberID, m PreVoteReply) {
	if !m.granted && c.role == PreCandidate && m.term == c.term+1 {
		c.elections.record(from, m.reason.received(false))
	}
	switch {
	case m.currentTerm > c.term:
		c.follow(m.currentTerm, "")
	case m.granted && c.role == PreCandidate && m.term == c.term+1:
		c.recordVote(from)
	}
}

func (c *Core) onRequestVote(from MemberID, m RequestVote) {
	if reason := c.requestRefusal(m); reason != "" {
		c.elections.countAnswer(reason)
		// The reply carries the term of the request, so that it tells the candidate the reason and changes nothing else.
		c.send(from, RequestVoteReply{term: m.term}.WithReason(reason))
		return
	}
	if m.term > c.term {
		c.follow(m.term, "")
	}
	reason := c.voteReason(from, m)
	c.elections.countAnswer(reason)
	granted := reason == VoteGranted
	if granted {
		c.endAttempt(AttemptLost)
		c.role, c.vote = Follower, from
		c.markDirty()
		c.wakeAt = c.now.Add(c.randomBetween(c.timing.electionMin, c.timing.electionMax))
	}
	c.sendAfterSync(from, RequestVoteReply{term: c.term, granted: granted}.WithReason(reason))
}

func (c *Core) onRequestVoteReply(from MemberID, m RequestVoteReply) {
	if !m.granted && c.role == Candidate && m.term == c.term {
		c.elections.record(from, m.reason.received(false))
	}
	switch {
	case m.term > c.term:
		c.follow(m.term, "")
	case m.granted && c.role == Candidate && m.term == c.term:
		c.recordVote(from)
	}
}

// follow makes this member a follower of leader in term; an empty leader means that it is unknown.
func (c *Core) follow(term uint64, leader MemberID) {
	if c.role == Leader {
		// Committed entries are emitted before StepDown, so that their proposals have a known outcome.
		c.emitApply()
		c.emit(StepDown{term: c.term})
		c.refusePending()
		c.grantedLease = c.expiredLease()
	}
	c.endAttempt(AttemptLost)
	if c.role != Follower {
		c.wakeAt = c.now.Add(c.randomBetween(c.timing.electionMin, c.timing.electionMax))
	}
	if term > c.term {
		c.term, c.vote = term, ""
		c.markDirty()
	}
	c.role, c.leader = Follower, leader
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.self
	c.endAttempt(AttemptWon)
	c.leaderSince = c.now
	c.startedElections = 0
	c.noOpIndex = c.log.lastIndex() + 1
	c.wakeAt = c.now.Add(c.timing.heartbeat)
	c.peers = map[MemberID]*progress{}
	c.promotions = map[MemberID]uint64{}
	c.joining = map[MemberID]string{}
	c.leavingAt = map[MemberID]time.Time{}
	c.transfer = nil
	c.emit(BecomeLeader{term: c.term, noOpIndex: c.noOpIndex})
	c.appendLog(NewEntry(c.noOpIndex, c.term, NoOp, nil))
}
