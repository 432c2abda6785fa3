package driver

import (
	"math/rand/v2"
	"time"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// defaultSnapshotThreshold bounds what a restart replays; 10,000 entries of 300 B are 3 MB.
const defaultSnapshotThreshold = 10_000

// Transport sends messages to other members.
type Transport interface {
	// Send must not block, and may drop the message.
	Send(to ledger.MemberID, address string, message []byte)
}

// Storage makes writes durable before it returns. After an error the process must end.
type Storage interface {
	Save(writes []ledger.Persist) error
	Close() error
}

type options struct {
	id        ledger.MemberID
	address   string
	initial   ledger.Membership
	storage   Storage
	saved     ledger.Saved
	transport Transport
	random    ledger.Random
	timing    ledger.Timing
	threshold uint64
	founding  bool
}

// Option sets one property of a Node.
type Option func(*options)

// WithMember sets the host's id and the address at which the others reach it. The
// member takes this id when its disk founds the ledger, and keeps what its disk holds otherwise.
func WithMember(id ledger.MemberID, address string) Option {
	return func(o *options) { o.id, o.address = id, address }
}

// WithInitialMembers sets the ids and addresses of the voters that found the ledger, this host among them.
func WithInitialMembers(addresses map[ledger.MemberID]string) Option {
	members := make([]ledger.Member, 0, len(addresses))
	for id, a := range addresses {
		members = append(members, ledger.NewMember(id, a, true))
	}
	return func(o *options) { o.initial = ledger.NewMembership(members...) }
}

// WithFoundingDisk says that the whole system starts for the first time, so that an initial member with an empty disk
// founds the ledger without asking the others.
func WithFoundingDisk(first bool) Option { return func(o *options) { o.founding = first } }

// WithStorage sets the storage and what it recovered; the node closes it.
func WithStorage(s Storage, saved ledger.Saved) Option {
	return func(o *options) { o.storage, o.saved = s, saved }
}

// WithTransport sets the transport; a ledger of one member needs none.
func WithTransport(t Transport) Option { return func(o *options) { o.transport = t } }

// WithRandom sets the source of election timeouts and fresh identities; only the node's goroutine uses it.
func WithRandom(r ledger.Random) Option { return func(o *options) { o.random = r } }

// WithTiming sets the durations that the member keeps to, which must be the same on all members.
func WithTiming(t ledger.Timing) Option { return func(o *options) { o.timing = t } }

// WithElectionTimeout sets the bounds of the time after which a silent leader is replaced.
func WithElectionTimeout(least, most time.Duration) Option {
	return func(o *options) { o.timing = o.timing.WithElection(least, most) }
}

// WithSnapshotThreshold sets after how many applied entries a snapshot replaces the log.
func WithSnapshotThreshold(entries uint64) Option {
	return func(o *options) { o.threshold = entries }
}

func newOptions(opts []Option) options {
	o := options{
		transport: noTransport{},
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		timing:    ledger.DefaultTiming(),
		threshold: defaultSnapshotThreshold,
	}
	for _, set := range opts {
		set(&o)
	}
	return o
}

type noTransport struct{}

// Send drops the message; a ledger of one member has nobody to send to.
func (noTransport) Send(ledger.MemberID, string, []byte) {}
