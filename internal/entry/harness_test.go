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
	token    = "token-of-previews"
	loopback = "127.0.0.1:0"
	patience = 10 * time.Second
)

// stepsOfCheck gives more than 10,000 steps in the 200 checks of CI with seed 1.
const stepsOfCheck = 56

func TestMain(m *testing.M) { fuzzing.Main(m, stepsOfCheck) }

// world is one authority and the processes around an entry.
type world struct {
	t         testing.TB
	authority *keys.Authority
	ctx       context.Context
}

func newWorld(t testing.TB) *world {
	t.Helper()
	a, err := keys.NewAuthority("test", time.Now(), time.Hour)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &world{t: t, authority: a, ctx: ctx}
}

func (w *world) material(role, name string) *keys.Reloader {
	w.t.Helper()
	id, err := keys.NewIdentity(role, name)
	require.NoError(w.t, err)
	pair, err := w.authority.Issue(id, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, time.Now(), time.Hour)
	require.NoError(w.t, err)
	r, err := keys.NewMemory(pair, w.authority.Pair().Certificate())
	require.NoError(w.t, err)
	return r
}

// serve runs handler for each stream at a new port until the test ends.
func (w *world) serve(role, name string, handler link.Handler) (address string) {
	w.t.Helper()
	s, err := link.Listen(loopback, w.material(role, name).Server())
	require.NoError(w.t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(w.ctx, handler)
	}()
	w.t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return s.Address().String()
}

// run is what a stand-in of an agent does with one request.
type run func(ctx context.Context, s *link.Stream, f wire.Forward)

// answering answers each request with its own body.
func answering(_ context.Context, s *link.Stream, f wire.Forward) {
	r := f.Request()
	_ = wire.WriteAnswer(s, r.ID(), request.NewAnswered(http.StatusOK, nil, r.Body()), 0)
}

// refusing answers each request with a refusal of the given reason, at the given load.
func refusing(reason outcome.Reason, inFlight int64) run {
	return func(_ context.Context, s *link.Stream, f wire.Forward) {
		_ = wire.WriteAnswer(s, f.Request().ID(), request.NewRefused(reason, "refused", time.Second), inFlight)
	}
}

// cutting ends the stream without an answer.
func cutting(_ context.Context, s *link.Stream, _ wire.Forward) { s.Cancel() }

// agent starts a stand-in of an agent and returns its endpoint with incarnation 1.
func (w *world) agent(name string, slots int, f run) fleet.Endpoint {
	address := w.serve("agent", name, func(ctx context.Context, s *link.Stream) {
		if _, err := wire.ReadOpening(s); err != nil {
			return
		}
		got, err := wire.ReadForward(s, time.Now())
		if err != nil {
			return
		}
		r, err := got.ReadBody(s, 8<<20)
		if err == nil {
			f(ctx, s, wire.NewForward(r, got.Incarnation()))
		}
	})
	return fleet.NewEndpoint(fleet.NewWorker(name, "r1", "az1", "rack1"), address, slots, 64, 1)
}

// site is a running entry with its ledger.
type site struct {
	*world
	ledger *ledger
	entry  *entry.Entry
	url    string
	log    *lines
	stop   context.CancelFunc
	ended  chan error
}

// lines is a log that tests can wait on.
type lines struct {
	mutex sync.Mutex
	text  bytes.Buffer
	wrote chan struct{}
}

// Write appends one line.
func (l *lines) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case l.wrote <- struct{}{}:
	default:
	}
	return l.text.Write(p)
}

func (l *lines) has(part string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return bytes.Contains(l.text.Bytes(), []byte(part))
}

func newLog() (*lines, hclog.Logger) {
	l := &lines{wrote: make(chan struct{}, 1)}
	return l, hclog.New(&hclog.LoggerOptions{Output: l, Level: hclog.Debug, JSONFormat: true})
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

func newSite(t testing.TB, w *world, endpoints []fleet.Endpoint, opts ...entry.Option) *site {
	t.Helper()
	c := config(t, workspace.NewLimits(100, 100), "previews", "scans")
	l := newLedger(w, fleet.NewUpdate(true, 1, endpoints, nil).WithConfig(workspace.Diff(workspace.EmptyConfig(), c)))
	return newEntry(t, w, l, opts...)
}

// newEntry starts an entry of the ledger and waits until its configuration is in force.
func newEntry(t testing.TB, w *world, l *ledger, opts ...entry.Option) *site {
	t.Helper()
	m := w.material("entry", "e1")
	listener, err := net.Listen("tcp", loopback)
	require.NoError(t, err)
	log, logger := newLog()
	ctx, stop := context.WithCancel(w.ctx)
	s := &site{
		world: w, ledger: l, url: "http://" + listener.Addr().String(), log: log, stop: stop, ended: make(chan error, 1),
	}
	s.entry = entry.New(append([]entry.Option{
		entry.WithLogger(logger), entry.WithTLS(m.Client("agent"), m.Client("control")),
		entry.WithControl([]string{l.address}), entry.WithListener(listener), entry.WithGrace(patience),
	}, opts...)...)
	go func() {
		s.ended <- s.entry.Run(ctx)
		close(s.ended)
	}()
	t.Cleanup(func() {
		stop()
		for range s.ended {
		}
	})
	if _, ok := l.update.Load().Config(); ok {
		requireSection(t, s.entry.Board().Policy(), func(p *entry.Policy) bool { return p.Config().Revision() > 0 })
		// The configuration is in force a moment before the leader that sent it is known.
		requireSection(t, s.entry.Board().Control(), func(c entry.Control) bool { return c.Leader() != "" })
	}
	return s
}

// reply is what a caller got.
type reply struct {
	status  int
	outcome outcome.Outcome
	reason  outcome.Reason
	header  http.Header
	body    string
}

// call sends a request with headers in pairs of name and value.
func (s *site) call(ctx context.Context, method, path, body string, headers ...string) (r reply, err error) {
	h, err := http.NewRequestWithContext(ctx, method, s.url+path, bytes.NewBufferString(body))
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
	return read(answer)
}

func read(answer *http.Response) (r reply, err error) {
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

func requireCall(t testing.TB, s *site, method, path, body string, headers ...string) reply {
	t.Helper()
	r, err := s.call(t.Context(), method, path, body, headers...)
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

// requireSection waits until a published value fits.
func requireSection[T any](t testing.TB, s *board.Section[T], fits func(T) bool) {
	t.Helper()
	limit := time.NewTimer(patience)
	defer limit.Stop()
	for {
		v, changed := s.Watch()
		if fits(v) {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			require.FailNow(t, "the section did not change in time")
		}
	}
}

// requireLogged waits until a log line holds the part.
func requireLogged(t testing.TB, l *lines, part string) {
	t.Helper()
	limit := time.NewTimer(patience)
	defer limit.Stop()
	for !l.has(part) {
		select {
		case <-l.wrote:
		case <-limit.C:
			require.FailNow(t, "not logged", part)
		}
	}
}

// requireReceive returns what a channel delivers in time.
func requireReceive[T any](t testing.TB, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		require.FailNow(t, "nothing received in time")
	}
	return v
}
