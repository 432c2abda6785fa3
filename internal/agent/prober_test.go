package agent_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// detectionBound is how long a leaving or silent endpoint may still get new requests (P6).
const detectionBound = 3 * time.Second

// healthEndpoint is an endpoint whose probe response a test sets; a frozen one accepts connections and never answers.
type healthEndpoint struct {
	status atomic.Int64
	frozen atomic.Bool
	probed chan struct{}
	calls  atomic.Int64
}

// ServeHTTP answers probes, counts requests, and never answers the list of tasks.
func (e *healthEndpoint) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	switch h.URL.Path {
	case "/tasks":
		<-h.Context().Done()
	case "/health":
		if e.frozen.Load() {
			<-h.Context().Done()
			return
		}
		w.WriteHeader(int(e.status.Load()))
		select {
		case e.probed <- struct{}{}:
		default:
		}
	default:
		e.calls.Add(1)
	}
}

func newHealthEndpoint(t *testing.T) (e *healthEndpoint, url string, server *http.Server) {
	t.Helper()
	e = &healthEndpoint{probed: make(chan struct{})}
	e.status.Store(http.StatusOK)
	l, err := net.Listen("tcp", loopback)
	require.NoError(t, err)
	server = &http.Server{Handler: e, ReadHeaderTimeout: testTimeout}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return e, "http://" + l.Addr().String(), server
}

// Guards against new requests for a leaving or silent endpoint, also from an entry that has not learned its state and
// without a reachable control host.
func TestEnforcement(t *testing.T) {
	t.Run("leaving", func(t *testing.T) {
		e, url, _ := newHealthEndpoint(t)
		s := newFixture(t, url)
		s.requireState(t, fleet.Ready)
		assertAnswered(t, s.call(t, post("x")), "")
		requireReceive(t, e.probed)
		e.status.Store(http.StatusServiceUnavailable)
		assertRefusedInTime(t, s, e, fleet.Leaving, outcome.Leaving)
		e.status.Store(http.StatusOK)
		s.requireState(t, fleet.Ready)
		assertAnswered(t, s.call(t, post("x")), "")
	})
	t.Run("frozen", func(t *testing.T) {
		e, url, _ := newHealthEndpoint(t)
		s := newFixture(t, url)
		s.requireState(t, fleet.Ready)
		requireReceive(t, e.probed)
		e.frozen.Store(true)
		assertRefusedInTime(t, s, e, fleet.Silent, outcome.EndpointSilent)
	})
	t.Run("closed", func(t *testing.T) {
		e, url, server := newHealthEndpoint(t)
		s := newFixture(t, url)
		s.requireState(t, fleet.Ready)
		requireReceive(t, e.probed)
		require.NoError(t, server.Close())
		assertRefusedInTime(t, s, e, fleet.Silent, outcome.EndpointSilent)
	})
	t.Run("one slow probe", func(t *testing.T) {
		e, url, _ := newHealthEndpoint(t)
		s := newFixture(t, url)
		s.requireState(t, fleet.Ready)
		requireReceive(t, e.probed)
		e.frozen.Store(true)
		requireLogged(t, s.log, "probe failed")
		e.frozen.Store(false)
		requireReceive(t, e.probed)
		assert.Equal(t, fleet.Ready, s.agent.Board().State())
	})
}

// assertRefusedInTime checks that the agent detects the state within the bound and that then no request reaches the
// endpoint.
func assertRefusedInTime(t *testing.T, s *fixture, e *healthEndpoint, state fleet.EndpointState, reason outcome.Reason) {
	t.Helper()
	startedAt := time.Now()
	s.requireState(t, state)
	took := time.Since(startedAt)
	assert.Less(t, took, detectionBound)
	t.Logf("%s after %v", state, took)
	before := e.calls.Load()
	assertRefused(t, s.call(t, post("x")), reason)
	assert.Equal(t, before, e.calls.Load())
}
