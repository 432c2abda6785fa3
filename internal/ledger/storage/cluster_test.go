package storage_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/storage"
)

// failer reports a failed check. *rapid.T and *testing.T implement it.
type failer interface {
	Fatalf(format string, args ...any)
}

// packet is a message in flight.
type packet struct {
	send        ledger.Send
	from        ledger.MemberID
	fromHost    string
	fromAddress string
	toAddress   string
	due         time.Time // zero without a delay of links
}

// host is one host of the control plane. Its disk persists when its core crashes.
type host struct {
	name          string // also its initial address
	address       string
	seeds         []string                   // seeds of its settings; nil for a start with all hosts as initial members
	peerAddresses map[ledger.MemberID]string // by sender, from its last message
	disk          *fakeDisk
	store         *storage.Store
	bootstrap     *ledger.Bootstrap
	core          *ledger.Core
	writes        []ledger.Persist
	applied       uint64
	lines         []string
	accepted      map[uint64]string // accepted proposals by index
	saveDue       time.Time         // end of the sync under way; zero if there is none
}

// cluster is a set of hosts with a simulated clock, network and disks.
type cluster struct {
	t              failer
	now            time.Time
	random         *rand.Rand
	hosts          []*host
	packets        []packet
	blocked        map[[2]string]bool
	freshIDs       int
	addressChanges int
	lastToken      uint64
	linesByToken   map[uint64]string
	oracle         *oracle
	faults         int // that the hosts are set to tolerate; 0 for the default
	// bootstrapState returns the initial state of a host with an empty disk that needs no probes; nil for none.
	bootstrapState func(h *host, fresh ledger.MemberID) (saved ledger.PersistentState, ok bool)
	delay          func(from, toAddress string) time.Duration // delay of a link; nil for none
}

func newCluster(t failer, size int, seed uint64) *cluster {
	return newTolerantCluster(t, size, 0, seed)
}

func newTolerantCluster(t failer, size, faults int, seed uint64) *cluster {
	c := &cluster{
		t: t, faults: faults, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		blocked: map[[2]string]bool{}, linesByToken: map[uint64]string{},
	}
	var members []ledger.Member
	for i := range size {
		h := &host{name: fmt.Sprintf("h%d", i+1), disk: newFakeDisk()}
		h.address = h.name
		c.hosts = append(c.hosts, h)
		members = append(members, ledger.NewMember(ledger.MemberID(h.name), h.name, true))
	}
	c.oracle = newOracle(t, ledger.NewMembership(members...))
	for _, h := range c.hosts {
		c.start(h)
	}
	return c
}

func (c *cluster) checkError(err error) {
	if err != nil {
		c.t.Fatalf("unexpected error: %v", err)
	}
}

func (c *cluster) start(h *host) {
	if h.core != nil || h.bootstrap != nil {
		return
	}
	s, saved, err := storage.Open(h.disk)
	if errors.Is(err, errSync) {
		c.crash(h)
		return
	}
	c.checkError(err)
	h.store, h.peerAddresses = s, map[ledger.MemberID]string{}
	if saved.HardState().Identity() != "" {
		c.startCore(h, saved)
		return
	}
	c.freshIDs++
	id := ledger.MemberID(h.name)
	fresh := ledger.FreshID(id, int64(c.freshIDs))
	if c.bootstrapState != nil {
		if saved, ok := c.bootstrapState(h, fresh); ok {
			c.initialize(h, saved)
			return
		}
	}
	if h.seeds == nil {
		h.bootstrap = ledger.NewBootstrap(id, fresh, c.initialMembers())
		c.bootstrap(h)
		return
	}
	var members []ledger.Member
	for _, a := range h.seeds {
		members = append(members, ledger.NewMember(ledger.MemberID(a), a, true))
	}
	initial := ledger.NewMembership(members...)
	if saved, ok := ledger.BootstrapWithoutProbe(id, fresh, initial, false); ok {
		c.initialize(h, saved)
		return
	}
	h.bootstrap = ledger.NewBootstrap(id, fresh, initial)
	h.bootstrap.DelayFounding(c.now)
	c.bootstrap(h)
}

// reload changes the seeds of the settings of a host.
func (c *cluster) reload(h *host, seeds []string) {
	h.seeds = seeds
	if h.bootstrap != nil {
		h.bootstrap.SetSeeds(seeds)
	}
	if h.core != nil {
		c.step(h, ledger.NewSeeds(seeds))
	}
}

// replace stops a host for good and adds a successor with an empty disk at a new address.
func (c *cluster) replace(h *host, seeds []string) (successor *host) {
	c.crash(h)
	c.addressChanges++
	successor = &host{name: fmt.Sprintf("%s.%d", h.name, c.addressChanges), disk: newFakeDisk(), seeds: seeds}
	successor.address = successor.name
	c.hosts[slices.Index(c.hosts, h)] = successor
	c.start(successor)
	return successor
}

// bootstrap starts the core of a host with an empty disk if the bootstrap is decided, and sends probes otherwise.
func (c *cluster) bootstrap(h *host) {
	saved, ok := h.bootstrap.Decide(c.now)
	if !ok {
		for _, s := range h.bootstrap.Probes() {
			c.enqueue(h, h.bootstrap.FreshID(), s)
		}
		return
	}
	c.initialize(h, saved)
}

// initialize saves the initial state of an empty disk and starts the core.
func (c *cluster) initialize(h *host, saved ledger.PersistentState) {
	snapshot := saved.Snapshot()
	if h.store.Save([]ledger.Persist{ledger.NewPersist(saved.HardState(), &snapshot, nil)}) == nil {
		c.startCore(h, saved)
		return
	}
	c.crash(h)
}

func (c *cluster) startCore(h *host, saved ledger.PersistentState) {
	h.bootstrap, h.writes, h.accepted, h.saveDue = nil, nil, map[uint64]string{}, time.Time{}
	h.core = ledger.NewCore(saved, h.address, ledger.DefaultTiming(), c.now, c.random).WithFaults(c.faults)
	h.lines, h.applied = nil, saved.Snapshot().Index()
	if h.applied > 0 {
		c.restore(h, saved.Snapshot())
	}
	if h.seeds != nil {
		c.step(h, ledger.NewSeeds(h.seeds))
	}
}

func (c *cluster) crash(h *host) {
	h.core, h.bootstrap = nil, nil
	h.disk.crash(c.random)
}

// emptyDisk stops a host and replaces its disk with an empty one.
func (c *cluster) emptyDisk(h *host) {
	h.core, h.bootstrap = nil, nil
	h.disk = newFakeDisk()
}

// changeAddress stops a host and gives it another address.
func (c *cluster) changeAddress(h *host) {
	h.core, h.bootstrap = nil, nil
	h.disk.crash(c.random)
	c.addressChanges++
	h.address = fmt.Sprintf("%s.%d", h.name, c.addressChanges)
}

// initialMembers returns the initial members with their current addresses, as in the settings of a starting host.
func (c *cluster) initialMembers() ledger.Membership {
	var members []ledger.Member
	for _, h := range c.hosts {
		members = append(members, ledger.NewMember(ledger.MemberID(h.name), h.address, true))
	}
	return ledger.NewMembership(members...)
}

func (c *cluster) enqueue(h *host, from ledger.MemberID, s ledger.Send) {
	to, known := h.peerAddresses[s.To()]
	if !known {
		to = s.Address()
	}
	p := packet{send: s, from: from, fromHost: h.name, fromAddress: h.address, toAddress: to}
	if c.delay != nil {
		p.due = c.now.Add(c.delay(h.name, to))
	}
	c.packets = append(c.packets, p)
	if c.delay == nil && len(c.packets) > 400 {
		c.packets = slices.Delete(c.packets, 0, 100)
	}
}

// deliver delivers the packet at i. If keep is set, the packet stays in flight and can be delivered again.
func (c *cluster) deliver(i int, keep bool) {
	p := c.packets[i]
	if !keep {
		c.packets = slices.Delete(c.packets, i, i+1)
	}
	for _, h := range c.hosts {
		if h.address != p.toAddress || c.blocked[[2]string{p.fromHost, h.name}] {
			continue
		}
		if h.peerAddresses != nil {
			h.peerAddresses[p.from] = p.fromAddress
		}
		switch {
		case h.core == nil:
		case p.send.To() == "" || p.send.To() == h.core.Self():
			c.step(h, ledger.NewReceive(p.from, p.send.Message()))
		default:
			c.step(h, ledger.NewOverheard(p.fromAddress, p.send.Message()))
		}
		if h.bootstrap != nil {
			c.receiveProbe(h, p)
		}
	}
}

func (c *cluster) receiveProbe(h *host, p packet) {
	if m, ok := p.send.Message().(ledger.ProbeReply); ok && p.send.To() == h.bootstrap.FreshID() {
		h.bootstrap.RecordReply(p.fromAddress, m)
		c.bootstrap(h)
	} else if _, ok := p.send.Message().(ledger.Probe); ok {
		c.enqueue(h, h.bootstrap.FreshID(), ledger.NewSend(p.from, p.fromAddress, ledger.NewProbeReply(0, false)))
	} else {
		h.bootstrap.RecordMessage(p.send.Message())
		c.bootstrap(h)
	}
}

// save syncs the first count writes of a host. A failed sync crashes the host.
func (c *cluster) save(h *host, count int) {
	if h.core == nil || len(h.writes) == 0 {
		return
	}
	count = min(count, len(h.writes))
	if h.store.Save(h.writes[:count]) != nil {
		c.crash(h)
		return
	}
	last := h.writes[count-1].Sequence()
	h.writes = h.writes[count:]
	c.step(h, ledger.NewPersisted(last))
}

// advanceClock advances the clock and passes a Tick to each core that is due.
func (c *cluster) advanceClock(d time.Duration) {
	c.now = c.now.Add(d)
	for _, h := range c.hosts {
		if h.core != nil && !c.now.Before(h.core.Wake()) {
			c.step(h, ledger.Tick{})
		}
		if h.bootstrap != nil {
			c.bootstrap(h)
		}
	}
}

// run runs all hosts for d, with every message and sync taking up to 10 ms. Blocked links stay blocked.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.advanceClock(10 * time.Millisecond) {
		c.deliverAll()
		c.saveAll(nil)
	}
}

func (c *cluster) propose(h *host) {
	if h.core != nil {
		c.lastToken++
		c.linesByToken[c.lastToken] = fmt.Sprintf("line %d", c.lastToken)
		c.step(h, ledger.NewPropose(ledger.NewProposal(c.lastToken, []byte(c.linesByToken[c.lastToken]))))
	}
}

func (c *cluster) compact(h *host) {
	if h.core != nil {
		data, _ := json.Marshal(h.lines)
		c.step(h, ledger.NewCompact(h.applied, data, ledger.NewTrailing(uint64(c.random.IntN(6)), c.random.IntN(60))))
	}
}

func (c *cluster) step(h *host, in ledger.Input) {
	core := h.core
	for _, e := range core.Step(c.now, c.random, in) {
		switch e := e.(type) {
		case ledger.Send:
			c.enqueue(h, core.Self(), e)
		case ledger.Persist:
			h.writes = append(h.writes, e)
			c.checkPromotion(core, e.Entries())
		case ledger.Apply:
			c.apply(h, e.Entries())
		case ledger.Restore:
			h.accepted = map[uint64]string{}
			c.restore(h, e.Snapshot())
		case ledger.BecomeLeader:
			c.oracle.recordLeader(e.Term(), core.Self())
			c.checkLeases(h)
		case ledger.StepDown:
			h.accepted = map[uint64]string{}
		case ledger.Accepted:
			h.accepted[e.Index()] = c.linesByToken[e.Token()]
		case ledger.Refused:
		}
	}
}

func (c *cluster) apply(h *host, entries []ledger.Entry) {
	for _, e := range entries {
		if e.Index() != h.applied+1 {
			c.t.Fatalf("%s applies entry %d after %d", h.name, e.Index(), h.applied)
		}
		h.applied = e.Index()
		c.oracle.checkCommit(h.name, e, c.now)
		if e.Kind() == ledger.Data {
			h.lines = append(h.lines, string(e.Data()))
			if h.accepted[e.Index()] == string(e.Data()) {
				c.oracle.acknowledged[string(e.Data())] = true
			}
		}
	}
}

func (c *cluster) restore(h *host, s ledger.Snapshot) {
	h.lines = nil
	c.checkError(json.Unmarshal(s.Data(), &h.lines))
	h.applied = s.Index()
	c.oracle.checkRestore(h.name, s.Index(), h.lines)
}

// checkLeases checks that no other host holds a leader lease when h becomes leader.
func (c *cluster) checkLeases(h *host) {
	for _, o := range c.hosts {
		if o != h && o.core != nil && o.core.LeaseExpiresAt().After(c.now) {
			c.t.Fatalf("%s becomes leader while %s holds a lease", h.name, o.name)
		}
	}
}

// checkPromotion checks that a new voter has all entries that were committed one lease before its promotion. It cannot
// have all that are committed at that moment, since the leader learns what a member has with a delay.
func (c *cluster) checkPromotion(core *ledger.Core, entries []ledger.Entry) {
	committed := c.oracle.commitBefore(c.now.Add(-ledger.DefaultTiming().Lease()))
	for _, h := range c.hosts {
		if core.Role() != ledger.Leader || h.core == nil || h.core.LastIndex() >= committed {
			continue
		}
		old, _ := c.oracle.membership().Find(h.core.Self())
		for _, e := range entries {
			if now, _ := e.Membership().Find(h.core.Self()); now.Voter() && !old.Voter() {
				c.t.Fatalf("%s becomes a voter with %d of %d entries", h.name, h.core.LastIndex(), committed)
			}
		}
	}
}
