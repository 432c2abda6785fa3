package link_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/impair"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/link"
)

const (
	loopback    = "127.0.0.1:0"
	testTimeout = 10 * time.Second
)

// Guards against a peer that cannot distinguish a stream that was not acted on from one that may have been.
func TestNotServed(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		f := newFixture(t, func(_ context.Context, s *link.Stream) { s.Refuse() })
		assert.True(t, link.NotServed(readError(t, f.open(t))))
	})
	t.Run("cancelled", func(t *testing.T) {
		f := newFixture(t, func(_ context.Context, s *link.Stream) { s.Cancel() })
		assert.False(t, link.NotServed(readError(t, f.open(t))))
	})
	t.Run("stopped after all streams were answered", func(t *testing.T) {
		entered := make(chan struct{})
		f := newFixture(t, func(ctx context.Context, _ *link.Stream) {
			close(entered)
			<-ctx.Done()
		})
		s := f.open(t)
		<-entered
		f.server.SetAllAnswered()
		f.stop()
		assert.True(t, link.NotServed(readError(t, s)))
	})
	t.Run("stopped with streams that were not answered", func(t *testing.T) {
		entered := make(chan struct{})
		f := newFixture(t, func(ctx context.Context, _ *link.Stream) {
			close(entered)
			<-ctx.Done()
		})
		s := f.open(t)
		<-entered
		f.stop()
		assert.False(t, link.NotServed(readError(t, s)))
	})
}

// Guards against a complete answer that is discarded because its sender stopped reading before this side had ended.
func TestAnswerBeforeEnd(t *testing.T) {
	written := make(chan struct{}, 1)
	f := newFixture(t, func(_ context.Context, s *link.Stream) {
		<-written
		_, _ = io.ReadFull(s, make([]byte, 1))
		_, _ = s.Write([]byte("answer"))
	})
	t.Run("the sender stopped reading after the last write", func(t *testing.T) {
		s := f.open(t)
		_, err := s.Write([]byte("x"))
		require.NoError(t, err)
		written <- struct{}{}
		awaitStop(t, s)
		s.CloseWrite()
		assertAnswer(t, s)
	})
	t.Run("the sender stopped reading before the last write", func(t *testing.T) {
		s := f.open(t)
		written <- struct{}{}
		awaitStop(t, s)
		_, err := s.Write([]byte("x"))
		require.Error(t, err)
		s.CloseWrite()
		assertAnswer(t, s)
	})
	t.Run("the sender stopped reading during the last write", func(t *testing.T) {
		s := f.open(t)
		time.AfterFunc(10*time.Millisecond, func() { written <- struct{}{} })
		_, err := s.Write(make([]byte, 2<<20))
		require.Error(t, err)
		s.CloseWrite()
		assertAnswer(t, s)
	})
}

// Guards against a connection that accepts no new stream because the credit of ended streams was not returned.
func TestManyStreams(t *testing.T) {
	const streams, goroutines = 16_384 + 256, 16
	f := newFixture(t, func(_ context.Context, s *link.Stream) { _, _ = io.Copy(s, s) })
	var g errgroup.Group
	for range goroutines {
		g.Go(func() error {
			for range streams / goroutines {
				if err := f.echo(t); err != nil {
					return err
				}
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
}

// Guards against a new goroutine for each stream, whose stack has to grow again, and against a server that waits for
// its idle goroutines when it stops.
func TestWorkers(t *testing.T) {
	const streams = 500
	var goroutines sync.Map
	f := newFixture(t, func(_ context.Context, s *link.Stream) {
		goroutines.Store(goroutineName(), true)
		_, _ = io.Copy(s, s)
	})
	for range streams {
		require.NoError(t, f.echo(t))
	}
	used := 0
	goroutines.Range(func(any, any) bool { used++; return true })
	assert.Less(t, used, streams)
	f.pool.Close()
	require.NoError(t, f.server.Close())
	select {
	case err := <-f.ended:
		assert.NoError(t, err)
		f.ended <- nil
	case <-time.After(testTimeout):
		require.FailNow(t, "the server did not end in time")
	}
}

// goroutineName returns the name of the calling goroutine, which contains its id.
func goroutineName() string {
	b := make([]byte, 64)
	name, _, _ := strings.Cut(string(b[:runtime.Stack(b, false)]), " [")
	return name
}

// echo runs one exchange; the stream must open within testTimeout.
func (f *fixture) echo(t testing.TB) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	s, err := f.pool.Open(ctx, f.address)
	if err != nil {
		return err
	}
	defer s.Finish()
	if _, err = s.Write([]byte("x")); err != nil {
		return err
	}
	s.CloseWrite()
	_, err = io.ReadAll(s)
	return err
}

// Guards against a connection that stays in use after a middlebox on its path has lost its state.
func TestSilence(t *testing.T) {
	f := newFixture(t, func(ctx context.Context, s *link.Stream) {
		_, _ = io.Copy(s, s)
		<-ctx.Done()
	})
	relay, err := impair.NewRelay(f.address)
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	f.address = relay.Address()
	assertEchoes(t, f.open(t))
	for range 2 {
		s := f.open(t)
		relay.DropFlows()
		startedAt := time.Now()
		err := readError(t, s)
		took := time.Since(startedAt)
		assert.False(t, link.NotServed(err))
		assert.Less(t, took, 3*time.Second)
		t.Logf("detected after %v: %v", took, err)
		assertEchoes(t, f.open(t))
	}
	assert.Equal(t, 3, relay.Flows())
}

// Guards against callers of an unreachable address that wait for one dial after another, and against a dial that ends
// when its first caller gives up.
func TestDial(t *testing.T) {
	f := newFixture(t, func(_ context.Context, s *link.Stream) { _, _ = io.Copy(s, s) })
	t.Run("unreachable address", func(t *testing.T) {
		startedAt := time.Now()
		failed := make(chan error, 8)
		for range cap(failed) {
			go func() {
				_, err := f.pool.Open(context.Background(), "127.0.0.1:9")
				failed <- err
			}()
		}
		for range cap(failed) {
			assert.Error(t, <-failed)
		}
		assert.Less(t, time.Since(startedAt), 3*time.Second)
		startedAt = time.Now()
		_, err := f.pool.Open(context.Background(), "127.0.0.1:9")
		assert.Error(t, err)
		assert.Less(t, time.Since(startedAt), time.Second, "a later caller waits for the dial")
	})
	t.Run("first caller gives up", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := f.pool.Open(ctx, f.address)
		require.ErrorIs(t, err, context.Canceled)
		assertEchoes(t, f.open(t))
	})
}

// fixture is a server with a handler and a pool that connects to it.
type fixture struct {
	client  *tls.Config
	server  *link.Server
	pool    *link.Pool
	address string
	stop    context.CancelFunc
	ended   chan error
}

func newFixture(t testing.TB, handler link.Handler) *fixture {
	t.Helper()
	a, err := keys.NewAuthority("test", time.Now(), time.Hour)
	require.NoError(t, err)
	f := &fixture{client: issueKeys(t, a, "entry", "e1").Client("agent")}
	f.pool = link.NewPool(f.client)
	f.server, err = link.Listen(loopback, issueKeys(t, a, "agent", "w1").Server())
	require.NoError(t, err)
	f.address = f.server.Address().String()
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.ended = make(chan error, 1)
	go func() { f.ended <- f.server.Serve(ctx, handler) }()
	t.Cleanup(func() {
		f.pool.Close()
		stop()
		assert.NoError(t, <-f.ended)
		_ = f.server.Close()
	})
	return f
}

func (f *fixture) open(t testing.TB) *link.Stream {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	s, err := f.pool.Open(ctx, f.address)
	require.NoError(t, err)
	t.Cleanup(s.Cancel)
	require.NoError(t, s.SetDeadline(time.Now().Add(testTimeout)))
	_, err = s.Write([]byte("x"))
	require.NoError(t, err)
	return s
}

func issueKeys(t testing.TB, a *keys.Authority, role, name string) *keys.Reloader {
	t.Helper()
	id, err := keys.NewIdentity(role, name)
	require.NoError(t, err)
	pair, err := a.Issue(id, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, time.Now(), time.Hour)
	require.NoError(t, err)
	r, err := keys.NewStaticReloader(pair, a.Pair().Certificate())
	require.NoError(t, err)
	return r
}

// readError returns the error that ends the stream, or one that says that it ended in order.
func readError(t *testing.T, s *link.Stream) error {
	t.Helper()
	_, err := io.Copy(io.Discard, s)
	if err == nil {
		err = errors.New("ended in order")
	}
	return err
}

// awaitStop returns once the peer has stopped reading.
func awaitStop(t *testing.T, s *link.Stream) {
	t.Helper()
	require.Eventually(t, func() bool { return s.Context().Err() != nil }, testTimeout, time.Millisecond)
}

// assertAnswer checks that the peer's complete answer can be read.
func assertAnswer(t *testing.T, s *link.Stream) {
	t.Helper()
	data, err := io.ReadAll(s)
	require.NoError(t, err)
	assert.Equal(t, "answer", string(data))
}

// assertEchoes checks that the peer returns the byte that open wrote.
func assertEchoes(t *testing.T, s *link.Stream) {
	t.Helper()
	b := make([]byte, 1)
	_, err := io.ReadFull(s, b)
	assert.NoError(t, err)
	assert.Equal(t, "x", string(b))
}
