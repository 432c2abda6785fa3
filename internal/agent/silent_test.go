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
	// deadAfter is how long a connection to an endpoint may be silent before it is given up.
	deadAfter = 3 * time.Second
	// loadSlack is for a machine that runs other tests at the same time.
	loadSlack = time.Second
)

// Guards against requests that hang on a connection to an endpoint which has gone silent while new ones work.
func TestSilentEndpointConnection(t *testing.T) {
	t.Run("with a request under way", func(t *testing.T) {
		t.Parallel()
		f := newFilter()
		s := newSite(t, f.endpoint(t))
		s.requireState(t, fleet.Ready)
		assertAnswered(t, s.call(t, post("first")), "first")
		f.silence(t)
		begun := time.Now()
		assertLost(t, s.call(t, post("lost")), outcome.ConnectionLost)
		took := time.Since(begun)
		t.Logf("given up after %v", took)
		assert.Less(t, took, deadAfter+loadSlack)
		assertAnswered(t, s.call(t, post("second")), "second")
		assert.Equal(t, 2, f.count())
	})
	t.Run("while it is idle", func(t *testing.T) {
		t.Parallel()
		f := newFilter()
		s := newSite(t, f.endpoint(t))
		s.requireState(t, fleet.Ready)
		assertAnswered(t, s.call(t, post("first")), "first")
		f.silence(t)
		<-time.After(deadAfter + loadSlack)
		assertAnswered(t, s.call(t, post("second")), "second")
		assert.Equal(t, 2, f.count())
	})
}

// filter can make the connections of an endpoint deaf: the kernel then acknowledges nothing that arrives on them.
type filter struct {
	mutex       sync.Mutex
	connections map[*net.TCPConn]bool
}

// connectionKey finds the connection of a request in its context.
type connectionKey struct{}

func newFilter() *filter { return &filter{connections: map[*net.TCPConn]bool{}} }

// endpoint serves an echo and keeps the connections on which requests arrive.
func (f *filter) endpoint(t *testing.T) (url string) {
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

func (f *filter) add(c *net.TCPConn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.connections[c] = true
}

func (f *filter) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.connections)
}

// silence drops every segment that arrives on the connections that exist.
func (f *filter) silence(t *testing.T) {
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
