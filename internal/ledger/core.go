package ledger

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
)

// Role is the state of a member in the election protocol.
type Role string

// Roles of a member. A pre-candidate asks for pre-votes in its current term; a candidate has raised the term.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Random is the source of randomness for timeouts. *rand.Rand of math/rand/v2 implements it.
type Random interface {
	Int64N(n int64) int64
}

// Core is the consensus state machine of one member. It is not safe for concurrent use.
type Core struct {
	self    MemberID
	address string
	timing  Timing
	faults  int       // number of members whose loss at the same time is tolerated
	leaving bool      // this member is about to stop
	epoch   time.Time // start of the core; send times are counted from it
	now     time.Time
	random  Random

	term             uint64
	vote             MemberID
	role             Role
	leader           MemberID
	grantedLease     lease.Granted     // lease that this member has granted to the leader
	wakeAt           time.Time         // time of the next election, vote, join or heartbeat timeout
	votes            map[MemberID]bool // granted pre-votes or votes
	startedElections int               // elections started since the last contact with a leader
	elections        Elections

	log             log
	commitIndex     uint64
	emittedIndex    uint64 // last index passed to the application
	membership      Membership
	membershipIndex uint64 // index of the entry that set the membership

	peers       map[MemberID]*progress
	leaderSince time.Time
	noOpIndex   uint64
	round       uint64                 // number of the last AppendEntries or InstallSnapshot sent
	promotions  map[MemberID]uint64    // tokens of the pending promotions
	joining     map[MemberID]string    // addresses of the members that have asked to join
	leavingAt   map[MemberID]time.Time // time of the latest Leave of each member that is about to stop
	transfer    *transfer
	contacts    contacts

	writes  writes
	effects []Effect
}

// NewCore returns a core that resumes from the saved state, for a member reachable at address. It grants no
// vote for the duration of one leader lease, because it may have granted a lease shortly before it restarted.
func NewCore(saved PersistentState, address string, timing Timing, now time.Time, random Random) *Core {
	c := &Core{
		self:         saved.hardState.identity,
		address:      address,
		timing:       timing,
		faults:       defaultFaults,
		epoch:        now,
		now:          now,
		random:       random,
		term:         saved.hardState.term,
		vote:         saved.hardState.vote,
		role:         Follower,
		log:          newLog(saved.snapshot, saved.entries),
		commitIndex:  saved.snapshot.index,
		emittedIndex: saved.snapshot.index,
	}
	c.writes.durableIndex = c.log.lastIndex()
	c.membership, c.membershipIndex = c.log.membership(c.log.lastIndex())
	c.grantLease()
	if !c.membership.isVoter(c.self) || c.membership.Voters() == 1 {
		c.wakeAt = now // a non-voter asks to join at once, and a single voter needs no other vote
	}
	return c
}

// WithFaults sets the number of members whose loss at the same time is tolerated, disks included, and returns c. It
// must be the same on all members. It is at most what maxVoters allows; 0 leaves the default.
func (c *Core) WithFaults(faults int) *Core {
	if faults > 0 {
		c.faults = min(faults, (maxVoters-1)/2)
	}
	return c
}

// Step processes one input at the given time and returns the effects, which the caller carries out in order.
func (c *Core) Step(now time.Time, random Random, in Input) []Effect {
	c.now, c.random, c.effects = now, random, nil
	switch in := in.(type) {
	case Tick:
	case Receive:
		c.receive(in.from, in.message)
	case Overheard:
		c.onOverheard(in)
	case Seeds:
		c.onSeeds(in)
	case Propose:
		c.propose(in.proposals)
	case MembershipChange:
		c.change(in)
	case Transfer:
		c.beginTransfer(in.token)
	case Stop:
		c.leave()
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
	c.emitApply()
	return c.effects
}

// Wake returns the time at which the caller must pass the next Tick.
func (c *Core) Wake() time.Time {
	if c.role == Leader && c.quorumDeadline().Before(c.wakeAt) {
		return c.quorumDeadline()
	}
	return c.wakeAt
}

func (c *Core) tick() {
	if c.role != Leader {
		c.campaign()
		c.askAsVoter()
		return
	}
	if !c.now.Before(c.quorumDeadline()) {
		c.follow(c.term, "")
		return
	}
	c.expireTransfer()
	if !c.now.Before(c.wakeAt) {
		c.wakeAt = c.now.Add(c.timing.heartbeat)
		for _, p := range c.peers {
			p.heartbeatDue = true
		}
	}
}

// emitApply emits the entries that were committed since the last call.
func (c *Core) emitApply() {
	if c.commitIndex > c.emittedIndex {
		c.emit(Apply{entries: c.log.entriesBetween(c.emittedIndex+1, c.commitIndex)})
		c.emittedIndex = c.commitIndex
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

// grantLease records contact with the leader: until the lease ends, this member votes for no other one.
func (c *Core) grantLease() {
	c.grantedLease = lease.NewGranted(c.now, c.timing.lease)
	// A non-voter keeps its deadline, which is that of its next request to join.
	if c.membership.isVoter(c.self) {
		c.wakeAt = c.now.Add(c.randomBetween(c.timing.electionMin, c.timing.electionMax))
	}
}

func (c *Core) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(c.random.Int64N(int64(high-low)))
}

// Self returns the id of this member, which has a random suffix if its disk was emptied.
func (c *Core) Self() MemberID { return c.self }

// Role returns the role in the current term.
func (c *Core) Role() Role { return c.role }

// Term returns the latest term that this member has seen; it is 0 before the first election.
func (c *Core) Term() uint64 { return c.term }

// Leader returns the id and the address of the leader of the current term; both are empty if it is unknown.
func (c *Core) Leader() (id MemberID, address string) {
	e, _ := c.membership.Find(c.leader)
	return c.leader, e.address
}

// Commit returns the highest index known to be committed.
func (c *Core) Commit() uint64 { return c.commitIndex }

// NoOpIndex returns the index of the no-op entry with which this member last began a term as leader;
// it is 0 if the member has not led.
func (c *Core) NoOpIndex() uint64 { return c.noOpIndex }

// LastIndex returns the index of the last entry of the log, synced or not.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// FirstIndex returns the lowest index that compaction has left in memory.
func (c *Core) FirstIndex() uint64 { return c.log.firstIndex }

// Entries returns the entries in memory from index on. The caller must not modify them.
func (c *Core) Entries(index uint64) []Entry { return c.log.entriesFrom(max(index, c.log.firstIndex)) }

// MembershipCommitted reports whether the latest membership in the log is known to be committed.
func (c *Core) MembershipCommitted() bool { return c.membershipIndex <= c.commitIndex }

// Membership returns the latest membership in the log, which is in force whether or not it is committed.
func (c *Core) Membership() Membership { return c.membership }
