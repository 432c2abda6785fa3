package driver

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Status is what a node tells of itself.
type Status struct {
	self       ledger.MemberID
	role       ledger.Role
	term       uint64
	leader     ledger.MemberID
	address    string
	commit     uint64
	applied    uint64
	leading    bool
	leaseEnds  time.Time
	membership ledger.Membership
}

// Self returns the node's own id; it is empty until the node has found or joined a ledger.
func (s Status) Self() ledger.MemberID { return s.self }

// Role returns what the member does in its term.
func (s Status) Role() ledger.Role { return s.role }

// Term returns the member's term.
func (s Status) Term() uint64 { return s.term }

// Leader returns the id of the term's leader; it is empty while none is known.
func (s Status) Leader() ledger.MemberID { return s.leader }

// LeaderAddress returns the address of the term's leader; it is empty while none is known.
func (s Status) LeaderAddress() string { return s.address }

// Commit returns the last index that is known to be committed.
func (s Status) Commit() uint64 { return s.commit }

// Applied returns the last index that the application has applied.
func (s Status) Applied() uint64 { return s.applied }

// Leading reports whether the member leads and has applied the first entry of its
// term. It may serve while, besides, the present time is before LeaseEnds.
func (s Status) Leading() bool { return s.leading }

// Ready reports whether the member may serve as the leader at a time of clock.Now, which counts suspended time.
func (s Status) Ready(now time.Time) bool { return s.leading && now.Before(s.leaseEnds) }

// LeaseEnds returns until when no other member can lead; it is zero on a member that does not lead.
func (s Status) LeaseEnds() time.Time { return s.leaseEnds }

// Membership returns the latest membership of the log, committed or not.
func (s Status) Membership() ledger.Membership { return s.membership }

// publishes reports whether watchers should learn of next. An extension of the lease
// alone is worth it once it is at least a heartbeat long, so that replies under load do not wake all watchers.
func (s Status) publishes(next Status, heartbeat time.Duration) bool {
	moved := next.leaseEnds.Sub(s.leaseEnds)
	return s.self != next.self || s.role != next.role || s.term != next.term || s.leader != next.leader ||
		s.address != next.address || s.commit != next.commit || s.applied != next.applied ||
		s.leading != next.leading || moved < 0 || moved >= heartbeat
}
