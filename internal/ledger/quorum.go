package ledger

import "slices"

// Quorum is the leader's view of the voters at one time; it is immutable.
type Quorum struct {
	voters    int
	majority  int
	silent    []MemberID
	spares    []MemberID
	tolerated int
}

// Quorum returns the leader's view of the voters at the time of the latest Step; it is zero if this member does not
// lead.
func (c *Core) Quorum() (q Quorum) {
	if c.role != Leader {
		return q
	}
	q.voters, q.majority = c.membership.Voters(), c.membership.Majority()
	silent, _ := c.departingVoters()
	for _, e := range silent {
		q.silent = append(q.silent, e.id)
	}
	for _, e := range c.spares() {
		q.spares = append(q.spares, e.id)
	}
	q.tolerated = max(q.voters-len(q.silent)-q.majority, 0)
	return q
}

// Equal reports whether both views are the same.
func (q Quorum) Equal(other Quorum) bool {
	return q.voters == other.voters && q.majority == other.majority && q.tolerated == other.tolerated &&
		slices.Equal(q.silent, other.silent) && slices.Equal(q.spares, other.spares)
}

// Voters returns the number of voters, silent ones included.
func (q Quorum) Voters() int { return q.voters }

// Majority returns the number of voters that must agree.
func (q Quorum) Majority() int { return q.majority }

// Silent returns the voters without recent contact. The caller must not modify the slice.
func (q Quorum) Silent() []MemberID { return q.silent }

// Spares returns the non-voters that could vote at once. The caller must not modify the slice.
func (q Quorum) Spares() []MemberID { return q.spares }

// Tolerated returns how many more voters may be lost now with a majority left.
func (q Quorum) Tolerated() int { return q.tolerated }
