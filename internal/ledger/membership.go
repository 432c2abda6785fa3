package ledger

import (
	"cmp"
	"slices"
)

// Member is one replica of the log.
type Member struct {
	id      MemberID
	address string
	voter   bool
}

// NewMember returns a member. A non-voter receives entries but does not count towards a majority.
func NewMember(id MemberID, address string, voter bool) Member {
	return Member{id: id, address: address, voter: voter}
}

// ID returns the id, which changes when the disk of the member is emptied.
func (m Member) ID() MemberID { return m.id }

// Address returns the address at which the transport reaches the member.
func (m Member) Address() string { return m.address }

// Voter reports whether the member counts towards a majority.
func (m Member) Voter() bool { return m.voter }

// withVote returns a copy that is a voter or a non-voter.
func (m Member) withVote(voter bool) Member { return NewMember(m.id, m.address, voter) }

// maxVoters is the number of hosts that may be reserved for the control plane.
const maxVoters = 7

// Membership is an immutable set of members, sorted by id.
type Membership struct {
	members []Member
}

// NewMembership returns a membership of the given members, which may be in any order.
func NewMembership(members ...Member) Membership {
	m := Membership{members: slices.Clone(members)}
	slices.SortFunc(m.members, func(a, b Member) int { return cmp.Compare(a.id, b.id) })
	return m
}

// Members returns voters and non-voters in the order of their ids. The caller must not modify the slice.
func (m Membership) Members() []Member { return m.members }

// Find returns the member with the given id; ok is false if there is none.
func (m Membership) Find(id MemberID) (found Member, ok bool) {
	i := slices.IndexFunc(m.members, func(e Member) bool { return e.id == id })
	if i < 0 {
		return Member{}, false
	}
	return m.members[i], true
}

// Voters returns the number of voters, silent ones included.
func (m Membership) Voters() int {
	count := 0
	for _, e := range m.members {
		if e.voter {
			count++
		}
	}
	return count
}

// Majority returns the number of voters in a quorum: more than half, so that any two quorums overlap.
func (m Membership) Majority() int { return m.Voters()/2 + 1 }

func (m Membership) isVoter(id MemberID) bool {
	e, ok := m.Find(id)
	return ok && e.voter
}

// hasMajority reports whether more than half of the voters satisfy the condition.
func (m Membership) hasMajority(condition func(MemberID) bool) bool {
	count := 0
	for _, e := range m.members {
		if e.voter && condition(e.id) {
			count++
		}
	}
	return count >= m.Majority()
}

// with returns a membership to which e is added, or in which it replaces the member with the same id.
func (m Membership) with(e Member) Membership {
	return NewMembership(append(slices.Clone(m.without(e.id).members), e)...)
}

func (m Membership) without(id MemberID) Membership {
	return NewMembership(slices.DeleteFunc(slices.Clone(m.members), func(e Member) bool { return e.id == id })...)
}
