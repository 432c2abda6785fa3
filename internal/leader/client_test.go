package leader_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/call"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/leader"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

const patience = 5 * time.Second

// host is a control host that answers each call by a function; a nil reply is silence.
func host(t *testing.T, answer func(call.Call) *call.Reply) (address string) {
	t.Helper()
	serverTLS, _, err := keys.Trusted.TLS(time.Now())
	require.NoError(t, err)
	s, err := link.Listen("127.0.0.1:0", serverTLS)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.NoError(t, s.Serve(ctx, func(ctx context.Context, st *link.Stream) {
			if _, err := wire.ReadOpening(st); err != nil {
				return
			}
			c, err := wire.ReadCall(st)
			if err != nil {
				return
			}
			r := answer(c)
			if r == nil {
				<-ctx.Done()
				return
			}
			_ = wire.WriteReply(st, *r)
			st.Finish()
		}))
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = s.Close()
	})
	return s.Address().String()
}

func newClient(t *testing.T, seeds ...string) *leader.Client {
	t.Helper()
	_, clientTLS, err := keys.Trusted.TLS(time.Now())
	require.NoError(t, err)
	p := link.NewPool(clientTLS)
	t.Cleanup(p.Close)
	return leader.NewClient(p, seeds)
}

func reply(o call.Outcome) *call.Reply {
	r := call.NewReply(o, "")
	return &r
}

// leading returns the answers of a host that says that it leads, and answers anything else by a function.
func leading(answer func(call.Call) *call.Reply) func(call.Call) *call.Reply {
	return func(c call.Call) *call.Reply {
		if _, ping := c.(call.Ping); ping {
			return reply(call.OK)
		}
		return answer(c)
	}
}

// ask submits a job with a deadline, and returns the reply and how long it took.
func ask(t *testing.T, c *leader.Client, deadline, unsent time.Duration) (r call.Reply, took time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	begun := time.Now()
	r = c.Call(ctx, "", call.NewSubmit(call.NewTarget("h", "/q/j", "k"), nil), unsent)
	return r, time.Since(begun)
}

// Guards against callers that wait until their deadline for a leader that does not come, or hear that a call had no
// effect that may have had one.
func TestCall(t *testing.T) {
	t.Run("no host answers", func(t *testing.T) {
		r, took := ask(t, newClient(t, "127.0.0.1:9"), patience, 300*time.Millisecond)
		assert.Equal(t, call.Unavailable, r.Outcome())
		assert.Positive(t, r.RetryAfter())
		assert.Less(t, took, time.Second)
	})
	t.Run("no host leads", func(t *testing.T) {
		follower := host(t, func(call.Call) *call.Reply { return reply(call.NotLeader) })
		r, took := ask(t, newClient(t, follower), patience, 300*time.Millisecond)
		assert.Equal(t, call.Unavailable, r.Outcome())
		assert.Less(t, took, time.Second)
	})
	t.Run("a follower names the leader", func(t *testing.T) {
		first := host(t, func(call.Call) *call.Reply { return reply(call.OK) })
		follower := host(t, func(call.Call) *call.Reply {
			r := call.NewReply(call.NotLeader, "").WithHosts(first, []string{first})
			return &r
		})
		c := newClient(t, follower)
		r, _ := ask(t, c, patience, 0)
		assert.Equal(t, call.OK, r.Outcome())
	})
	t.Run("a leader that falls silent", func(t *testing.T) {
		silent := host(t, leading(func(call.Call) *call.Reply { return nil }))
		r, _ := ask(t, newClient(t, silent), 1200*time.Millisecond, 300*time.Millisecond)
		assert.Equal(t, call.Uncertain, r.Outcome())
	})
	t.Run("a refusal after silence leaves the first attempt open", func(t *testing.T) {
		n := 0
		moody := host(t, leading(func(call.Call) *call.Reply {
			if n++; n == 1 {
				return nil
			}
			return reply(call.Refused)
		}))
		r, _ := ask(t, newClient(t, moody), patience, 0)
		assert.Equal(t, call.Uncertain, r.Outcome())
	})
}

// Guards against calls that go to a leader which stands still again and again, because other hosts have not noticed or
// its turn comes.
func TestSilentHost(t *testing.T) {
	silent := host(t, func(call.Call) *call.Reply { return nil })
	first := host(t, func(call.Call) *call.Reply { return reply(call.OK) })
	c := newClient(t, silent, first)
	c.SuggestLeader(silent)
	r, _ := ask(t, c, patience, 0)
	assert.Equal(t, call.OK, r.Outcome())
	c.SuggestLeader(silent)
	for range 4 {
		r, took := ask(t, c, patience, 0)
		assert.Equal(t, call.OK, r.Outcome())
		assert.Less(t, took, 500*time.Millisecond)
	}
}

// Guards against callers that are held by a host which no control host answers any more, although another host would
// serve them at once.
func TestUnreachable(t *testing.T) {
	t.Run("nothing was sent", func(t *testing.T) {
		silent := host(t, func(call.Call) *call.Reply { return nil })
		r, took := ask(t, newClient(t, silent), patience, 0)
		assert.Equal(t, call.Unavailable, r.Outcome())
		assert.Less(t, took, 1500*time.Millisecond)
	})
	t.Run("the call was sent before", func(t *testing.T) {
		var fell atomic.Bool
		falling := host(t, func(c call.Call) *call.Reply {
			if _, ping := c.(call.Ping); ping && !fell.Load() {
				return reply(call.OK)
			}
			fell.Store(true)
			return nil
		})
		r, took := ask(t, newClient(t, falling), patience, 0)
		assert.Equal(t, call.Uncertain, r.Outcome())
		assert.Less(t, took, 2*time.Second)
	})
}

// Guards against a call that waits for the end of its attempt at a leader that was replaced meanwhile.
func TestReplacedLeader(t *testing.T) {
	silent := host(t, func(call.Call) *call.Reply { return nil })
	second := host(t, func(call.Call) *call.Reply { return reply(call.OK) })
	c := newClient(t, silent, second)
	c.SuggestLeader(silent)
	r, took := ask(t, c, patience, 0)
	assert.Equal(t, call.OK, r.Outcome())
	assert.Less(t, took, 550*time.Millisecond)
}
