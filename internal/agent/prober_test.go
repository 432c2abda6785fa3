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

// leavingBound is how long an endpoint that is leaving or silent may get new work (P6).
const leavingBound = 3 * time.Second

// health is an endpoint whose health a test sets; a frozen one accepts connections and never answers.
type health struct {
	status atomic.Int64
	frozen atomic.Bool
	probed chan struct{}
	calls  atomic.Int64
}

// ServeHTTP serves probes and requests.
func (e *health) ServeHTTP(w http.ResponseWriter, h *http.Request) {
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

func newHealth(t *testing.T) (e *health, url string, server *http.Server) {
	t.Helper()
	e = &health{probed: make(chan struct{})}
	e.status.Store(http.StatusOK)
	l, err := net.Listen("tcp", loopback)
	require.NoError(t, err)
	server = &http.Server{Handler: e, ReadHeaderTimeout: patience}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return e, "http://" + l.Addr().String(), server
}

// Guards against new work for an endpoint that is leaving or silent, also from an entry that knows nothing of it and
// with no control host in reach.
func TestEnforcement(t *testing.T) {
	t.Run("leaving", func(t *testing.T) {
		e, url, _ := newHealth(t)
		s := newSite(t, url)
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
		e, url, _ := newHealth(t)
		s := newSite(t, url)
		s.requireState(t, fleet.Ready)
		requireReceive(t, e.probed)
		e.frozen.Store(true)
		assertRefusedInTime(t, s, e, fleet.Silent, outcome.EndpointSilent)
	})
	t.Run("gone", func(t *testing.T) {
		e, url, server := newHealth(t)
		s := newSite(t, url)
		s.requireState(t, fleet.Ready)
		requireReceive(t, e.probed)
		require.NoError(t, server.Close())
		assertRefusedInTime(t, s, e, fleet.Silent, outcome.EndpointSilent)
	})
	t.Run("one slow probe", func(t *testing.T) {
		e, url, _ := newHealth(t)
		s := newSite(t, url)
		s.requireState(t, fleet.Ready)
		requireReceive(t, e.probed)
		e.frozen.Store(true)
		requireLogged(t, s.log, "probe failed")
		e.frozen.Store(false)
		requireReceive(t, e.probed)
		assert.Equal(t, fleet.Ready, s.agent.Board().State())
	})
}

// assertRefusedInTime checks that from the bound on nothing reaches an endpoint whose health has just changed.
func assertRefusedInTime(t *testing.T, s *site, e *health, state fleet.EndpointState, reason outcome.Reason) {
	t.Helper()
	begun := time.Now()
	s.requireState(t, state)
	took := time.Since(begun)
	assert.Less(t, took, leavingBound)
	t.Logf("%s after %v", state, took)
	before := e.calls.Load()
	assertRefused(t, s.call(t, post("x")), reason)
	assert.Equal(t, before, e.calls.Load())
}
