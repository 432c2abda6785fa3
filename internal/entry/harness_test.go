package entry_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/fuzzing"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/internal/workspace"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const (
	token       = "token-of-previews"
	loopback    = "127.0.0.1:0"
	testTimeout = 10 * time.Second
)

// stepsPerCheck gives more than 10,000 steps in the 200 checks of CI with seed 1.
const stepsPerCheck = 56

func TestMain(m *testing.M) { fuzzing.Main(m, stepsPerCheck) }

// testEnv starts the processes around an entry and issues their keys.
type testEnv struct {
	t         testing.TB
	authority *keys.Authority
	ctx       context.Context
}

func newTestEnv(t testing.TB) *testEnv {
	t.Helper()
	a, err := keys.NewAuthority("test", time.Now(), time.Hour)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &testEnv{t: t, authority: a, ctx: ctx}
}

// keysFor issues keys for the given role and name, valid for an hour.
func (te *testEnv) keysFor(role, name string) *keys.Reloader {
	te.t.Helper()
	id, err := keys.NewIdentity(role, name)
	require.NoError(te.t, err)
	pair, err := te.authority.Issue(id, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, time.Now(), time.Hour)
	require.NoError(te.t, err)
	r, err := keys.NewStaticReloader(pair, te.authority.Pair().Certificate())
	require.NoError(te.t, err)
	return r
}

// serve listens on a new port and runs handler for each stream until the test ends.
func (te *testEnv) serve(role, name string, handler link.Handler) (address string) {
	te.t.Helper()
	s, err := link.Listen(loopback, te.keysFor(role, name).Server())
	require.NoError(te.t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(te.ctx, handler)
	}()
	te.t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return s.Address().String()
}

// agentHandler handles one request in a stand-in for an agent.
type agentHandler func(ctx context.Context, s *link.Stream, f wire.Forward)

// echo answers with the body of the request.
func echo(_ context.Context, s *link.Stream, f wire.Forward) {
	r := f.Request()
	_ = wire.WriteAnswer(s, r.ID(), request.NewAnswered(http.StatusOK, nil, r.Body()), 0)
}

// refuseWith returns a handler that refuses with the given reason and reports inFlight requests in flight.
func refuseWith(reason outcome.Reason, inFlight int64) agentHandler {
	return func(_ context.Context, s *link.Stream, f wire.Forward) {
		_ = wire.WriteAnswer(s, f.Request().ID(), request.NewRefused(reason, "refused", time.Second), inFlight)
	}
}

// dropStream ends the stream without an answer.
func dropStream(_ context.Context, s *link.Stream, _ wire.Forward) { s.Cancel() }

// fakeAgent starts a stand-in for an agent and returns its endpoint, of incarnation 1.
func (te *testEnv) fakeAgent(name string, slots int, handle agentHandler) fleet.Endpoint {
	address := te.serve("agent", name, func(ctx context.Context, s *link.Stream) {
		if _, err := wire.ReadOpening(s); err != nil {
			return
		}
		got, err := wire.ReadForward(s, time.Now())
		if err != nil {
			return
		}
		r, err := got.ReadBody(s, 8<<20)
		if err == nil {
			handle(ctx, s, wire.NewForward(r, got.Incarnation()))
		}
	})
	return fleet.NewEndpoint(fleet.NewWorker(name, "r1", "az1", "rack1"), address, slots, 64, 1)
}

// testEntry is a running entry with its environment and a stand-in for the leader.
type testEntry struct {
	*testEnv
	leader *fakeLeader
	entry  *entry.Entry
	url    string
	log    *logBuffer
	stop   context.CancelFunc
	ended  chan error
}

// logBuffer collects log lines; wrote is signalled after each.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
	wrote chan struct{}
}

// Write appends one log line.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	select {
	case b.wrote <- struct{}{}:
	default:
	}
	return b.text.Write(p)
}

func (b *logBuffer) contains(part string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return bytes.Contains(b.text.Bytes(), []byte(part))
}

func newLog() (*logBuffer, hclog.Logger) {
	b := &logBuffer{wrote: make(chan struct{}, 1)}
	return b, hclog.New(&hclog.LoggerOptions{Output: b, Level: hclog.Debug, JSONFormat: true})
}

func config(t testing.TB, limits workspace.Limits, names ...string) *workspace.Config {
	t.Helper()
	shape, err := workspace.NewShape(1, 1, workspace.Anywhere)
	require.NoError(t, err)
	var list []workspace.Workspace
	for _, n := range names {
		list = append(list, workspace.New(n, n, shape, limits).WithTokenDigests([]string{keys.Digest(token)}))
	}
	c, err := workspace.NewConfig(list, nil, nil)
	require.NoError(t, err)
	return c.WithRevision(1)
}

// newEntryWithLeader starts a stand-in for the leader that sends endpoints, and an entry that watches it.
func newEntryWithLeader(t testing.TB, env *testEnv, endpoints []fleet.Endpoint, opts ...entry.Option) *testEntry {
	t.Helper()
	c := config(t, workspace.NewLimits(100, 100), "previews", "scans")
	fl := newFakeLeader(env, fleet.NewUpdate(true, 1, endpoints, nil).WithConfig(
		workspace.Diff(workspace.EmptyConfig(), c)))
	return newEntry(t, env, fl, opts...)
}

// newEntry starts an entry that watches fl and waits until the entry has the configuration and knows the leader.
func newEntry(t testing.TB, env *testEnv, fl *fakeLeader, opts ...entry.Option) *testEntry {
	t.Helper()
	m := env.keysFor("entry", "e1")
	listener, err := net.Listen("tcp", loopback)
	require.NoError(t, err)
	log, logger := newLog()
	ctx, stop := context.WithCancel(env.ctx)
	te := &testEntry{
		testEnv: env, leader: fl, url: "http://" + listener.Addr().String(), log: log, stop: stop, ended: make(chan error, 1),
	}
	te.entry = entry.New(append([]entry.Option{
		entry.WithLogger(logger), entry.WithTLS(m.Client("agent"), m.Client("control")),
		entry.WithControl([]string{fl.address}), entry.WithListener(listener), entry.WithGrace(testTimeout),
	}, opts...)...)
	go func() {
		te.ended <- te.entry.Run(ctx)
		close(te.ended)
	}()
	t.Cleanup(func() {
		stop()
		for range te.ended {
		}
	})
	if _, ok := fl.update.Load().Config(); ok {
		requirePublished(t, te.entry.Board().Policy(), func(p *entry.Policy) bool { return p.Config().Revision() > 0 })
		// The watcher publishes the configuration shortly before the leader that sent it.
		requirePublished(t, te.entry.Board().Control(), func(c entry.Control) bool { return c.Leader() != "" })
	}
	return te
}

// reply is the HTTP reply that a caller got.
type reply struct {
	status  int
	outcome outcome.Outcome
	reason  outcome.Reason
	header  http.Header
	body    string
}

// call sends a request; headers alternates names and values.
func (te *testEntry) call(ctx context.Context, method, path, body string, headers ...string) (r reply, err error) {
	h, err := http.NewRequestWithContext(ctx, method, te.url+path, bytes.NewBufferString(body))
	if err != nil {
		return reply{}, err
	}
	h.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i < len(headers); i += 2 {
		h.Header.Add(headers[i], headers[i+1])
	}
	answer, err := http.DefaultClient.Do(h)
	if err != nil {
		return reply{}, err
	}
	return readReply(answer)
}

func readReply(answer *http.Response) (r reply, err error) {
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	r = reply{
		status: answer.StatusCode, header: answer.Header, body: string(data),
		outcome: outcome.Outcome(answer.Header.Get(outcome.Header)),
	}
	if b, bad := outcome.ParseBody(data); bad == nil {
		r.reason = b.Reason
	}
	return r, err
}

func requireCall(t testing.TB, te *testEntry, method, path, body string, headers ...string) reply {
	t.Helper()
	r, err := te.call(t.Context(), method, path, body, headers...)
	require.NoError(t, err)
	return r
}

func assertRefused(t testing.TB, r reply, status int, reason outcome.Reason) {
	t.Helper()
	assert.Equal(t, status, r.status, r.body)
	assert.Equal(t, outcome.NotRun, r.outcome)
	assert.Equal(t, reason, r.reason)
}

func assertRan(t testing.TB, r reply, body string) {
	t.Helper()
	assert.Equal(t, outcome.Ran, r.outcome, r.body)
	assert.Equal(t, body, r.body)
}

func assertLost(t testing.TB, r reply, status int, reason outcome.Reason) {
	t.Helper()
	assert.Equal(t, status, r.status, r.body)
	assert.Equal(t, outcome.MayHaveRun, r.outcome)
	assert.Equal(t, reason, r.reason)
}

// requirePublished waits until a published value satisfies fits.
func requirePublished[T any](t testing.TB, s *board.Section[T], fits func(T) bool) {
	t.Helper()
	limit := time.NewTimer(testTimeout)
	defer limit.Stop()
	for {
		v, changed := s.Watch()
		if fits(v) {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			require.FailNow(t, "no published value fits in time")
		}
	}
}

// requireLogged waits until the log contains part.
func requireLogged(t testing.TB, b *logBuffer, part string) {
	t.Helper()
	limit := time.NewTimer(testTimeout)
	defer limit.Stop()
	for !b.contains(part) {
		select {
		case <-b.wrote:
		case <-limit.C:
			require.FailNow(t, "not logged", part)
		}
	}
}

// requireReceive returns the next value from c and fails after testTimeout.
func requireReceive[T any](t testing.TB, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		require.FailNow(t, "nothing received in time")
	}
	return v
}
