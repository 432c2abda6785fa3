package driver

import (
	"math/rand/v2"
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/ledger"
)

// defaultSnapshotThreshold bounds the number of entries that a restart replays; 10,000 entries of 300 B are 3 MB.
const defaultSnapshotThreshold = 10_000

// defaultSnapshotBytes bounds the data of these entries, which are in memory and on the disk until the next snapshot.
const defaultSnapshotBytes = 8 << 20

// Transport sends encoded messages to other members.
type Transport interface {
	// Send must not block. It may drop the message.
	Send(to ledger.MemberID, address string, message []byte)
}

// Storage persists the state of a member.
type Storage interface {
	// Save makes the writes durable, in order, before it returns. After an error the process must end.
	Save(writes []ledger.Persist) error
	// Close releases the storage after the last Save.
	Close() error
}

type options struct {
	id                ledger.MemberID
	address           string
	initial           ledger.Membership
	seeds             *board.Section[[]string]
	storage           Storage
	saved             ledger.PersistentState
	transport         Transport
	random            ledger.Random
	timing            ledger.Timing
	snapshotThreshold uint64
	snapshotBytes     int
	firstStart        bool
	faults            int
	delayFounding     bool
}

// Option sets one property of a Node.
type Option func(*options)

// WithMember sets the id of this host and the address at which the other members reach it. An initial member uses the
// id if it takes part in the first election; otherwise the id that is stored on the disk, or a fresh one, applies.
func WithMember(id ledger.MemberID, address string) Option {
	return func(o *options) { o.id, o.address = id, address }
}

// WithInitialMembers sets the ids and addresses of the voters that start the log. A host that is not among them joins
// as an additional member.
func WithInitialMembers(addresses map[ledger.MemberID]string) Option {
	members := make([]ledger.Member, 0, len(addresses))
	for id, a := range addresses {
		members = append(members, ledger.NewMember(id, a, true))
	}
	return func(o *options) { o.initial = ledger.NewMembership(members...) }
}

// WithSeeds sets the section that holds the seed addresses of the settings as last read. Members that do not find each
// other by their memberships meet through them.
func WithSeeds(s *board.Section[[]string]) Option { return func(o *options) { o.seeds = s } }

// WithFirstStart sets whether the whole system starts for the first time, so that an initial member with an empty disk
// starts under its configured id without probing the others. If it does not, the start of a log is delayed. Without this
// option it is unknown, and hosts with empty disks start a log once all initial members have replied.
func WithFirstStart(firstStart bool) Option {
	return func(o *options) { o.firstStart, o.delayFounding = firstStart, !firstStart }
}

// WithStorage sets the storage and the state recovered from it. The node closes the storage when Run returns.
func WithStorage(s Storage, saved ledger.PersistentState) Option {
	return func(o *options) { o.storage, o.saved = s, saved }
}

// WithTransport sets the transport. A single member needs none.
func WithTransport(t Transport) Option { return func(o *options) { o.transport = t } }

// WithRandom sets the source of randomness for election timeouts and fresh ids. Only one goroutine of the node uses it.
func WithRandom(r ledger.Random) Option { return func(o *options) { o.random = r } }

// WithTiming sets the timeouts and intervals, which must be the same on all members.
func WithTiming(t ledger.Timing) Option { return func(o *options) { o.timing = t } }

// WithElectionTimeout sets the bounds of the randomized time without contact after which a member starts an election.
func WithElectionTimeout(low, high time.Duration) Option {
	return func(o *options) { o.timing = o.timing.WithElection(low, high) }
}

// WithFaults sets the number of members whose loss at the same time is tolerated, disks included; it must be the same on
// all members. The default is what the initial members tolerate.
func WithFaults(faults int) Option { return func(o *options) { o.faults = faults } }

// WithSnapshotThreshold sets the number of applied entries after which a snapshot replaces them in the log.
func WithSnapshotThreshold(entries uint64) Option {
	return func(o *options) { o.snapshotThreshold = entries }
}

// WithSnapshotBytes sets the bytes of applied data after which a snapshot replaces the entries in the log. After a larger
// snapshot it takes as many bytes as that has, so that the snapshots written stay in proportion to the data.
func WithSnapshotBytes(bytes int) Option {
	return func(o *options) { o.snapshotBytes = bytes }
}

func newOptions(opts []Option) options {
	o := options{
		seeds:             board.NewSection[[]string](nil),
		transport:         noTransport{},
		random:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		timing:            ledger.DefaultTiming(),
		snapshotThreshold: defaultSnapshotThreshold,
		snapshotBytes:     defaultSnapshotBytes,
	}
	for _, set := range opts {
		set(&o)
	}
	if o.faults == 0 {
		o.faults = (len(o.initial.Members()) - 1) / 2
	}
	return o
}

type noTransport struct{}

// Send drops the message. A single member has no receiver.
func (noTransport) Send(ledger.MemberID, string, []byte) {}
