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
	loopback = "127.0.0.1:0"
	patience = 10 * time.Second
	// nowhere is an address at which no control host answers.
	nowhere = "127.0.0.1:9"
)

// site is an agent that is cut off from control, and the endpoint beside it.
type site struct {
	authority *keys.Authority
	agent     *agent.Agent
	server    *link.Server
	log       *lines
	stop      context.CancelFunc
	ended     chan error
	pool      *link.Pool
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

func newSite(t *testing.T, url string, opts ...agent.Option) *site {
	t.Helper()
	a, err := keys.NewAuthority("test", time.Now(), time.Hour)
	require.NoError(t, err)
	s := &site{authority: a, ended: make(chan error, 1), log: &lines{wrote: make(chan struct{}, 1)}}
	own := s.material(t, "agent", "w1")
	s.server, err = link.Listen(loopback, own.Server())
	require.NoError(t, err)
	s.agent = agent.New(append([]agent.Option{
		agent.WithLogger(hclog.New(&hclog.LoggerOptions{Output: s.log, Level: hclog.Debug, JSONFormat: true})),
		agent.WithTLS(own.Client("control")), agent.WithServer(s.server, s.server.Address().String()),
		agent.WithControl([]string{nowhere}), agent.WithWorker(fleet.NewWorker("w1", "r1", "az1", "rack1"), url),
		agent.WithEndpoint(url, 8, 64), agent.WithGrace(patience),
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

func (s *site) material(t *testing.T, role, name string) *keys.Reloader {
	t.Helper()
	id, err := keys.NewIdentity(role, name)
	require.NoError(t, err)
	pair, err := s.authority.Issue(id, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, time.Now(), time.Hour)
	require.NoError(t, err)
	r, err := keys.NewMemory(pair, s.authority.Pair().Certificate())
	require.NoError(t, err)
	return r
}

func (s *site) dialer(t *testing.T, role, name string) *link.Pool {
	t.Helper()
	p := link.NewPool(s.material(t, role, name).Client("agent"))
	t.Cleanup(p.Close)
	return p
}

// requireState waits until the agent sees its endpoint in the given state.
func (s *site) requireState(t *testing.T, state fleet.EndpointState) {
	t.Helper()
	requireSection(t, s.agent.Board().Probed(), func(e fleet.EndpointState) bool { return e == state })
}

func (s *site) open(t *testing.T, p *link.Pool) *link.Stream {
	t.Helper()
	return s.openAt(t, p, s.server.Address().String())
}

func (s *site) openAt(t *testing.T, p *link.Pool, address string) *link.Stream {
	t.Helper()
	stream, err := p.Open(t.Context(), address)
	require.NoError(t, err)
	t.Cleanup(stream.Cancel)
	require.NoError(t, stream.SetDeadline(time.Now().Add(patience)))
	return stream
}

// send writes a request to the present incarnation on a new stream.
func (s *site) send(t *testing.T, r request.Request) *link.Stream {
	t.Helper()
	stream := s.open(t, s.pool)
	s.write(t, stream, r)
	return stream
}

func (s *site) write(t *testing.T, stream *link.Stream, r request.Request) {
	t.Helper()
	require.NoError(t, wire.WriteForward(stream, "", wire.NewForward(r, s.agent.Incarnation()), time.Now()))
}

func (s *site) call(t *testing.T, r request.Request) request.Result {
	t.Helper()
	return requireAnswer(t, s.send(t, r), r.ID())
}

func post(body string, opts ...request.Option) request.Request {
	opts = append([]request.Option{
		request.WithBody(nil, []byte(body)), request.WithDeadline(time.Now().Add(patience)),
	}, opts...)
	return request.New("r1", "previews", http.MethodPost, "/a", opts...)
}

// raw writes frames that no encoder of this project writes.
func raw(t *testing.T, s *link.Stream, frames ...any) {
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

// assertNotServed checks that the agent ended the stream with the code for what it did not act on, and logged why.
func assertNotServed(t *testing.T, s *site, stream *link.Stream, why string) {
	t.Helper()
	_, _, err := wire.ReadAnswer(stream, "r1", 1<<10)
	assert.True(t, link.NotServed(err), "%v", err)
	requireLogged(t, s.log, why)
}

// endpoint serves handler, and answers probes on its own.
func endpoint(t *testing.T, handler http.HandlerFunc, opts ...func(*http.Server)) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", loopback)
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/tasks", func(_ http.ResponseWriter, h *http.Request) { <-h.Context().Done() })
	mux.HandleFunc("/", handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: patience}
	for _, o := range opts {
		o(server)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + l.Addr().String()
}

func requireSection[T any](t *testing.T, s *board.Section[T], fits func(T) bool) {
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

func requireLogged(t *testing.T, l *lines, part string) {
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

func requireReceive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		require.FailNow(t, "nothing received in time")
	}
	return v
}
