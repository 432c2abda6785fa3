package agent_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const (
	// silentBound is how long a connection to a silent endpoint may stay open.
	silentBound = 3 * time.Second
	// loadSlack is the extra time for a machine that runs other tests at the same time.
	loadSlack = time.Second
)

// Guards against requests that hang on a connection that no longer gets through to the endpoint while new connections
// do.
func TestSilentEndpointConnection(t *testing.T) {
	t.Run("with a request in flight", func(t *testing.T) {
		t.Parallel()
		f := newPacketFilter()
		s := newFixture(t, f.endpoint(t))
		s.requireState(t, fleet.Ready)
		assertAnswered(t, s.call(t, post("first")), "first")
		f.dropIncoming(t)
		startedAt := time.Now()
		assertLost(t, s.call(t, post("lost")), outcome.ConnectionLost)
		took := time.Since(startedAt)
		t.Logf("connection closed after %v", took)
		assert.Less(t, took, silentBound+loadSlack)
		assertAnswered(t, s.call(t, post("second")), "second")
		assert.Equal(t, 2, f.count())
	})
	t.Run("idle", func(t *testing.T) {
		t.Parallel()
		f := newPacketFilter()
		s := newFixture(t, f.endpoint(t))
		s.requireState(t, fleet.Ready)
		assertAnswered(t, s.call(t, post("first")), "first")
		f.dropIncoming(t)
		<-time.After(silentBound + loadSlack)
		assertAnswered(t, s.call(t, post("second")), "second")
		assert.Equal(t, 2, f.count())
	})
}

// packetFilter drops the incoming packets on an endpoint's connections, so that the kernel acknowledges none of them.
type packetFilter struct {
	mutex       sync.Mutex
	connections map[*net.TCPConn]bool
}

// connectionKey is the context key of the connection on which a request arrived.
type connectionKey struct{}

func newPacketFilter() *packetFilter { return &packetFilter{connections: map[*net.TCPConn]bool{}} }

// endpoint starts an echo server and records the connections on which requests arrive.
func (f *packetFilter) endpoint(t *testing.T) (url string) {
	t.Helper()
	echo := func(w http.ResponseWriter, h *http.Request) {
		f.add(h.Context().Value(connectionKey{}).(*net.TCPConn))
		_, _ = io.Copy(w, h.Body)
	}
	return endpoint(t, echo, func(s *http.Server) {
		s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		}
	})
}

func (f *packetFilter) add(c *net.TCPConn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.connections[c] = true
}

func (f *packetFilter) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.connections)
}

// dropIncoming drops each segment that arrives on the connections recorded so far.
func (f *packetFilter) dropIncoming(t *testing.T) {
	t.Helper()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	for c := range f.connections {
		raw, err := c.SyscallConn()
		require.NoError(t, err)
		var failed error
		require.NoError(t, raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
				&unix.SockFprog{Len: 1, Filter: &dropAll[0]})
		}))
		require.NoError(t, failed)
	}
}
