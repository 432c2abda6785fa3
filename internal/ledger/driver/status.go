package driver

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Status is a snapshot of the state of a node.
type Status struct {
	self           ledger.MemberID
	role           ledger.Role
	term           uint64
	leader         ledger.MemberID
	leaderAddress  string
	commit         uint64
	applied        uint64
	leading        bool
	leaseExpiresAt time.Time
	membership     ledger.Membership
	settled        bool // the membership is known to be committed
	quorum         ledger.Quorum
	elections      ledger.Elections
	probing        Probing
}

// NewStatus returns the status of a member whose application has applied the log up to an index.
func NewStatus(c *ledger.Core, applied uint64) Status {
	leader, address := c.Leader()
	return Status{
		self: c.Self(), role: c.Role(), term: c.Term(), leader: leader, leaderAddress: address,
		commit: c.Commit(), applied: applied,
		leading:        c.Role() == ledger.Leader && applied >= c.NoOpIndex(),
		leaseExpiresAt: c.LeaseExpiresAt(), membership: c.Membership(), settled: c.MembershipCommitted(), quorum: c.Quorum(),
		elections: c.Elections(),
	}
}

// NewProbingStatus returns the status of a member whose bootstrap is not decided.
func NewProbingStatus(p Probing) Status { return Status{role: ledger.Follower, probing: p} }

// Self returns the id of this member; it is empty until the bootstrap is decided.
func (s Status) Self() ledger.MemberID { return s.self }

// Role returns the role in the current term; it is Follower until the bootstrap is decided.
func (s Status) Role() ledger.Role { return s.role }

// Term returns the latest term that the member has seen.
func (s Status) Term() uint64 { return s.term }

// Leader returns the id of the leader of the current term; it is empty if none is known.
func (s Status) Leader() ledger.MemberID { return s.leader }

// LeaderAddress returns the address of the leader of the current term; it is empty if none is known.
func (s Status) LeaderAddress() string { return s.leaderAddress }

// Commit returns the highest index known to be committed.
func (s Status) Commit() uint64 { return s.commit }

// Applied returns the highest index that the application has applied.
func (s Status) Applied() uint64 { return s.applied }

// Leading reports whether the member is the leader and has applied the first entry of its term. Ready checks the lease
// as well.
func (s Status) Leading() bool { return s.leading }

// Ready reports whether the member may serve requests as the leader at now: it is Leading, and its lease has not ended.
// The time must come from clock.Now, which includes the time that the machine was suspended.
func (s Status) Ready(now time.Time) bool { return s.leading && now.Before(s.leaseExpiresAt) }

// LeaseExpiresAt returns the end of the leader lease, before which no other member can become leader. It is zero if this
// member does not lead or holds no lease.
func (s Status) LeaseExpiresAt() time.Time { return s.leaseExpiresAt }

// Membership returns the latest membership in the log, which is in force whether or not it is committed.
func (s Status) Membership() ledger.Membership { return s.membership }

// Quorum returns the view that the leader has of the voters; it is zero if this member does not lead.
func (s Status) Quorum() ledger.Quorum { return s.quorum }

// Elections returns the record of this member's election attempts and of its answers to those of others.
func (s Status) Elections() ledger.Elections { return s.elections }

// Probing returns the probes of a member with an empty disk; it is zero once the member has an id.
func (s Status) Probing() Probing { return s.probing }

// needsPublish reports whether next differs enough from s to be published. An extension of the lease alone must be at
// least one heartbeat interval long, so that replies under load do not wake all watchers.
func (s Status) needsPublish(next Status, heartbeat time.Duration) bool {
	extension := next.leaseExpiresAt.Sub(s.leaseExpiresAt)
	return s.self != next.self || s.role != next.role || s.term != next.term || s.leader != next.leader ||
		s.leaderAddress != next.leaderAddress || s.commit != next.commit || s.applied != next.applied ||
		s.leading != next.leading || extension < 0 || extension >= heartbeat ||
		s.settled != next.settled || !slices.Equal(s.membership.Members(), next.membership.Members()) ||
		s.elections.Version() != next.elections.Version() || !s.quorum.Equal(next.quorum)
}
