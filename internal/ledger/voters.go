package ledger

import "time"

const (
	// voterTimeout is the time without contact after which another member may vote in place of a voter.
	voterTimeout = 2500 * time.Millisecond
	// nonVoterTimeout is the time without contact after which a non-voter is removed. It joins again when it returns.
	nonVoterTimeout = time.Minute
	// defaultFaults is the number of members whose loss at the same time is tolerated unless WithFaults is called.
	defaultFaults = 1
)

// minVoters returns the number of voters below which none is demoted: the losses that are tolerated then leave a
// majority, and each committed entry is on a disk that is left.
func (c *Core) minVoters() int { return 2*c.faults + 1 }

// nextVoterChange returns the member whose vote is granted or withdrawn next; ok is false if the voters are to stay.
//
// A silent voter is demoted before a spare is promoted, so that the promotion does not depend on the spare alone. One that
// is about to stop is demoted after the promotion, so that the losses that are tolerated can come at any step. Above
// minVoters both are demoted without a spare: fewer voters tolerate no fewer losses. Promotions keep the number odd from
// minVoters on: an even number tolerates no more losses than one voter less, and in a network partition into halves
// neither has a majority.
func (c *Core) nextVoterChange() (changed Member, ok bool) {
	silent, leaving := c.departingVoters()
	spares := c.spares()
	voters, minimum := c.membership.Voters(), c.minVoters()
	switch {
	case len(spares) > 0 && voters < minimum:
		return spares[0].withVote(true), true
	case len(silent) > 0 && (voters > minimum || len(spares) > 0):
		return silent[0].withVote(false), true
	case len(leaving) > 0 && voters > minimum:
		return leaving[0].withVote(false), true
	case len(leaving) > 0 && len(spares) > 0 && voters < maxVoters:
		return spares[0].withVote(true), true
	case len(leaving) > 0 && len(spares) > 0:
		return leaving[0].withVote(false), true
	case len(spares) > 0 && voters < maxVoters && (voters%2 == 0 || len(spares) > 1):
		return spares[0].withVote(true), true
	default:
		return Member{}, false
	}
}

// departingVoters returns the other voters that are silent, and those that are about to stop.
func (c *Core) departingVoters() (silent, leaving []Member) {
	for _, e := range c.membership.members {
		switch {
		case !e.voter || e.id == c.self:
		case c.isSilent(e):
			silent = append(silent, e)
		case c.isLeaving(e.id):
			leaving = append(leaving, e)
		}
	}
	return silent, leaving
}

// spares returns the non-voters that could vote at once: they answer, have caught up and replace no other member.
func (c *Core) spares() (found []Member) {
	for _, e := range c.membership.members {
		if e.voter || c.isLeaving(e.id) || !c.caughtUp(e.id) || !c.recentlyActive(e.id) {
			continue
		}
		if _, replaces := c.memberToReplace(e.id, e.address); !replaces {
			found = append(found, e)
		}
	}
	return found
}

// isSilent reports whether the member has been without contact for longer than voterTimeout. For one that has not
// answered this leader at all the time is one lease, since the election has come after as long without a leader.
func (c *Core) isSilent(e Member) bool {
	timeout := voterTimeout
	if p := c.peers[e.id]; p != nil && !p.acked {
		timeout = c.timing.lease
	}
	return e.id != c.self && c.now.Sub(c.lastContact(e.id)) > timeout
}

// lastContact returns the send time of the latest message that the member has answered, but no time before this member
// led or the other one was added.
func (c *Core) lastContact(id MemberID) time.Time {
	p := c.peers[id]
	switch {
	case p == nil:
		return c.leaderSince
	case p.acked:
		return c.epoch.Add(p.ackedSentAt)
	default:
		return p.addedAt
	}
}

// recentlyActive reports whether the member is this one or has answered a message that was sent within one lease
// before now.
func (c *Core) recentlyActive(id MemberID) bool {
	p := c.peers[id]
	return id == c.self || p != nil && p.acked && c.epoch.Add(p.ackedSentAt+c.timing.lease).After(c.now)
}

// lostNonVoter returns a non-voter without contact for longer than nonVoterTimeout.
func (c *Core) lostNonVoter() (lost Member, ok bool) {
	for _, e := range c.membership.members {
		if !e.voter && e.id != c.self && c.now.Sub(c.lastContact(e.id)) > nonVoterTimeout {
			return e, true
		}
	}
	return Member{}, false
}
