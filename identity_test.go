package rosemarywind

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// TestIdentity guards against a process that acts as another role, or under another name, than its certificate states.
func TestIdentity(t *testing.T) {
	s, log := requireLoggedSystem(t)
	t.Run("an announcement under another name than the certificate's", func(t *testing.T) {
		stream := s.open(t, "agent", "w77", "control", s.addresses[0], wire.KindAnnounce)
		require.NoError(t, wire.ReadStatus(stream))
		require.NoError(t, wire.WriteAnnouncement(stream, newAnnouncement("w01")))
		_, err := wire.ReadReceipt(stream)
		require.Error(t, err)
		assertLogged(t, log, "announcement under another name")
	})
	t.Run("an announcement by an entry host", func(t *testing.T) {
		stream := s.open(t, "entry", "w77", "control", s.addresses[0], wire.KindAnnounce)
		require.NoError(t, wire.ReadStatus(stream))
		_, err := wire.ReadReceipt(stream)
		require.Error(t, err)
		assertLogged(t, log, "the certificate is not an agent's")
	})
	t.Run("a claim by an agent", func(t *testing.T) {
		claim := registry.NewClaimKey("team", "k1", "f", time.Now(), time.Now())
		assertProposalRefused(t, s, "agent", claim)
	})
	t.Run("a configuration by an entry host", func(t *testing.T) {
		assertProposalRefused(t, s, "entry", registry.NewApplyConfig("", workspace.Diff(workspace.EmptyConfig(), workspace.EmptyConfig()), time.Now()))
		assert.Zero(t, s.controls[0].Board().State().Load().Config().Revision())
	})
	t.Run("an entry host whose clock is a week behind does not shorten the retention of a record", func(t *testing.T) {
		past := time.Now().Add(-7 * 24 * time.Hour)
		require.NoError(t, s.propose(t, "entry", registry.NewClaimKey("team", "k2", "f", past, past)))
		for _, c := range s.controls[0].Board().State().Load().Claims().All() {
			assert.WithinDuration(t, time.Now(), c.UpdatedAt(), time.Minute)
		}
	})
	t.Run("orders by an entry host", func(t *testing.T) {
		stream := s.open(t, "entry", "e77", "agent", s.agentAddress(), wire.KindOrders)
		_ = wire.WriteOrders(stream, []task.Order{task.NewReserve(task.NewID("j", 0), 1, 1, 8, time.Hour, "")})
		_, err := wire.ReadReplies(stream, 1)
		require.Error(t, err)
		assertLogged(t, log, "entry/e77")
	})
}

// loggedSystem is a running system with one control host and one worker; its log is in a logBuffer.
type loggedSystem struct {
	*System
	addresses []string
}

// logBuffer collects log lines; it is safe for concurrent use.
type logBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.Write(p)
}

func requireLoggedSystem(t *testing.T) (s loggedSystem, log *logBuffer) {
	t.Helper()
	log = &logBuffer{}
	system, err := New(time.Now(), WithFolder(t.TempDir()), WithHosts(1, 0, 1),
		WithLogger(hclog.New(&hclog.LoggerOptions{Output: log})))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- system.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	s = loggedSystem{System: system}
	for {
		r, changed := system.controls[0].Board().Roster().Watch()
		if r.Snapshot().Len() == 1 {
			break
		}
		requireChange(t, changed)
	}
	s.addresses = []string{system.controls[0].Address()}
	return s, log
}

func requireChange(t *testing.T, changed <-chan struct{}) {
	t.Helper()
	limit := time.NewTimer(20 * time.Second)
	defer limit.Stop()
	select {
	case <-changed:
	case <-limit.C:
		require.Fail(t, "timed out waiting for a change")
	}
}

func (s loggedSystem) agentAddress() string {
	return s.controls[0].Board().Roster().Load().Snapshot().All()[0].Address()
}

// open opens a stream of the given kind to a peer, with a certificate of the given role and name.
func (s loggedSystem) open(t *testing.T, role, name, peer, address string, kind wire.Kind) *link.Stream {
	t.Helper()
	material, err := s.reloader(role, name, time.Now())
	require.NoError(t, err)
	pool := link.NewPool(material.Client(peer))
	t.Cleanup(pool.Close)
	stream, err := pool.Open(t.Context(), address)
	require.NoError(t, err)
	_ = stream.SetDeadline(time.Now().Add(10 * time.Second))
	require.NoError(t, wire.WriteOpening(stream, wire.NewOpening(kind, "")))
	return stream
}

func (s loggedSystem) propose(t *testing.T, role string, c registry.Command) error {
	t.Helper()
	stream := s.open(t, role, "p77", "control", s.addresses[0], wire.KindPropose)
	require.NoError(t, wire.WriteCommand(stream, c))
	return wire.ReadStatus(stream)
}

func assertProposalRefused(t *testing.T, s loggedSystem, role string, c registry.Command) {
	t.Helper()
	assert.ErrorContains(t, s.propose(t, role, c), "may not propose")
}

func assertLogged(t *testing.T, log *logBuffer, text string) {
	t.Helper()
	log.mutex.Lock()
	defer log.mutex.Unlock()
	assert.Contains(t, log.buffer.String(), text)
}

func newAnnouncement(name string) fleet.Announcement {
	w := fleet.NewWorker(name, "r1", "az1", "rack1").WithResources(1, 1, 8)
	return fleet.NewAnnouncement(fleet.NewEndpoint(w, "127.0.0.1:1", 8, 64, 1), 0, nil)
}
