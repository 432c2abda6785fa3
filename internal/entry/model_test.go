package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/fuzzing"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// agentBehavior is how a stand-in for an agent handles one request.
type agentBehavior string

const (
	answer     agentBehavior = "run and answer"
	dropBefore agentBehavior = "drop before running"
	refuse     agentBehavior = "refuse"
	dropAfter  agentBehavior = "run and drop"
	truncate   agentBehavior = "run and send half of the answer"
	corrupt    agentBehavior = "run and send other bytes under the digest"
	cross      agentBehavior = "run and send the answer to another request"
	twice      agentBehavior = "run and answer twice"
	restart    agentBehavior = "restart before the request arrives"
)

const attemptHeader = "X-Attempt"

// agentFleet is the behavior of all stand-ins for agents. It records which attempts ran under which key.
type agentFleet struct {
	mutex       sync.Mutex
	script      []agentBehavior
	runsByKey   map[string][]string // attempts that ran, by key
	runCounts   map[string]int      // number of runs, by attempt
	incarnation atomic.Uint64
}

func newAgentFleet() *agentFleet {
	af := &agentFleet{runsByKey: map[string][]string{}, runCounts: map[string]int{}}
	af.incarnation.Store(1)
	return af
}

func (af *agentFleet) nextBehavior() agentBehavior {
	af.mutex.Lock()
	defer af.mutex.Unlock()
	if len(af.script) == 0 {
		return answer
	}
	c := af.script[0]
	af.script = af.script[1:]
	return c
}

// run records a run of a request and returns the body of the answer.
func (af *agentFleet) run(r request.Request) (body string) {
	af.mutex.Lock()
	defer af.mutex.Unlock()
	key, attempt := r.Headers().Get("Idempotency-Key"), r.Headers().Get(attemptHeader)
	af.runsByKey[key] = append(af.runsByKey[key], attempt)
	af.runCounts[attempt]++
	return wholeAnswer(attempt, len(r.Body()))
}

// wholeAnswer returns the complete body of the answer to an attempt.
func wholeAnswer(attempt string, size int) string { return attempt + strings.Repeat("=", size) }

func (af *agentFleet) serve(_ context.Context, s *link.Stream, f wire.Forward) {
	r, c := f.Request(), af.nextBehavior()
	if c == restart {
		af.incarnation.Add(1)
	}
	if f.Incarnation() != af.incarnation.Load() {
		_ = wire.WriteAnswer(s, r.ID(), request.NewRefused(outcome.StaleIncarnation, "restarted", 0), 0)
		return
	}
	switch c {
	case dropBefore:
		s.Cancel()
		return
	case refuse:
		_ = wire.WriteAnswer(s, r.ID(), request.NewRefused(outcome.NoSlot, "full", 0), 0)
		return
	default:
	}
	body := af.run(r)
	good := request.NewAnswered(http.StatusOK, nil, []byte(body))
	switch c {
	case dropAfter:
		s.Cancel()
	case truncate:
		_ = wire.WriteAnswer(&truncatingStream{Stream: s, left: len(body)/2 + 8}, r.ID(), good, 0)
	case corrupt:
		_ = wire.WriteAnswer(&corruptingStream{Stream: s}, r.ID(), good, 0)
	case cross:
		_ = wire.WriteAnswer(s, "another", request.NewAnswered(http.StatusOK, nil, []byte("another answer")), 0)
	case twice:
		_ = wire.WriteAnswer(s, r.ID(), good, 0)
		_ = wire.WriteAnswer(s, r.ID(), good, 0)
	default:
		_ = wire.WriteAnswer(s, r.ID(), good, 0)
	}
}

// truncatingStream sends the first left bytes and discards the rest.
type truncatingStream struct {
	*link.Stream
	left int
}

// Write sends as much of p as left allows and reports that all was sent.
func (s *truncatingStream) Write(p []byte) (int, error) {
	n := min(len(p), s.left)
	s.left -= n
	_, _ = s.Stream.Write(p[:n])
	return len(p), nil
}

// corruptingStream changes the last byte of each write. Frames and a small body are written at once, so that is the
// last byte of the body.
type corruptingStream struct {
	*link.Stream
}

// Write sends p with the last byte changed.
func (c *corruptingStream) Write(p []byte) (int, error) {
	p = append([]byte(nil), p...)
	p[len(p)-1] ^= 1
	return c.Stream.Write(p)
}

// model sends requests through two entries and checks each reply against the runs that the agents recorded.
type model struct {
	agents      *agentFleet
	ledger      *fakeLeader
	entries     []*testEntry
	lastNumber  atomic.Int64
	claimFaults []fault
	deadKey     string // key of the request whose entry crashes after dispatch
	mutex       sync.Mutex
}

// commandFault returns the next of claimFaults for a claim, and ackUncommitted for the settling of deadKey, since an
// entry that has crashed settles nothing.
func (m *model) commandFault(c registry.Command) fault {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if s, ok := c.(registry.SettleKey); ok && s.Key() == m.deadKey {
		return ackUncommitted
	}
	if _, ok := c.(registry.ClaimKey); ok && len(m.claimFaults) > 0 {
		f := m.claimFaults[0]
		m.claimFaults = m.claimFaults[1:]
		return f
	}
	return noFault
}

// submission is a request as one send of it through an entry.
type submission struct {
	key        string
	idempotent bool
	size       int
	entry      int
}

func (m *model) send(c submission) (attempt string, r reply, err error) {
	attempt = fmt.Sprintf("attempt-%d", m.lastNumber.Add(1))
	method, body := http.MethodPost, strings.Repeat("b", c.size)
	if c.idempotent {
		method = http.MethodPut
	}
	r, err = m.entries[c.entry].call(context.Background(), method, "/w/previews/a", body,
		"Idempotency-Key", c.key, attemptHeader, attempt)
	return attempt, r, err
}

// check compares a reply with the recorded runs: a request that is not idempotent runs at most once (P5), a request
// that is reported as not run did not run (P4), and an answer belongs to its request (P3).
func (m *model) check(t *rapid.T, c submission, attempt string, r reply) {
	m.agents.mutex.Lock()
	defer m.agents.mutex.Unlock()
	runs := m.agents.runsByKey[c.key]
	if !c.idempotent && len(runs) > 1 {
		t.Fatalf("P5: key %s ran %d times, by %v", c.key, len(runs), runs)
	}
	if r.outcome == outcome.NotRun && m.agents.runCounts[attempt] > 0 {
		t.Fatalf("P4: %s ran and was reported as not-run: %s", attempt, r.body)
	}
	if r.outcome != outcome.Ran || r.status != http.StatusOK {
		return
	}
	own := attempt
	if !c.idempotent && len(runs) > 0 {
		own = runs[0]
	}
	if r.body != wholeAnswer(own, c.size) {
		t.Fatalf("P3: the answer to %s is %.40q of %d bytes, want %.40q",
			attempt, r.body, len(r.body), wholeAnswer(own, c.size))
	}
}

// Guards the promises P3, P4 and P5 against agents, entries and leaders that fail at any point of a request.
func TestPromises(t *testing.T) {
	env := newTestEnv(t)
	m := &model{agents: newAgentFleet()}
	endpoints := []fleet.Endpoint{env.fakeAgent("w1", 64, m.agents.serve), env.fakeAgent("w2", 64, m.agents.serve)}
	first := newEntryWithLeader(t, env, endpoints, entry.WithRetries(100, 3, 0))
	m.ledger, m.entries = first.leader, []*testEntry{first, newEntry(t, env, first.leader, entry.WithRetries(100, 3, 0))}
	m.ledger.setFault(m.commandFault)
	conducts := rapid.SampledFrom([]agentBehavior{
		answer, dropBefore, refuse, dropAfter, truncate, corrupt, cross, twice, restart,
	})
	claims := rapid.SampledFrom([]fault{noFault, noFault, noFault, dropCommand, dropAnswer, unknownError})
	steps := fuzzing.NewCounter(t)
	rapid.Check(t, func(t *rapid.T) {
		m.agents.announce(m.ledger, endpoints, first)
		run := m.lastNumber.Add(1)
		draw := func(t *rapid.T) submission {
			key := fmt.Sprintf("key-%d-%d", run, rapid.IntRange(0, 2).Draw(t, "key"))
			c := submission{key: key, idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") == 0}
			c.size, c.entry = rapid.SampledFrom([]int{0, 10, 6000}).Draw(t, "size"), rapid.IntRange(0, 1).Draw(t, "entry")
			if c.idempotent {
				c.key += "-put"
			}
			m.prepare(rapid.SliceOfN(conducts, 0, 3).Draw(t, "agents"), rapid.SliceOfN(claims, 0, 1).Draw(t, "claims"), "")
			return c
		}
		t.Repeat(steps.CountActions(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				c := draw(t)
				if attempt, r, err := m.send(c); err == nil {
					m.check(t, c, attempt, r)
				}
			},
			"entry dies after dispatch": func(t *rapid.T) {
				c := draw(t)
				m.prepare(nil, nil, c.key)
				_, _, _ = m.send(c)
			},
			"agents announce again": func(*rapid.T) { m.agents.announce(m.ledger, endpoints, first) },
			"resend through both": func(t *rapid.T) {
				c := draw(t)
				m.sendThroughBoth(t, c)
			},
		}))
	})
}

// prepare sets the agents' behaviors for the next requests, the faults of the next claims, and the key of the request
// whose entry crashes.
func (m *model) prepare(script []agentBehavior, claims []fault, dead string) {
	m.agents.mutex.Lock()
	m.agents.script = script
	m.agents.mutex.Unlock()
	m.mutex.Lock()
	m.claimFaults, m.deadKey = claims, dead
	m.mutex.Unlock()
}

// sendThroughBoth sends a request through both entries concurrently and checks both replies.
func (m *model) sendThroughBoth(t *rapid.T, c submission) {
	type sent struct {
		attempt string
		reply   reply
		err     error
	}
	replies := make(chan sent, 2)
	for i := range 2 {
		go func() {
			one := c
			one.entry = i
			attempt, r, err := m.send(one)
			replies <- sent{attempt, r, err}
		}()
	}
	for _, s := range []sent{<-replies, <-replies} {
		if s.err == nil {
			m.check(t, c, s.attempt, s.reply)
		}
	}
}

// announce publishes the endpoints with the current incarnation and waits until te has them.
func (af *agentFleet) announce(fl *fakeLeader, endpoints []fleet.Endpoint, te *testEntry) {
	var list []fleet.Endpoint
	for _, e := range endpoints {
		list = append(list, fleet.NewEndpoint(e.Worker(), e.Address(), e.Slots(), e.Connections(), af.incarnation.Load()))
	}
	fl.update.Publish(fleet.NewUpdate(true, fl.update.Load().Revision()+1, list, nil))
	requirePublished(te.t, te.entry.Board().Fleet(), func(f *fleet.Snapshot) bool {
		return f.Revision() == fl.update.Load().Revision()
	})
}
