package leader_test

import (
	"context"
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
	serverTLS, _, err := keys.Trusted(time.Now())
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
	_, clientTLS, err := keys.Trusted(time.Now())
	require.NoError(t, err)
	p := link.NewPool(clientTLS)
	t.Cleanup(p.Close)
	return leader.NewClient(p, seeds)
}

func reply(o call.Outcome) *call.Reply {
	r := call.NewReply(o, "")
	return &r
}

// ask submits a job with a deadline, and returns the reply and how long it took.
func ask(t *testing.T, c *leader.Client, deadline, unsent time.Duration) (r call.Reply, took time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	begun := time.Now()
	r = c.Call(ctx, "", call.NewSubmit(call.NewPlace("h", "/q/j", "k"), nil), unsent)
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
		silent := host(t, func(call.Call) *call.Reply { return nil })
		r, _ := ask(t, newClient(t, silent), 1200*time.Millisecond, 300*time.Millisecond)
		assert.Equal(t, call.Uncertain, r.Outcome())
	})
	t.Run("a refusal after silence leaves the first attempt open", func(t *testing.T) {
		n := 0
		moody := host(t, func(call.Call) *call.Reply {
			if n++; n == 1 {
				return nil
			}
			return reply(call.Refused)
		})
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
	c.Suggest(silent)
	r, _ := ask(t, c, patience, 0)
	assert.Equal(t, call.OK, r.Outcome())
	c.Suggest(silent)
	for range 4 {
		r, took := ask(t, c, patience, 0)
		assert.Equal(t, call.OK, r.Outcome())
		assert.Less(t, took, 500*time.Millisecond)
	}
}
