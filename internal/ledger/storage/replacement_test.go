package storage_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

const (
	initialVoters    = 3
	maxLinkDelay     = 30 * time.Millisecond
	maxSyncTime      = 6 * time.Millisecond
	unplannedGap     = time.Second            // time after which the successor of a lost host starts
	transferTime     = 800 * time.Millisecond // time of one attempt to transfer leadership
	transferAttempts = 5
	leaveInterval    = 100 * time.Millisecond // interval at which a stopping host tells the leader so
	leaveTime        = 3 * time.Second        // time that a host has to give up its vote before a planned stop
	lateCallTime     = 150 * time.Millisecond // time from the end of its leave to its end
	recoveryTime     = 15 * time.Second       // time to recover from a power loss with lost disks
	electionTime     = 2 * time.Second        // time to replace a leader
	proposalRetry    = 500 * time.Millisecond
	compactedEntries = 1000 // entries in memory after which a host compacts its log
	trailingEntries  = 300
	trailingBytes    = 1 << 20
)

// tolerance is the number of faults that a number of control hosts tolerates, and the time that a new host has to catch
// up, after which it no longer counts as a fault.
type tolerance struct {
	faults  int
	catchUp time.Duration
}

func toleranceOf(hosts int) tolerance {
	if hosts < 5 {
		return tolerance{faults: 1, catchUp: 4 * time.Second}
	}
	return tolerance{faults: 2, catchUp: 6 * time.Second}
}

// caller proposes one line after the other. It proposes another one if the leader does not acknowledge it in time.
type caller struct {
	line       string
	leader     *host
	proposedAt time.Time
}

// fault is a host that counts as one of the tolerated faults until a time; the time is zero while it has not ended.
type fault struct {
	name  string
	cause string
	until time.Time
}

// timer is a function that runs at a time.
type timer struct {
	at  time.Time
	run func()
}

// replacement is a cluster whose hosts are replaced for good by others with empty disks and at other addresses. The
// first three hosts are the initial members, the others join. Links have delays, and callers propose without pause.
type replacement struct {
	*cluster
	tolerance tolerance
	links     map[[2]string]time.Duration
	callers   []*caller
	timers    []timer
	pending   []*fault
	created   int
	gone      []string          // hosts that were stopped for good
	owners    map[string]string // names of the hosts by member id
	history   []string
	powerLost bool
	strict    bool // check after each event that the membership tolerates the faults
}

func newReplacement(t failer, size, callers int, seed uint64) *replacement {
	tolerance := toleranceOf(size)
	r := &replacement{
		cluster: newTolerantCluster(nil, initialVoters, tolerance.faults, seed), tolerance: tolerance, created: initialVoters,
		links: map[[2]string]time.Duration{}, owners: map[string]string{},
	}
	r.t = &historyFailer{failer: t, replacement: r}
	r.oracle.t = r.t
	r.bootstrapState, r.delay = r.initialState, r.linkDelay
	r.runFor(3 * time.Second)
	for range callers {
		r.callers = append(r.callers, &caller{})
	}
	return r
}

// historyFailer reports a failed check together with the state of the cluster and the faults before it.
type historyFailer struct {
	failer
	replacement *replacement
}

func (f *historyFailer) Fatalf(format string, args ...any) {
	f.failer.Fatalf("%s\n%s", fmt.Sprintf(format, args...), f.replacement.describe())
}

func (r *replacement) logf(format string, args ...any) {
	r.history = append(r.history, fmt.Sprintf("%7.3f s: ", r.elapsed().Seconds())+fmt.Sprintf(format, args...))
}

func (r *replacement) elapsed() time.Duration { return r.now.Sub(time.Unix(1_000_000, 0)) }

// linkDelay returns the delay of a link, which is the same for all messages so that they stay in order.
func (r *replacement) linkDelay(from, to string) time.Duration {
	link := [2]string{from, to}
	if _, ok := r.links[link]; !ok {
		r.links[link] = time.Duration(r.random.Int64N(int64(maxLinkDelay)))
	}
	return r.links[link]
}

// initialState returns the state of a host that is not an initial member. Its known members are the other hosts.
func (r *replacement) initialState(h *host, fresh ledger.MemberID) (saved ledger.PersistentState, ok bool) {
	if slices.ContainsFunc(r.oracle.initial.Members(), func(e ledger.Member) bool { return e.Address() == h.name }) {
		return saved, false
	}
	var known []ledger.Member
	for _, o := range r.hosts {
		if o != h {
			known = append(known, ledger.NewMember(ledger.MemberID(o.name), o.address, true))
		}
	}
	return ledger.BootstrapWithoutProbe(ledger.MemberID(h.name), fresh, ledger.NewMembership(known...), false)
}

// addHost starts a new host with an empty disk at a new address.
func (r *replacement) addHost() *host {
	r.created++
	h := &host{name: fmt.Sprintf("h%d", r.created), disk: newFakeDisk()}
	h.address = h.name
	r.hosts = append(r.hosts, h)
	r.logf("%s starts with an empty disk", h.name)
	r.start(h)
	return h
}

// stopForGood removes a host with its disk.
func (r *replacement) stopForGood(h *host) {
	r.logf("%s is gone for good", h.name)
	r.emptyDisk(h)
	r.hosts = slices.DeleteFunc(r.hosts, func(o *host) bool { return o == h })
	r.gone = append(r.gone, h.name)
}

// stopPlanned stops a host for good after its successor has had its time to catch up.
func (r *replacement) stopPlanned(h *host) {
	r.logf("%s is told to stop", h.name)
	r.handOver(h)
	r.leave(h)
	r.runFor(lateCallTime)
	r.stopForGood(h)
}

// handOver transfers leadership from a host that is to stop.
func (r *replacement) handOver(h *host) {
	for n := 0; n < transferAttempts && h.core != nil && h.core.Role() == ledger.Leader; n++ {
		r.step(h, ledger.NewTransfer(0))
		r.runUntil(transferTime, func() bool { return h.core == nil || h.core.Role() != ledger.Leader })
	}
}

// leave has a host give up its vote, for which it has leaveTime.
func (r *replacement) leave(h *host) {
	for end := r.now.Add(leaveTime); r.now.Before(end) && h.core != nil; {
		if e, _ := r.oracle.membership().Find(h.core.Self()); !e.Voter() {
			return
		}
		r.step(h, ledger.Stop{})
		r.runFor(leaveInterval)
	}
}

func (r *replacement) after(d time.Duration, f func()) {
	r.timers = append(r.timers, timer{at: r.now.Add(d), run: f})
}

// beginFault counts a host as a fault until endFault is called for it and the time to catch up has passed.
func (r *replacement) beginFault(name, cause string) *fault {
	f := &fault{name: name, cause: cause}
	r.pending = append(r.pending, f)
	return f
}

func (r *replacement) endFault(f *fault) { f.until = r.now.Add(r.tolerance.catchUp) }

// pendingFaults returns the faults that count at this time.
func (r *replacement) pendingFaults() []*fault {
	r.pending = slices.DeleteFunc(r.pending, func(f *fault) bool { return !f.until.IsZero() && !r.now.Before(f.until) })
	return r.pending
}

// sparedFaults returns the number of further faults that are tolerated at this time.
func (r *replacement) sparedFaults() int { return r.tolerance.faults - len(r.pendingFaults()) }

// replacePlanned starts a successor and stops the host for good after the time to catch up, as soon as there is a
// leader and a further fault is tolerated.
func (r *replacement) replacePlanned(h *host) {
	successor := r.addHost()
	r.logf("%s is to replace %s as planned", successor.name, h.name)
	var stop func()
	stop = func() {
		switch {
		case r.powerLost || !slices.Contains(r.hosts, h):
		case r.sparedFaults() < 1 || r.leaseHolder() == nil:
			r.after(100*time.Millisecond, stop)
		default:
			r.stopPlanned(h)
		}
	}
	r.after(r.tolerance.catchUp, stop)
}

// replaceUnplanned stops a host for good and starts its successor later.
func (r *replacement) replaceUnplanned(h *host) {
	f := r.beginFault(h.name, "lost for good, its successor is catching up")
	r.stopForGood(h)
	r.after(unplannedGap, func() {
		r.addHost()
		r.endFault(f)
	})
}

func (r *replacement) restart(h *host, down time.Duration) {
	f := r.beginFault(h.name, "restarted")
	r.logf("%s crashes and is down for %s", h.name, down)
	r.crash(h)
	r.after(down, func() {
		if !r.powerLost {
			r.start(h)
		}
		r.endFault(f)
	})
}

// wipe has a host lose its disk and restarts it.
func (r *replacement) wipe(h *host, down time.Duration) {
	f := r.beginFault(h.name, "its disk is lost")
	r.logf("%s loses its disk and is down for %s", h.name, down)
	r.emptyDisk(h)
	r.after(down, func() {
		if !r.powerLost {
			r.start(h)
		}
		r.endFault(f)
	})
}

// cut blocks the links of a host for a time.
func (r *replacement) cut(h *host, d time.Duration) {
	f := r.beginFault(h.name, "cut off")
	r.logf("%s is cut off for %s", h.name, d)
	r.setCut(h, true)
	r.after(d, func() {
		r.setCut(h, false)
		r.endFault(f)
	})
}

func (r *replacement) setCut(h *host, blocked bool) {
	for n := range r.created + 5 {
		other := fmt.Sprintf("h%d", n+1)
		if other != h.name {
			r.blocked[[2]string{h.name, other}], r.blocked[[2]string{other, h.name}] = blocked, blocked
		}
	}
}

// runFor runs the cluster for d, in steps of 1 ms or more.
func (r *replacement) runFor(d time.Duration) {
	r.runUntil(d, func() bool { return false })
}

// runUntil runs the cluster until the condition holds, and reports false if it does not within d.
func (r *replacement) runUntil(d time.Duration, condition func() bool) bool {
	for end := r.now.Add(d); r.now.Before(end); r.advanceClock(r.untilNextEvent()) {
		if condition() {
			return true
		}
		r.deliverDue()
		r.saveDue()
		r.runTimers()
		r.propose()
		if r.strict {
			r.requireTolerant()
		}
	}
	return condition()
}

func (r *replacement) untilNextEvent() time.Duration {
	next := r.now.Add(20 * time.Millisecond)
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	for _, p := range r.packets {
		earlier(p.due)
	}
	for _, h := range r.hosts {
		earlier(h.saveDue)
		if h.core != nil {
			earlier(h.core.Wake())
		}
	}
	for _, t := range r.timers {
		earlier(t.at)
	}
	return max(next.Sub(r.now), time.Millisecond)
}

func (r *replacement) deliverDue() {
	for i := 0; i < len(r.packets); {
		if r.packets[i].due.After(r.now) {
			i++
			continue
		}
		r.deliver(i, false)
	}
}

// saveDue completes the syncs that are due and starts one for each host that has unsynced writes.
func (r *replacement) saveDue() {
	for _, h := range r.hosts {
		if !h.saveDue.IsZero() && !h.saveDue.After(r.now) {
			h.saveDue = time.Time{}
			r.save(h, len(h.writes))
		}
		if h.core != nil && len(h.writes) > 0 && h.saveDue.IsZero() {
			h.saveDue = r.now.Add(time.Duration(1 + r.random.Int64N(int64(maxSyncTime))))
		}
		if h.core != nil {
			r.owners[string(h.core.Self())] = h.name
			r.compactLong(h)
		}
	}
}

// compactLong compacts the log of a host if it is long.
func (r *replacement) compactLong(h *host) {
	if h.core.LastIndex() < h.core.FirstIndex()+compactedEntries {
		return
	}
	data, err := json.Marshal(h.lines)
	r.checkError(err)
	r.step(h, ledger.NewCompact(h.applied, data, ledger.NewTrailing(trailingEntries, trailingBytes)))
}

func (r *replacement) runTimers() {
	for i := 0; i < len(r.timers); {
		if t := r.timers[i]; !t.at.After(r.now) {
			r.timers = slices.Delete(r.timers, i, i+1)
			t.run()
			continue
		}
		i++
	}
}

// propose has each caller propose its next line to the leader once the one before is acknowledged or given up.
func (r *replacement) propose() {
	for _, k := range r.callers {
		waiting := k.line != "" && !r.oracle.acknowledged[k.line] && k.leader.core != nil &&
			k.leader.core.Role() == ledger.Leader && r.now.Sub(k.proposedAt) < proposalRetry
		if waiting {
			continue
		}
		if l := r.leaseHolder(); l != nil {
			r.cluster.propose(l)
			k.line, k.leader, k.proposedAt = r.linesByToken[r.lastToken], l, r.now
		}
	}
}

// leaseHolder returns the host that holds a leader lease, or nil if there is none.
func (r *replacement) leaseHolder() *host {
	for _, h := range r.hosts {
		if h.core != nil && h.core.LeaseExpiresAt().After(r.now) {
			return h
		}
	}
	return nil
}

// isServed reports whether a leader holds a lease and has applied the first entry of its term.
func (r *replacement) isServed() bool {
	l := r.leaseHolder()
	return l != nil && l.applied >= l.core.NoOpIndex()
}

// isFaulty reports whether a host counts as a fault at this time.
func (r *replacement) isFaulty(h *host) bool {
	return slices.ContainsFunc(r.pendingFaults(), func(f *fault) bool { return f.name == h.name })
}

// soundHosts returns the hosts that do not count as faults, oldest first.
func (r *replacement) soundHosts() (sound []*host) {
	for _, h := range r.hosts {
		if h.core != nil && !r.isFaulty(h) {
			sound = append(sound, h)
		}
	}
	return sound
}

// isTolerant reports whether the voters that are left after the loss of as many further voters as are tolerated are a
// majority of the membership.
func (r *replacement) isTolerant(m ledger.Membership) bool {
	present := 0
	for _, h := range r.hosts {
		if h.core == nil || slices.ContainsFunc(r.pending, func(f *fault) bool { return f.name == h.name && f.until.IsZero() }) {
			continue
		}
		if e, ok := m.Find(h.core.Self()); ok && e.Voter() {
			present++
		}
	}
	return present-max(r.sparedFaults(), 0) >= m.Majority()
}

// requireTolerant checks the committed membership and the latest one of the leader.
func (r *replacement) requireTolerant() {
	if !r.isTolerant(r.oracle.membership()) {
		r.t.Fatalf("the committed membership does not tolerate %d more faults", r.sparedFaults())
	}
	if l := r.leaseHolder(); l != nil && !r.isTolerant(l.core.Membership()) {
		r.t.Fatalf("the latest membership of %s does not tolerate %d more faults", l.name, r.sparedFaults())
	}
}

// losePower empties the disks of the lost hosts, crashes all others at the same moment and starts all after a time.
func (r *replacement) losePower(lost []*host, down time.Duration) {
	for _, h := range r.hosts {
		if slices.Contains(lost, h) {
			r.logf("%s loses power and its disk", h.name)
			r.emptyDisk(h)
			continue
		}
		r.logf("%s loses power", h.name)
		r.crash(h)
	}
	clear(r.blocked)
	r.powerLost = true
	r.runFor(down)
	for _, h := range r.hosts {
		r.start(h)
	}
	r.logf("all hosts start")
}

// requireSurvival loses the disks of the given hosts while all others lose power, and checks that a leader is elected,
// nothing acknowledged is lost and the membership tolerates all faults again.
func (r *replacement) requireSurvival(lost []*host, down time.Duration) {
	r.strict = false
	r.losePower(lost, down)
	r.pending = nil
	end := r.now.Add(recoveryTime)
	if !r.runUntil(recoveryTime, func() bool { return r.leaseHolder() != nil }) {
		r.t.Fatalf("no leader %s after the power loss", recoveryTime)
	}
	r.logf("%s leads", r.leaseHolder().name)
	if !r.runUntil(end.Sub(r.now), func() bool { return r.isTolerant(r.oracle.membership()) }) {
		r.t.Fatalf("the membership does not tolerate %d faults %s after the power loss", r.tolerance.faults, recoveryTime)
	}
	r.callers = nil
	r.runFor(time.Second)
	// A candidate that asked before the leader was elected may replace it once more.
	if !r.runUntil(max(end.Sub(r.now), electionTime), r.isServed) {
		r.t.Fatalf("no leader after the recovery")
	}
	r.oracle.checkFinal(r.leaseHolder().lines)
}

// pickHosts returns count different hosts of the given ones, at random or the oldest ones.
func pickHosts(hosts []*host, count int, oldest bool, random *rand.Rand) (picked []*host) {
	order := slices.Clone(hosts)
	if !oldest {
		random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	}
	return order[:min(count, len(order))]
}

// describe returns the membership with the state of each member, the hosts that are not members, and the history.
func (r *replacement) describe() string {
	var b strings.Builder
	m := r.oracle.membership()
	fmt.Fprintf(&b, "at %.3f s, %d of %d faults pending, %d callers, %d entries committed\n", r.elapsed().Seconds(),
		len(r.pendingFaults()), r.tolerance.faults, len(r.callers), len(r.oracle.committed))
	fmt.Fprintf(&b, "committed membership, %d voters, majority %d:\n", m.Voters(), m.Majority())
	for _, e := range m.Members() {
		fmt.Fprintf(&b, "  %-22s %-9s %s\n", e.ID(), vote(e), r.describeMember(e))
	}
	for _, h := range r.hosts {
		if h.core == nil {
			fmt.Fprintf(&b, "host %s: down\n", h.name)
			continue
		}
		_, known := m.Find(h.core.Self())
		fmt.Fprintf(&b, "host %s: id %s, member %t, %s of term %d, commit %d, last %d, lease %t\n", h.name, h.core.Self(),
			known, h.core.Role(), h.core.Term(), h.core.Commit(), h.core.LastIndex(), h.core.LeaseExpiresAt().After(r.now))
	}
	for _, f := range r.pendingFaults() {
		fmt.Fprintf(&b, "fault: %s, %s\n", f.name, f.cause)
	}
	fmt.Fprintf(&b, "gone for good: %s\nhistory:\n  %s\n", strings.Join(r.gone, " "), strings.Join(r.history, "\n  "))
	return b.String()
}

func vote(e ledger.Member) string {
	if e.Voter() {
		return "voter"
	}
	return "non-voter"
}

func (r *replacement) describeMember(e ledger.Member) string {
	owner, ok := r.owners[string(e.ID())]
	if !ok {
		return "never started"
	}
	for _, h := range r.hosts {
		switch {
		case h.name != owner:
		case h.core == nil:
			return "silent: the host is down"
		case h.core.Self() != e.ID():
			return "silent: the disk of the host was lost"
		case r.blocked[[2]string{h.name, r.hosts[(slices.Index(r.hosts, h)+1)%len(r.hosts)].name}]:
			return "silent: the host is cut off"
		default:
			return "runs"
		}
	}
	return "silent: the host is gone for good"
}
