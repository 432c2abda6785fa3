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

// checker is what a cluster tells its oracle; rapid's and testing's T fit.
type checker interface {
	Fatalf(format string, args ...any)
}

// packet is a message under way between two addresses.
type packet struct {
	send   ledger.Send
	from   ledger.MemberID
	host   string
	source string
	to     string
}

// host is one control host: its disk outlives the core.
type host struct {
	address  string // also its name and its first address
	present  string
	heard    map[ledger.MemberID]string // where other members wrote from
	disk     *fakeDisk
	store    *storage.Store
	founding *ledger.Founding
	core     *ledger.Core
	writes   []ledger.Persist
	applied  uint64
	lines    []string
	waiting  map[uint64]string // proposals that were accepted, by index
}

// cluster is hosts with a clock that the test moves.
type cluster struct {
	check   checker
	now     time.Time
	random  *rand.Rand
	hosts   []*host
	packets []packet
	blocked map[[2]string]bool
	fresh   int
	moves   int
	token   uint64
	tokens  map[uint64]string
	oracle  *oracle
}

func newCluster(check checker, size int, seed uint64) *cluster {
	c := &cluster{
		check: check, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		blocked: map[[2]string]bool{}, tokens: map[uint64]string{},
	}
	var members []ledger.Member
	for i := range size {
		h := &host{address: fmt.Sprintf("h%d", i+1), disk: newFakeDisk()}
		h.present = h.address
		c.hosts = append(c.hosts, h)
		members = append(members, ledger.NewMember(ledger.MemberID(h.address), h.address, true))
	}
	c.oracle = newOracle(check, ledger.NewMembership(members...))
	for _, h := range c.hosts {
		c.start(h)
	}
	return c
}

func (c *cluster) checkError(err error) {
	if err != nil {
		c.check.Fatalf("unexpected error: %v", err)
	}
}

func (c *cluster) start(h *host) {
	if h.core != nil || h.founding != nil {
		return
	}
	s, saved, err := storage.Open(h.disk)
	if errors.Is(err, errSync) {
		c.crash(h)
		return
	}
	c.checkError(err)
	h.store, h.heard = s, map[ledger.MemberID]string{}
	if saved.Hard().Identity() != "" {
		c.begin(h, saved)
		return
	}
	c.fresh++
	fresh := ledger.FreshID(ledger.MemberID(h.address), int64(c.fresh))
	h.founding = ledger.NewFounding(ledger.MemberID(h.address), fresh, c.settings())
	c.decide(h)
}

// decide lets a fresh disk ask the others, or begin once it knows how.
func (c *cluster) decide(h *host) {
	saved, ok := h.founding.Decide()
	if !ok {
		for _, s := range h.founding.Ask() {
			c.post(h, h.founding.Fresh(), s)
		}
		return
	}
	snapshot := saved.Snapshot()
	if h.store.Save([]ledger.Persist{ledger.NewPersist(saved.Hard(), &snapshot, nil)}) == nil {
		c.begin(h, saved)
		return
	}
	c.crash(h)
}

func (c *cluster) begin(h *host, saved ledger.Saved) {
	h.founding, h.writes, h.waiting = nil, nil, map[uint64]string{}
	h.core = ledger.NewCore(saved, h.present, ledger.DefaultTiming(), c.now, c.random)
	h.lines, h.applied = nil, saved.Snapshot().Index()
	if h.applied > 0 {
		c.restore(h, saved.Snapshot())
	}
}

func (c *cluster) crash(h *host) {
	h.core, h.founding = nil, nil
	h.disk.crash(c.random)
}

// empty replaces the disk of a host.
func (c *cluster) empty(h *host) {
	h.core, h.founding = nil, nil
	h.disk = newFakeDisk()
}

// move gives a host another address, which it has from its next start.
func (c *cluster) move(h *host) {
	h.core, h.founding = nil, nil
	h.disk.crash(c.random)
	c.moves++
	h.present = fmt.Sprintf("%s.%d", h.address, c.moves)
}

// settings returns the initial members as an operator writes them today.
func (c *cluster) settings() ledger.Membership {
	var members []ledger.Member
	for _, h := range c.hosts {
		members = append(members, ledger.NewMember(ledger.MemberID(h.address), h.present, true))
	}
	return ledger.NewMembership(members...)
}

func (c *cluster) post(h *host, from ledger.MemberID, s ledger.Send) {
	to, heard := h.heard[s.To()]
	if !heard {
		to = s.Address()
	}
	c.packets = append(c.packets, packet{send: s, from: from, host: h.address, source: h.present, to: to})
	if len(c.packets) > 400 {
		c.packets = slices.Delete(c.packets, 0, 100)
	}
}

// deliver hands the packet at i to its receiver.
func (c *cluster) deliver(i int, keep bool) {
	p := c.packets[i]
	if !keep {
		c.packets = slices.Delete(c.packets, i, i+1)
	}
	for _, h := range c.hosts {
		if h.present != p.to || c.blocked[[2]string{p.host, h.address}] {
			continue
		}
		if h.heard != nil {
			h.heard[p.from] = p.source
		}
		if h.core != nil && (p.send.To() == "" || p.send.To() == h.core.Self()) {
			c.step(h, ledger.NewReceive(p.from, p.send.Message()))
		}
		if h.founding != nil {
			c.answer(h, p)
		}
	}
}

func (c *cluster) answer(h *host, p packet) {
	if m, ok := p.send.Message().(ledger.ProbeReply); ok && p.send.To() == h.founding.Fresh() {
		h.founding.Answer(p.source, m)
		c.decide(h)
	} else if _, ok := p.send.Message().(ledger.Probe); ok {
		c.post(h, h.founding.Fresh(), ledger.NewSend(p.from, p.source, ledger.NewProbeReply(0)))
	}
}

// save syncs the first writes of a host; a failed sync ends the process.
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

// pass moves the clock and ticks whoever is due.
func (c *cluster) pass(d time.Duration) {
	c.now = c.now.Add(d)
	for _, h := range c.hosts {
		if h.core != nil && !c.now.Before(h.core.Wake()) {
			c.step(h, ledger.Tick{})
		}
		if h.founding != nil {
			c.decide(h)
		}
	}
}

// calm runs for d in which every message and sync takes up to 10 ms.
func (c *cluster) calm(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.pass(10 * time.Millisecond) {
		c.deliverAll()
		c.saveAll(nil)
	}
}

func (c *cluster) propose(h *host) {
	if h.core != nil {
		c.token++
		c.tokens[c.token] = fmt.Sprintf("line %d", c.token)
		c.step(h, ledger.NewPropose(ledger.NewProposal(c.token, []byte(c.tokens[c.token]))))
	}
}

func (c *cluster) compact(h *host) {
	if h.core != nil {
		data, _ := json.Marshal(h.lines)
		c.step(h, ledger.NewCompact(h.applied, data, uint64(c.random.IntN(6))))
	}
}

func (c *cluster) step(h *host, in ledger.Input) {
	core := h.core
	for _, e := range core.Step(c.now, c.random, in) {
		switch e := e.(type) {
		case ledger.Send:
			c.post(h, core.Self(), e)
		case ledger.Persist:
			h.writes = append(h.writes, e)
			c.checkPromotion(core, e.Entries())
		case ledger.Apply:
			c.apply(h, e.Entries())
		case ledger.Restore:
			h.waiting = map[uint64]string{}
			c.restore(h, e.Snapshot())
		case ledger.BecomeLeader:
			c.oracle.leads(e.Term(), core.Self())
			c.checkLeases(h)
		case ledger.StepDown:
			h.waiting = map[uint64]string{}
		case ledger.Accepted:
			h.waiting[e.Index()] = c.tokens[e.Token()]
		case ledger.Refused:
		}
	}
}

func (c *cluster) apply(h *host, entries []ledger.Entry) {
	for _, e := range entries {
		if e.Index() != h.applied+1 {
			c.check.Fatalf("%s applies entry %d after %d", h.address, e.Index(), h.applied)
		}
		h.applied = e.Index()
		c.oracle.commits(h.address, e)
		if e.Kind() == ledger.Data {
			h.lines = append(h.lines, string(e.Data()))
			if h.waiting[e.Index()] == string(e.Data()) {
				c.oracle.acknowledged[string(e.Data())] = true
			}
		}
	}
}

func (c *cluster) restore(h *host, s ledger.Snapshot) {
	h.lines = nil
	c.checkError(json.Unmarshal(s.Data(), &h.lines))
	h.applied = s.Index()
	c.oracle.restores(h.address, s.Index(), h.lines)
}

// checkLeases guards against a new leader while another one may still answer as the leader.
func (c *cluster) checkLeases(h *host) {
	for _, o := range c.hosts {
		if o != h && o.core != nil && o.core.LeaseEnds().After(c.now) {
			c.check.Fatalf("%s becomes leader while %s holds a lease", h.address, o.address)
		}
	}
}

// checkPromotion guards against a new voter that lacks what is committed.
func (c *cluster) checkPromotion(core *ledger.Core, entries []ledger.Entry) {
	for _, h := range c.hosts {
		if core.Role() != ledger.Leader || h.core == nil || h.core.LastIndex() >= core.Commit() {
			continue
		}
		old, _ := c.oracle.membership().Find(h.core.Self())
		for _, e := range entries {
			if now, _ := e.Membership().Find(h.core.Self()); now.Voter() && !old.Voter() {
				c.check.Fatalf("%s becomes a voter with %d of %d entries", h.address, h.core.LastIndex(), core.Commit())
			}
		}
	}
}
