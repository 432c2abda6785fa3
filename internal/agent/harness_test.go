package agent_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/agent"
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const (
	loopback    = "127.0.0.1:0"
	testTimeout = 10 * time.Second
	// unreachableControl is an address on which nothing listens.
	unreachableControl = "127.0.0.1:9"
)

// fixture is an agent that reaches no control host, with the means to call it as an entry.
type fixture struct {
	authority *keys.Authority
	agent     *agent.Agent
	server    *link.Server
	log       *logBuffer
	stop      context.CancelFunc
	ended     chan error
	pool      *link.Pool
}

// logBuffer collects the log and signals each write, so that tests can wait for a line.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
	wrote chan struct{}
}

// Write appends a log line.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case l.wrote <- struct{}{}:
	default:
	}
	return l.text.Write(p)
}

func (l *logBuffer) contains(part string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return bytes.Contains(l.text.Bytes(), []byte(part))
}

func newFixture(t *testing.T, url string, opts ...agent.Option) *fixture {
	t.Helper()
	a, err := keys.NewAuthority("test", time.Now(), time.Hour)
	require.NoError(t, err)
	s := &fixture{authority: a, ended: make(chan error, 1), log: &logBuffer{wrote: make(chan struct{}, 1)}}
	own := s.issueKeys(t, "agent", "w1")
	s.server, err = link.Listen(loopback, own.Server())
	require.NoError(t, err)
	s.agent = agent.New(append([]agent.Option{
		agent.WithLogger(hclog.New(&hclog.LoggerOptions{Output: s.log, Level: hclog.Debug, JSONFormat: true})),
		agent.WithTLS(own.Client("control")), agent.WithServer(s.server, s.server.Address().String()),
		agent.WithControl([]string{unreachableControl}), agent.WithWorker(fleet.NewWorker("w1", "r1", "az1", "rack1"), url),
		agent.WithEndpoint(url, 8, 64), agent.WithGrace(testTimeout),
	}, opts...)...)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() {
		s.ended <- s.agent.Run(ctx)
		close(s.ended)
	}()
	t.Cleanup(func() {
		stop()
		for range s.ended {
		}
	})
	s.pool = s.dialer(t, "entry", "e1")
	return s
}

func (s *fixture) issueKeys(t *testing.T, role, name string) *keys.Reloader {
	t.Helper()
	id, err := keys.NewIdentity(role, name)
	require.NoError(t, err)
	pair, err := s.authority.Issue(id, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, time.Now(), time.Hour)
	require.NoError(t, err)
	r, err := keys.NewStaticReloader(pair, s.authority.Pair().Certificate())
	require.NoError(t, err)
	return r
}

func (s *fixture) dialer(t *testing.T, role, name string) *link.Pool {
	t.Helper()
	p := link.NewPool(s.issueKeys(t, role, name).Client("agent"))
	t.Cleanup(p.Close)
	return p
}

// requireState waits until the prober has found the endpoint in the given state.
func (s *fixture) requireState(t *testing.T, state fleet.EndpointState) {
	t.Helper()
	requireSection(t, s.agent.Board().ProbedState(), func(e fleet.EndpointState) bool { return e == state })
}

func (s *fixture) open(t *testing.T, p *link.Pool) *link.Stream {
	t.Helper()
	return s.openAt(t, p, s.server.Address().String())
}

func (s *fixture) openAt(t *testing.T, p *link.Pool, address string) *link.Stream {
	t.Helper()
	stream, err := p.Open(t.Context(), address)
	require.NoError(t, err)
	t.Cleanup(stream.Cancel)
	require.NoError(t, stream.SetDeadline(time.Now().Add(testTimeout)))
	return stream
}

// send writes a request for the agent's current incarnation on a new stream.
func (s *fixture) send(t *testing.T, r request.Request) *link.Stream {
	t.Helper()
	stream := s.open(t, s.pool)
	s.write(t, stream, r)
	return stream
}

func (s *fixture) write(t *testing.T, stream *link.Stream, r request.Request) {
	t.Helper()
	require.NoError(t, wire.WriteForward(stream, "", wire.NewForward(r, s.agent.Incarnation()), time.Now()))
}

func (s *fixture) call(t *testing.T, r request.Request) request.Result {
	t.Helper()
	return requireAnswer(t, s.send(t, r), r.ID())
}

func post(body string, opts ...request.Option) request.Request {
	opts = append([]request.Option{
		request.WithBody(nil, []byte(body)), request.WithDeadline(time.Now().Add(testTimeout)),
	}, opts...)
	return request.New("r1", "previews", http.MethodPost, "/a", opts...)
}

// writeFrames writes frames as CBOR without the encoders of package wire, so that they can be invalid.
func writeFrames(t *testing.T, s *link.Stream, frames ...any) {
	t.Helper()
	for _, f := range frames {
		data, err := cbor.Marshal(f)
		require.NoError(t, err)
		_, err = s.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...))
		require.NoError(t, err)
	}
}

func requireAnswer(t *testing.T, s *link.Stream, id string) request.Result {
	t.Helper()
	result, _, err := wire.ReadAnswer(s, id, 8<<20)
	require.NoError(t, err)
	return result
}

func assertRefused(t *testing.T, r request.Result, reason outcome.Reason) {
	t.Helper()
	refused, ok := r.(request.Refused)
	if assert.True(t, ok, "%T %+v", r, r) {
		assert.Equal(t, reason, refused.Reason(), refused.Message())
	}
}

func assertLost(t *testing.T, r request.Result, reason outcome.Reason) {
	t.Helper()
	lost, ok := r.(request.Lost)
	if assert.True(t, ok, "%T %+v", r, r) {
		assert.Equal(t, reason, lost.Reason(), lost.Message())
	}
}

func assertAnswered(t *testing.T, r request.Result, body string) {
	t.Helper()
	answered, ok := r.(request.Answered)
	if assert.True(t, ok, "%T %+v", r, r) {
		assert.Equal(t, body, string(answered.Body()))
	}
}

// assertNotServed checks that the agent ended the stream with the code for a stream that it did not act on, and that
// it logged the reason.
func assertNotServed(t *testing.T, s *fixture, stream *link.Stream, reason string) {
	t.Helper()
	_, _, err := wire.ReadAnswer(stream, "r1", 1<<10)
	assert.True(t, link.NotServed(err), "%v", err)
	requireLogged(t, s.log, reason)
}

// endpoint starts an HTTP server with the given handler that also answers probes and never answers a list of tasks.
func endpoint(t *testing.T, handler http.HandlerFunc, opts ...func(*http.Server)) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", loopback)
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/tasks", func(_ http.ResponseWriter, h *http.Request) { <-h.Context().Done() })
	mux.HandleFunc("/", handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: testTimeout}
	for _, o := range opts {
		o(server)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + l.Addr().String()
}

func requireSection[T any](t *testing.T, s *board.Section[T], match func(T) bool) {
	t.Helper()
	limit := time.NewTimer(testTimeout)
	defer limit.Stop()
	for {
		v, changed := s.Watch()
		if match(v) {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			require.FailNow(t, "the section did not change in time")
		}
	}
}

func requireLogged(t *testing.T, l *logBuffer, part string) {
	t.Helper()
	limit := time.NewTimer(testTimeout)
	defer limit.Stop()
	for !l.contains(part) {
		select {
		case <-l.wrote:
		case <-limit.C:
			require.FailNow(t, "not logged in time", part)
		}
	}
}

func requireReceive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		require.FailNow(t, "nothing received in time")
	}
	return v
}
