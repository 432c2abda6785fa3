package leader_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/call"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/leader"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

const callTimeout = 5 * time.Second

// host starts a control host that replies to each call with the result of answer; it does not reply if that is nil.
func host(t *testing.T, answer func(call.Call) *call.Reply) (address string) {
	t.Helper()
	return serve(t, func(ctx context.Context, st *link.Stream) {
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
	})
}

// serve starts a control host that serves its streams with handler.
func serve(t *testing.T, handler link.Handler) (address string) {
	t.Helper()
	serverTLS, _, err := keys.Trusted.TLS(time.Now())
	require.NoError(t, err)
	s, err := link.Listen("127.0.0.1:0", serverTLS)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.NoError(t, s.Serve(ctx, handler))
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

// answerAsLeader returns the answers of a leader: OK to pings, the result of answer to all other calls.
func answerAsLeader(answer func(call.Call) *call.Reply) func(call.Call) *call.Reply {
	return func(c call.Call) *call.Reply {
		if _, ping := c.(call.Ping); ping {
			return reply(call.OK)
		}
		return answer(c)
	}
}

// submit submits a job and returns the reply and how long it took.
func submit(t *testing.T, c *leader.Client, timeout, unsentTimeout time.Duration) (r call.Reply, took time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	startedAt := time.Now()
	r = c.Call(ctx, "", call.NewSubmit(call.NewTarget("h", "/q/j", "k"), nil), unsentTimeout)
	return r, time.Since(startedAt)
}

// Guards against a caller that is told that the outcome is unknown although the leader's reply has arrived, because the
// leader had stopped reading before the write returned.
func TestReplyBeforeWriteReturns(t *testing.T) {
	const documentBytes = 4 << 20 // above all flow-control windows
	c := newClient(t, serve(t, func(_ context.Context, st *link.Stream) {
		if _, err := wire.ReadOpening(st); err == nil {
			_ = wire.WriteReply(st, *reply(call.OK))
		}
	}))
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	r := c.Call(ctx, "", call.NewSubmit(call.NewTarget("h", "/q/j", "k"), make([]byte, documentBytes)), 0)
	assert.Equal(t, call.OK, r.Outcome(), r.Reason())
}

// Guards against a call that waits until its deadline although there is no leader, and against the reply Unavailable to
// a call that may have had an effect.
func TestCall(t *testing.T) {
	t.Run("no host answers", func(t *testing.T) {
		r, took := submit(t, newClient(t, "127.0.0.1:9"), callTimeout, 300*time.Millisecond)
		assert.Equal(t, call.Unavailable, r.Outcome())
		assert.Positive(t, r.RetryAfter())
		assert.Less(t, took, time.Second)
	})
	t.Run("no host is the leader", func(t *testing.T) {
		follower := host(t, func(call.Call) *call.Reply { return reply(call.NotLeader) })
		r, took := submit(t, newClient(t, follower), callTimeout, 300*time.Millisecond)
		assert.Equal(t, call.Unavailable, r.Outcome())
		assert.Less(t, took, time.Second)
	})
	t.Run("a follower names the leader", func(t *testing.T) {
		leading := host(t, func(call.Call) *call.Reply { return reply(call.OK) })
		follower := host(t, func(call.Call) *call.Reply {
			r := call.NewReply(call.NotLeader, "").WithHosts(leading, []string{leading})
			return &r
		})
		c := newClient(t, follower)
		r, _ := submit(t, c, callTimeout, 0)
		assert.Equal(t, call.OK, r.Outcome())
	})
	t.Run("the leader does not answer", func(t *testing.T) {
		silent := host(t, answerAsLeader(func(call.Call) *call.Reply { return nil }))
		r, _ := submit(t, newClient(t, silent), 1200*time.Millisecond, 300*time.Millisecond)
		assert.Equal(t, call.Uncertain, r.Outcome())
	})
	t.Run("a refusal after an unanswered attempt leaves the outcome uncertain", func(t *testing.T) {
		n := 0
		unreliable := host(t, answerAsLeader(func(call.Call) *call.Reply {
			if n++; n == 1 {
				return nil
			}
			return reply(call.Refused)
		}))
		r, _ := submit(t, newClient(t, unreliable), callTimeout, 0)
		assert.Equal(t, call.Uncertain, r.Outcome())
	})
}

// Guards against a caller that is told that its call had no effect, although an earlier attempt had one and its answer was
// lost: the next leader may know the queue, the key or the wave no more.
func TestRefusalAfterLostAnswer(t *testing.T) {
	target := call.NewTarget("h", "/q/j", "k")
	refusals := []call.Outcome{
		call.Invalid, call.Unauthorized, call.NoQueue, call.NoJob, call.Refused, call.Unavailable,
	}
	for name, c := range map[string]call.Call{
		"submit":     call.NewSubmit(target, nil),
		"cancel":     call.NewCancel(target),
		"declare":    call.NewDeclare(nil),
		"start wave": call.NewStartWave(batch.NewWave(1, []string{"m"}, 1, time.Time{})),
		"evacuate":   call.NewEvacuate("z", ""),
		"reopen":     call.NewReopen("z"),
	} {
		for _, o := range refusals {
			t.Run(name+" "+string(o), func(t *testing.T) {
				assert.Equal(t, call.Uncertain, outcomeAfterLostAnswer(t, c, o))
			})
		}
		t.Run(name+" ok", func(t *testing.T) {
			assert.Equal(t, call.OK, outcomeAfterLostAnswer(t, c, call.OK))
		})
	}
	for name, c := range map[string]call.Call{
		"read": call.NewRead(target), "read declaration": call.ReadDeclaration{}, "read wave": call.NewReadWave(1),
	} {
		t.Run(name, func(t *testing.T) {
			for _, o := range []call.Outcome{call.OK, call.Unauthorized, call.NoQueue, call.NoJob} {
				assert.Equal(t, o, outcomeAfterLostAnswer(t, c, o), "a read has no effect that an earlier attempt may have had")
			}
		})
	}
}

// Guards against an outcome of another version that is passed on: no status stands for it, and the attempt may have had an
// effect.
func TestUnknownOutcome(t *testing.T) {
	leading := host(t, answerAsLeader(func(call.Call) *call.Reply { return reply("postponed") }))
	r, _ := submit(t, newClient(t, leading), 500*time.Millisecond, 0)
	assert.Equal(t, call.Uncertain, r.Outcome())
	assert.Contains(t, r.Reason(), "postponed")
}

// outcomeAfterLostAnswer returns the outcome of a call whose first attempt is not answered and whose second attempt is
// answered with the given outcome.
func outcomeAfterLostAnswer(t *testing.T, c call.Call, second call.Outcome) call.Outcome {
	t.Helper()
	var attempts atomic.Int32
	leading := serve(t, func(_ context.Context, st *link.Stream) {
		if _, err := wire.ReadOpening(st); err != nil {
			return
		}
		received, err := wire.ReadCall(st)
		if err != nil {
			return
		}
		r := reply(call.OK)
		if _, ping := received.(call.Ping); !ping {
			if attempts.Add(1) == 1 {
				st.Cancel()
				return
			}
			r = reply(second)
		}
		_ = wire.WriteReply(st, *r)
		st.Finish()
	})
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	return newClient(t, leading).Call(ctx, "", c, 0).Outcome()
}

// Guards against calls that are sent again and again to a leader that does not answer, because other hosts still name it
// or because it is the next in the list.
func TestSilentHost(t *testing.T) {
	silent := host(t, func(call.Call) *call.Reply { return nil })
	leading := host(t, func(call.Call) *call.Reply { return reply(call.OK) })
	c := newClient(t, silent, leading)
	c.SuggestLeader(silent)
	r, _ := submit(t, c, callTimeout, 0)
	assert.Equal(t, call.OK, r.Outcome())
	c.SuggestLeader(silent)
	for range 4 {
		r, took := submit(t, c, callTimeout, 0)
		assert.Equal(t, call.OK, r.Outcome())
		assert.Less(t, took, 500*time.Millisecond)
	}
}

// Guards against a call that is retried on a host to which no control host answers any more, although another host would
// serve the caller at once.
func TestUnreachable(t *testing.T) {
	t.Run("nothing was sent", func(t *testing.T) {
		silent := host(t, func(call.Call) *call.Reply { return nil })
		r, took := submit(t, newClient(t, silent), callTimeout, 0)
		assert.Equal(t, call.Unavailable, r.Outcome())
		assert.Less(t, took, 1500*time.Millisecond)
	})
	t.Run("an earlier attempt was sent", func(t *testing.T) {
		var failed atomic.Bool
		failing := host(t, func(c call.Call) *call.Reply {
			if _, ping := c.(call.Ping); ping && !failed.Load() {
				return reply(call.OK)
			}
			failed.Store(true)
			return nil
		})
		r, took := submit(t, newClient(t, failing), callTimeout, 0)
		assert.Equal(t, call.Uncertain, r.Outcome())
		assert.Less(t, took, 2*time.Second)
	})
}

// Guards against a call that waits for the timeout of its attempt at a leader that was replaced meanwhile.
func TestReplacedLeader(t *testing.T) {
	silent := host(t, func(call.Call) *call.Reply { return nil })
	second := host(t, func(call.Call) *call.Reply { return reply(call.OK) })
	c := newClient(t, silent, second)
	c.SuggestLeader(silent)
	r, took := submit(t, c, callTimeout, 0)
	assert.Equal(t, call.OK, r.Outcome())
	assert.Less(t, took, 550*time.Millisecond)
}

// Guards against a leader that answers but counts as unknown for avoidDuration after one failed attempt: an agent opens no
// session meanwhile, so the leader gives its worker no runs.
func TestLeaderAfterFailedAttempt(t *testing.T) {
	answers := 0
	leading := host(t, answerAsLeader(func(call.Call) *call.Reply {
		if answers++; answers == 1 {
			return nil
		}
		return reply(call.OK)
	}))
	c := newClient(t, leading)
	r, _ := submit(t, c, callTimeout, 0)
	require.Equal(t, call.OK, r.Outcome())
	assert.Equal(t, leading, c.Leader())
}

// Guards against a client that loses the seeds of a reload to a reply that it handles at the same time.
func TestSeedsDuringReplies(t *testing.T) {
	const callers, reloads = 8, 3000
	leading := host(t, func(call.Call) *call.Reply {
		r := call.NewReply(call.OK, "").WithHosts("", []string{fmt.Sprintf("127.0.0.1:%d", 1+rand.IntN(50))})
		return &r
	})
	c := newClient(t, leading)
	ctx, cancel := context.WithCancel(t.Context())
	var g sync.WaitGroup
	for range callers {
		g.Go(func() {
			for ctx.Err() == nil {
				c.Call(ctx, "", call.Ping{}, 0)
			}
		})
	}
	for i := range reloads {
		last := fmt.Sprintf("127.0.0.1:%d", 100+i)
		c.SetSeeds([]string{leading, last})
		time.Sleep(50 * time.Microsecond)
		if !assert.Contains(t, c.Hosts(), last) {
			break
		}
	}
	cancel()
	g.Wait()
}

// Guards against a client that forgets the hosts which the leader has listed, because a host that is no leader lists
// others: a host that joins knows the seeds of its first start only.
func TestHostsOfFollower(t *testing.T) {
	const gone = "127.0.0.1:9"
	var phase atomic.Value
	phase.Store("all up")
	var leading, next, joining string
	next = host(t, func(call.Call) *call.Reply {
		if phase.Load() == "next leads" {
			return reply(call.OK)
		}
		return nil
	})
	joining = host(t, func(call.Call) *call.Reply {
		r := call.NewReply(call.NotLeader, "").WithHosts("", []string{gone})
		return &r
	})
	leading = host(t, func(call.Call) *call.Reply {
		if phase.Load() != "all up" {
			return nil
		}
		r := call.NewReply(call.OK, "").WithHosts(leading, []string{leading, next, joining})
		return &r
	})
	c := newClient(t, leading)
	r, _ := submit(t, c, callTimeout, 0)
	require.Equal(t, call.OK, r.Outcome())
	c.SetSeeds([]string{joining, gone})
	phase.Store("only the joining host answers")
	assert.False(t, c.Confirm(t.Context(), leading))
	phase.Store("next leads")
	r, _ = submit(t, c, callTimeout, 3*time.Second)
	assert.Equal(t, call.OK, r.Outcome(), r.Reason())
}

// Guards against reads that fail one after the other over a slow link: a read that its caller gave up dropped the leader,
// and a read that first searches for the leader takes two round trips, for which its caller does not wait.
func TestReadsOverSlowLink(t *testing.T) {
	const roundTrip, readTimeout = 280 * time.Millisecond, 500 * time.Millisecond
	var delayed atomic.Bool
	leading := host(t, func(c call.Call) *call.Reply {
		if _, read := c.(call.Read); read && delayed.CompareAndSwap(false, true) {
			time.Sleep(roundTrip)
		}
		time.Sleep(roundTrip)
		return reply(call.OK)
	})
	c := newClient(t, leading)
	require.Eventually(t, func() bool {
		r, _ := submit(t, c, callTimeout, 0)
		return r.Outcome() == call.OK
	}, callTimeout, time.Millisecond, "the connection opens")
	read := func() call.Outcome {
		ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
		defer cancel()
		return c.Call(ctx, "", call.NewRead(call.NewTarget("h", "/q/j", "k")), time.Second).Outcome()
	}
	assert.Equal(t, call.Uncertain, read(), "delayed read")
	failed := 0
	for range 5 {
		if read() != call.OK {
			failed++
		}
	}
	assert.LessOrEqual(t, failed, 1)
}
