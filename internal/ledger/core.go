package ledger

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
)

// Role is what a member does in its term.
type Role string

// The roles of a member.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Random is a source of random numbers; math/rand/v2's *Rand fits.
type Random interface {
	Int64N(n int64) int64
}

// Core is the state machine of one member. It is not safe for concurrent use.
type Core struct {
	self    MemberID
	address string
	timing  Timing
	epoch   time.Time
	now     time.Time
	random  Random

	term    uint64
	vote    MemberID
	role    Role
	leader  MemberID
	heard   lease.Granted
	wakeAt  time.Time
	granted map[MemberID]bool
	lost    int // votes since a leader was known

	log          log
	commit       uint64
	handed       uint64
	membership   Membership
	membershipAt uint64

	peers       map[MemberID]*progress
	leaderSince time.Time
	noOp        uint64
	round       uint64
	promotions  map[MemberID]uint64
	joining     map[MemberID]string
	transfer    *transfer

	writes  writes
	effects []Effect
}

// NewCore returns the core of the member at address whose disk holds saved. The member keeps
// still for one lease, because it may have promised that to a leader before it restarted.
func NewCore(saved Saved, address string, timing Timing, now time.Time, random Random) *Core {
	c := &Core{
		self:    saved.hard.identity,
		address: address,
		timing:  timing,
		epoch:   now,
		now:     now,
		random:  random,
		term:    saved.hard.term,
		vote:    saved.hard.vote,
		role:    Follower,
		log:     newLog(saved.snapshot, saved.entries),
		commit:  saved.snapshot.index,
		handed:  saved.snapshot.index,
	}
	c.writes.durable = c.log.lastIndex()
	c.membership, c.membershipAt = c.log.membership(c.log.lastIndex())
	c.hear()
	if c.membership.Voters() == 1 && c.membership.isVoter(c.self) {
		c.wakeAt = now
	}
	return c
}

// Step takes one input and returns the effects to carry out.
func (c *Core) Step(now time.Time, random Random, in Input) []Effect {
	c.now, c.random, c.effects = now, random, nil
	switch in := in.(type) {
	case Tick:
	case Receive:
		c.receive(in.from, in.message)
	case Propose:
		c.propose(in.proposals)
	case Change:
		c.change(in)
	case Transfer:
		c.beginTransfer(in.token)
	case Persisted:
		c.persisted(in.sequence)
	case Compact:
		c.compact(in)
	}
	if !now.Before(c.Wake()) {
		c.tick()
	}
	if c.role == Leader {
		c.lead()
	}
	c.flush()
	c.hand()
	return c.effects
}

// Wake returns when the core wants its next Tick.
func (c *Core) Wake() time.Time {
	if c.role == Leader && c.quorumEnds().Before(c.wakeAt) {
		return c.quorumEnds()
	}
	return c.wakeAt
}

func (c *Core) tick() {
	if c.role != Leader {
		c.campaign()
		return
	}
	if !c.now.Before(c.quorumEnds()) {
		c.follow(c.term, "")
		return
	}
	c.expireTransfer()
	if !c.now.Before(c.wakeAt) {
		c.wakeAt = c.now.Add(c.timing.heartbeat)
		for _, p := range c.peers {
			p.due = true
		}
	}
}

// hand passes newly committed entries to the application.
func (c *Core) hand() {
	if c.commit > c.handed {
		c.emit(Apply{entries: c.log.between(c.handed+1, c.commit)})
		c.handed = c.commit
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) send(to MemberID, m Message) {
	address := ""
	if e, ok := c.membership.Find(to); ok {
		address = e.address
	}
	c.emit(Send{to: to, address: address, message: m})
}

// hear notes that a leader was heard, which this member promises not to depose for a lease.
func (c *Core) hear() {
	c.heard = lease.NewGranted(c.now, c.timing.lease)
	// A member that is no voter keeps its time to ask for admission.
	if c.membership.isVoter(c.self) || !c.now.Before(c.wakeAt) {
		c.wakeAt = c.now.Add(c.between(c.timing.electionMin, c.timing.electionMax))
	}
}

func (c *Core) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.random.Int64N(int64(most-least)))
}

// Self returns the member's id.
func (c *Core) Self() MemberID { return c.self }

// Role returns what the member does in its term.
func (c *Core) Role() Role { return c.role }

// Term returns the member's term.
func (c *Core) Term() uint64 { return c.term }

// Leader returns the member that leads the term and its address, as far as they are known.
func (c *Core) Leader() (id MemberID, address string) {
	e, _ := c.membership.Find(c.leader)
	return c.leader, e.address
}

// Commit returns the last index that is known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// NoOp returns the index of the leader's first entry of its term.
func (c *Core) NoOp() uint64 { return c.noOp }

// LastIndex returns the index of the last entry of the log.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// FirstIndex returns the index of the first entry that the log still has.
func (c *Core) FirstIndex() uint64 { return c.log.first }

// Entries returns the entries from index on, which the caller must not modify.
func (c *Core) Entries(index uint64) []Entry { return c.log.from(max(index, c.log.first)) }

// Membership returns the latest membership of the log, committed or not.
func (c *Core) Membership() Membership { return c.membership }
