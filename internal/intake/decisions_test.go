package intake

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// start is the time at which each of these tests begins.
var start = time.Unix(1_700_000_000, 0)

// at returns the time some seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// assertRefused checks the reason of a refusal; an empty one stands for none.
func assertRefused(t *testing.T, want Reason, r *Refusal) {
	t.Helper()
	if want == "" {
		assert.Nil(t, r)
		return
	}
	if assert.NotNil(t, r) {
		assert.Equal(t, want, r.Reason())
	}
}

// Guards against a budget that large bodies use up, that one address uses up, or that leaks.
func TestBudget(t *testing.T) {
	const limit = 1 << 20
	t.Run("large bodies leave the reserve", func(t *testing.T) {
		b := NewBudget(limit)
		large := b.NewCharge(nil)
		assertRefused(t, "", large.Add(limit*3/4))
		assertRefused(t, BudgetSpent, b.NewCharge(nil).Add(2*smallBytes))
		small := b.NewCharge(nil)
		assertRefused(t, "", small.Add(smallBytes))
		assertRefused(t, BudgetSpent, small.Add(1))
		large.Release()
		assertRefused(t, "", small.Add(1))
		small.Release()
		assert.Zero(t, b.Held())
	})
	t.Run("one address leaves a part", func(t *testing.T) {
		b := NewBudget(limit)
		peer, other := &Peer{}, &Peer{}
		share := int64(limit * (1 - reserveShare) * peerShare)
		c := b.NewCharge(peer)
		assertRefused(t, "", c.Add(share))
		assertRefused(t, ShareSpent, c.Add(1))
		assert.Equal(t, share, b.Held())
		assertRefused(t, "", b.NewCharge(other).Add(2*smallBytes))
		c.Release()
		assertRefused(t, "", c.Add(share))
	})
	t.Run("small bodies within all of it", func(t *testing.T) {
		b, n := NewBudget(limit), 0
		for b.NewCharge(nil).Add(smallBytes) == nil {
			n++
		}
		assert.Equal(t, limit/smallBytes, n)
	})
}

// Guards against a body that stays unfinished for as long as its sender likes, and against one that is cut although it
// makes progress.
func TestPace(t *testing.T) {
	pace := NewPace(1000, 5*time.Second, 30*time.Second)
	t.Run("nothing arrives", func(t *testing.T) {
		p := pace.Begin(start)
		assert.False(t, p.TooSlow(at(4.9)))
		assert.True(t, p.TooSlow(at(5)))
	})
	t.Run("a byte now and then", func(t *testing.T) {
		p := pace.Begin(start)
		for s := range 5 {
			p.Advance(at(float64(s)), 1)
		}
		assert.True(t, p.TooSlow(at(5)))
	})
	t.Run("the least rate", func(t *testing.T) {
		p := pace.Begin(start)
		for s := 4.0; s < 30; s += 4 {
			assert.False(t, p.TooSlow(at(s)))
			p.Advance(at(s), 1000)
		}
		assert.True(t, p.TooSlow(at(30)), "the whole body is late")
	})
}

// Guards against an answer that is written for longer than the server allows, and against one that is cut although its
// client reads it.
func TestAnswer(t *testing.T) {
	pace := NewPace(1000, 5*time.Second, 30*time.Second)
	t.Run("no deadline", func(t *testing.T) {
		var a answer
		assert.Equal(t, at(5), a.until(start, pace))
		assert.True(t, a.goesOn(at(5), pace, 1000))
		assert.False(t, a.goesOn(at(5), pace, 999))
	})
	t.Run("a deadline", func(t *testing.T) {
		var a answer
		a.setDeadline(at(7))
		assert.Equal(t, at(5), a.until(start, pace))
		assert.Equal(t, at(7), a.until(at(5), pace))
		assert.False(t, a.goesOn(at(7), pace, 1000))
		a.setDeadline(time.Time{})
		assert.True(t, a.goesOn(at(7), pace, 1000))
	})
}

// Guards against a head whose cost is not counted up to its end, or counted beyond it.
func TestHeadCost(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: a\r\n\r\n"
	lines := func(text string) int64 { return int64(strings.Count(text, "\n")) }
	for name, text := range map[string]string{
		"head":               head,
		"line feeds only":    strings.ReplaceAll(head, "\r", ""),
		"empty lines before": "\r\n\r\n\n" + head,
		"no end":             head[:len(head)-2],
	} {
		t.Run(name, func(t *testing.T) {
			for _, piece := range []int{1, 7, len(text)} {
				var m headMeter
				cost := int64(0)
				for rest := text; rest != ""; {
					n := min(piece, len(rest))
					cost += m.next([]byte(rest[:n]))
					rest = rest[n:]
				}
				assert.Equal(t, headByteCost*int64(len(text))+headLineCost*lines(text), cost)
				assert.Equal(t, name != "no end", m.ended)
				if m.ended {
					assert.Zero(t, m.next([]byte("body\n")))
					assert.EqualValues(t, len(text), m.bytes)
				}
			}
		})
	}
}

// Guards against bytes of a next request that are charged to nobody, and against bytes of a body that are charged as such.
func TestSurplus(t *testing.T) {
	const (
		head  = "GET / HTTP/1.1\r\n\r\n"
		begun = "GET / HTTP/1.1\r\nA:\r\n"
	)
	costOf := func(text string) int64 {
		return headByteCost*int64(len(text)) + headLineCost*int64(strings.Count(text, "\n"))
	}
	assertNext := func(t *testing.T, s *surplus, length, cost int64, ended bool) {
		t.Helper()
		m, got := s.next(length)
		assert.Equal(t, cost, got)
		assert.Equal(t, ended, m.ended)
	}
	t.Run("none", func(t *testing.T) {
		assertNext(t, &surplus{}, 0, 0, false)
	})
	t.Run("a body", func(t *testing.T) {
		var s surplus
		s.read([]byte("a\nb\n"))
		assertNext(t, &s, 4, 0, false)
	})
	t.Run("a body that was left unread", func(t *testing.T) {
		var s surplus
		s.read([]byte("a\n"))
		assertNext(t, &s, 1000, 0, false)
	})
	t.Run("a head behind a body, in pieces", func(t *testing.T) {
		var s surplus
		s.read([]byte("a\nb\nGE"))
		s.read([]byte(begun[2:]))
		assertNext(t, &s, 4, costOf(begun), false)
		assertNext(t, &s, 0, 0, false)
	})
	t.Run("two heads", func(t *testing.T) {
		var s surplus
		s.read([]byte(head + begun))
		assertNext(t, &s, 0, costOf(head), true)
		assertNext(t, &s, 0, costOf(begun), false)
		assertNext(t, &s, 0, 0, false)
	})
	t.Run("behind a long body", func(t *testing.T) {
		var s surplus
		s.read(make([]byte, 10*readerBytes))
		s.read(make([]byte, 1000))
		s.read([]byte(begun))
		assertNext(t, &s, 10*readerBytes+1000, costOf(begun), false)
	})
	t.Run("behind a body of unknown length", func(t *testing.T) {
		var s surplus
		s.read([]byte("3\r\nabc\r\n0\r\n\r\n" + begun))
		m, cost := s.next(-1)
		assert.GreaterOrEqual(t, cost, costOf(begun))
		assert.Equal(t, headMeter{}, m)
	})
}

// addressNumber returns an address of a client.
func addressNumber(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}) }

// fill admits connections of clients at different addresses, each in a phase since the given second.
func fill(t *testing.T, table *table, phases ...Phase) (slots []*trackedConnection) {
	t.Helper()
	for i, p := range phases {
		s := newTrackedConnection(at(float64(i)), addressNumber(i))
		_, removed, refusal := table.admit(at(float64(i)), s)
		require.Nil(t, refusal)
		require.Nil(t, removed)
		s.enter(at(float64(i)), p)
		slots = append(slots, s)
	}
	return slots
}

// Guards against a new connection that is not accepted while idle ones are open, and against closing a connection whose
// request may have run.
func TestConnections(t *testing.T) {
	for name, c := range map[string]struct {
		phases []Phase
		now    float64
		closed int // number of the connection, -1 if the new one is refused
	}{
		"the oldest idle one":                    {[]Phase{Serving, Idle, Idle}, 3, 1},
		"idle before receiving":                  {[]Phase{Receiving, Serving, Idle}, 3, 2},
		"the oldest one that has been receiving": {[]Phase{Serving, Receiving, Receiving}, 3, 1},
		"not one that has just begun":            {[]Phase{Serving, Serving, Receiving}, 2.5, -1},
		"not one that is served":                 {[]Phase{Serving, Serving, Serving}, 100, -1},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(len(c.phases))
			slots := fill(t, table, c.phases...)
			_, removed, refusal := table.admit(at(c.now), newTrackedConnection(at(c.now), addressNumber(100)))
			if c.closed < 0 {
				assertRefused(t, NoConnection, refusal)
				return
			}
			assertRefused(t, "", refusal)
			assert.Same(t, slots[c.closed], removed)
			assert.False(t, removed.enter(at(c.now), Serving), "a request is served although its connection is closing")
			assert.Equal(t, len(c.phases), table.size())
			table.remove(removed)
			assert.Equal(t, len(c.phases), table.size())
		})
	}
	t.Run("a request arrives from its first byte on", func(t *testing.T) {
		s := newTrackedConnection(start, addressNumber(1))
		s.arrive(at(1))
		s.arrive(at(2))
		assert.Equal(t, &connectionState{phase: Receiving, since: at(1)}, s.state.Load())
		s.enter(at(3), Serving)
		s.arrive(at(4))
		assert.Equal(t, Serving, s.state.Load().phase)
	})
	t.Run("one address takes its own part", func(t *testing.T) {
		table := newTable(16)
		other := newTrackedConnection(start, addressNumber(1))
		_, _, refusal := table.admit(start, other)
		require.Nil(t, refusal)
		for n := range 100 {
			_, removed, refusal := table.admit(at(float64(1+n)), newTrackedConnection(at(float64(1+n)), addressNumber(2)))
			require.Nil(t, refusal)
			assert.NotSame(t, other, removed)
		}
		assert.Equal(t, 15, table.size())
	})
	t.Run("nothing is kept of an address without connections", func(t *testing.T) {
		table := newTable(4)
		for n := range 100 {
			s := newTrackedConnection(start, addressNumber(n))
			_, _, _ = table.admit(start, s)
			table.remove(s)
		}
		assert.Empty(t, table.peers)
		assert.Zero(t, table.size())
	})
}

// Guards against limits of the settings that exceed what the host has, and against a large host that lowers them.
func TestWithin(t *testing.T) {
	const bodies, body, head, connections = 64 << 20, 4 << 20, 64 << 10, 4096
	l := NewServerLimits(NewServerSizes(bodies, body, head), connections, DefaultPace())
	assert.Equal(t, l, l.Within(Resources{}, 0.25))
	assert.Equal(t, l, l.Within(NewResources(1<<30, 8192), 0.25))
	t.Run("little memory", func(t *testing.T) {
		small := l.Within(NewResources(96<<20, 0), 0.25)
		assert.EqualValues(t, 12<<20, small.BudgetBytes())
		assert.Equal(t, 384, small.Connections())
		assertRefused(t, "", NewBudget(small.BudgetBytes()).NewCharge(&Peer{}).Add(body+headByteCost*head))
	})
	t.Run("few descriptors", func(t *testing.T) {
		small := l.Within(NewResources(0, 160), 0.25)
		assert.Equal(t, l.BudgetBytes(), small.BudgetBytes())
		assert.Equal(t, 120, small.Connections())
	})
}

// Guards against default limits that an ordinary load meets.
func TestDefaults(t *testing.T) {
	for _, c := range []struct {
		memoryMB, clients int
		share             float64
		body, bodies      int64
	}{
		{152, 8, 1.0 / 16, 4 << 20, 1},
		{184, 300, 1.0 / 4, 6000, 300},
		{184, 1, 1.0 / 4, 262_144, 30},
		{408, 8, 1.0 / 16, 4 << 20, 8},
	} {
		t.Run(fmt.Sprintf("%d MB and %d bodies of %d bytes", c.memoryMB, c.bodies, c.body), func(t *testing.T) {
			l := NewLimits(int64(c.memoryMB)<<20, 3900, c.share)
			assert.GreaterOrEqual(t, l.Connections(), c.clients)
			b, peer := NewBudget(l.BudgetBytes()), &Peer{}
			for range c.bodies {
				charge := b.NewCharge(peer)
				assertRefused(t, "", charge.Add(4000)) // the head
				assertRefused(t, "", charge.Add(c.body+1))
				if c.body <= smallBytes {
					assertRefused(t, "", charge.Add(copiesPerBody*c.body))
				}
			}
		})
	}
}
