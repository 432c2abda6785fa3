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

// conduct is what an agent does with one request.
type conduct string

const (
	answer     conduct = "run and answer"
	dropBefore conduct = "drop before running"
	refuse     conduct = "refuse"
	dropAfter  conduct = "run and drop"
	truncate   conduct = "run and send half of the answer"
	corrupt    conduct = "run and send other bytes under the digest"
	cross      conduct = "run and send the answer to another request"
	twice      conduct = "run and answer twice"
	restart    conduct = "restart before the request arrives"
)

const attemptHeader = "X-Attempt"

// plant is the fleet of stand-ins; it records which attempt ran under which key.
type plant struct {
	mutex       sync.Mutex
	script      []conduct
	runs        map[string][]string // key to the attempts that ran
	ran         map[string]int      // attempt to the number of its runs
	incarnation atomic.Uint64
}

func newPlant() *plant {
	p := &plant{runs: map[string][]string{}, ran: map[string]int{}}
	p.incarnation.Store(1)
	return p
}

func (p *plant) next() conduct {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.script) == 0 {
		return answer
	}
	c := p.script[0]
	p.script = p.script[1:]
	return c
}

// work runs a request and returns the whole answer to it.
func (p *plant) work(r request.Request) (body string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	key, attempt := r.Headers().Get("Idempotency-Key"), r.Headers().Get(attemptHeader)
	p.runs[key] = append(p.runs[key], attempt)
	p.ran[attempt]++
	return whole(attempt, len(r.Body()))
}

// whole is the answer that belongs to an attempt.
func whole(attempt string, size int) string { return attempt + strings.Repeat("=", size) }

func (p *plant) serve(_ context.Context, s *link.Stream, f wire.Forward) {
	r, c := f.Request(), p.next()
	if c == restart {
		p.incarnation.Add(1)
	}
	if f.Incarnation() != p.incarnation.Load() {
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
	body := p.work(r)
	good := request.NewAnswered(http.StatusOK, nil, []byte(body))
	switch c {
	case dropAfter:
		s.Cancel()
	case truncate:
		_ = wire.WriteAnswer(&short{Stream: s, left: len(body)/2 + 8}, r.ID(), good, 0)
	case corrupt:
		_ = wire.WriteAnswer(&altered{Stream: s}, r.ID(), good, 0)
	case cross:
		_ = wire.WriteAnswer(s, "another", request.NewAnswered(http.StatusOK, nil, []byte("another answer")), 0)
	case twice:
		_ = wire.WriteAnswer(s, r.ID(), good, 0)
		_ = wire.WriteAnswer(s, r.ID(), good, 0)
	default:
		_ = wire.WriteAnswer(s, r.ID(), good, 0)
	}
}

// short loses all but the first bytes.
type short struct {
	*link.Stream
	left int
}

// Write sends what is left of the quota.
func (s *short) Write(p []byte) (int, error) {
	n := min(len(p), s.left)
	s.left -= n
	_, _ = s.Stream.Write(p[:n])
	return len(p), nil
}

// altered changes the last byte of each write; frames and a small body go out in one, so that is the body's last byte.
type altered struct {
	*link.Stream
}

// Write sends the bytes, the last one changed.
func (a *altered) Write(p []byte) (int, error) {
	p = append([]byte(nil), p...)
	p[len(p)-1] ^= 1
	return a.Stream.Write(p)
}

// model drives two entries and checks each reply against what the plant recorded.
type model struct {
	plant   *plant
	ledger  *ledger
	entries []*site
	drawn   atomic.Int64
	claims  []fault
	dead    string // key of the request whose entry dies after dispatch
	mutex   sync.Mutex
}

// onCommand is the fault of the next command that claims, and the loss of what a dead entry settles.
func (m *model) onCommand(c registry.Command) fault {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if s, ok := c.(registry.SettleKey); ok && s.Key() == m.dead {
		return swallow
	}
	if _, ok := c.(registry.ClaimKey); ok && len(m.claims) > 0 {
		f := m.claims[0]
		m.claims = m.claims[1:]
		return f
	}
	return sound
}

// caller is one send of a request.
type caller struct {
	key        string
	idempotent bool
	size       int
	entry      int
}

func (m *model) send(c caller) (attempt string, r reply, err error) {
	attempt = fmt.Sprintf("attempt-%d", m.drawn.Add(1))
	method, body := http.MethodPost, strings.Repeat("b", c.size)
	if c.idempotent {
		method = http.MethodPut
	}
	r, err = m.entries[c.entry].call(context.Background(), method, "/w/previews/a", body,
		"Idempotency-Key", c.key, attemptHeader, attempt)
	return attempt, r, err
}

// check is the oracle.
func (m *model) check(t *rapid.T, c caller, attempt string, r reply) {
	m.plant.mutex.Lock()
	defer m.plant.mutex.Unlock()
	runs := m.plant.runs[c.key]
	if !c.idempotent && len(runs) > 1 {
		t.Fatalf("P5: key %s ran %d times, by %v", c.key, len(runs), runs)
	}
	if r.outcome == outcome.NotRun && m.plant.ran[attempt] > 0 {
		t.Fatalf("P4: %s ran and was reported as not-run: %s", attempt, r.body)
	}
	if r.outcome != outcome.Ran || r.status != http.StatusOK {
		return
	}
	own := attempt
	if !c.idempotent && len(runs) > 0 {
		own = runs[0]
	}
	if r.body != whole(own, c.size) {
		t.Fatalf("P3: the answer to %s is %.40q of %d bytes, want %.40q", attempt, r.body, len(r.body), whole(own, c.size))
	}
}

// Guards the promises P3, P4 and P5 against agents, entries and ledgers that fail at any point of a request.
func TestPromises(t *testing.T) {
	w := newWorld(t)
	m := &model{plant: newPlant()}
	endpoints := []fleet.Endpoint{w.agent("w1", 64, m.plant.serve), w.agent("w2", 64, m.plant.serve)}
	first := newSite(t, w, endpoints, entry.WithRetries(100, 3, 0))
	m.ledger, m.entries = first.ledger, []*site{first, newEntry(t, w, first.ledger, entry.WithRetries(100, 3, 0))}
	m.ledger.setFault(m.onCommand)
	conducts := rapid.SampledFrom([]conduct{
		answer, dropBefore, refuse, dropAfter, truncate, corrupt, cross, twice, restart,
	})
	claims := rapid.SampledFrom([]fault{sound, sound, sound, dropCommand, dropAnswer, unknownError})
	steps := fuzzing.NewCounter(t)
	rapid.Check(t, func(t *rapid.T) {
		m.plant.renew(m.ledger, endpoints, first)
		run := m.drawn.Add(1)
		draw := func(t *rapid.T) caller {
			key := fmt.Sprintf("key-%d-%d", run, rapid.IntRange(0, 2).Draw(t, "key"))
			c := caller{key: key, idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") == 0}
			c.size, c.entry = rapid.SampledFrom([]int{0, 10, 6000}).Draw(t, "size"), rapid.IntRange(0, 1).Draw(t, "entry")
			if c.idempotent {
				c.key += "-put"
			}
			m.prepare(rapid.SliceOfN(conducts, 0, 3).Draw(t, "agents"), rapid.SliceOfN(claims, 0, 1).Draw(t, "claims"), "")
			return c
		}
		t.Repeat(steps.Actions(map[string]func(*rapid.T){
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
			"agents announce again": func(*rapid.T) { m.plant.renew(m.ledger, endpoints, first) },
			"resend through both": func(t *rapid.T) {
				c := draw(t)
				m.both(t, c)
			},
		}))
	})
}

func (m *model) prepare(script []conduct, claims []fault, dead string) {
	m.plant.mutex.Lock()
	m.plant.script = script
	m.plant.mutex.Unlock()
	m.mutex.Lock()
	m.claims, m.dead = claims, dead
	m.mutex.Unlock()
}

// both sends one request through both entries at the same time.
func (m *model) both(t *rapid.T, c caller) {
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

// renew brings the entries' snapshots to the present incarnation.
func (p *plant) renew(l *ledger, endpoints []fleet.Endpoint, s *site) {
	var list []fleet.Endpoint
	for _, e := range endpoints {
		list = append(list, fleet.NewEndpoint(e.Worker(), e.Address(), e.Slots(), e.Connections(), p.incarnation.Load()))
	}
	l.update.Publish(fleet.NewUpdate(true, l.update.Load().Revision()+1, list, nil))
	requireSection(s.t, s.entry.Board().Fleet(), func(f *fleet.Snapshot) bool {
		return f.Revision() == l.update.Load().Revision()
	})
}
