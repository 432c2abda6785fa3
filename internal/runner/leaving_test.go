package runner

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/run"
)

// Guards against a notice of termination that is forgotten because an announcement made before it is read after it, as
// happens when the agent was frozen, and against a notice of an earlier incarnation that keeps this one from all work.
func TestLateAnnouncementKeepsNotice(t *testing.T) {
	noticed := func() *Runner {
		r := New("h", silentWorker{}, nil, nil, hclog.NewNullLogger())
		r.Announce(run.NewAnnouncement(first, "s", "z", 1))
		r.MarkTerminating(first.ID())
		return r
	}
	for name, c := range map[string]struct {
		announcement run.Announcement
		terminating  bool
	}{
		"made before the notice":             {run.NewAnnouncement(first, "s", "z", 2).WithDraining(time.Second), true},
		"not draining, so the notice is old": {run.NewAnnouncement(first, "s", "z", 2), false},
		"of the next incarnation":            {run.NewAnnouncement(second, "s", "z", 1).WithDraining(time.Second), false},
	} {
		t.Run(name, func(t *testing.T) {
			r := noticed()
			r.Announce(c.announcement)
			assert.Equal(t, c.terminating, r.announced.Load().terminating)
		})
	}
}

// Guards against a leader that takes the runs of a leaving worker for ended while the worker stays, and against one that
// waits for their leases although the worker has ended.
func TestExitOfLeavingWorker(t *testing.T) {
	refused := fmt.Errorf("%w: connection refused", ErrNoConnection)
	for name, c := range map[string]struct {
		terminating bool
		err         error
		exited      bool
	}{
		"refuses connections":                   {true, refused, true},
		"refuses connections, without a notice": {false, refused, false},
		"does not accept in time":               {true, fmt.Errorf("%w: %w", ErrNoConnection, os.ErrDeadlineExceeded), false},
		"does not answer":                       {true, context.DeadlineExceeded, false},
		"breaks a connection":                   {true, os.ErrClosed, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLoop(first)
			l.announced.Publish(workerState{announcement: announced(first), known: true, terminating: c.terminating})
			l.observeWorker(t.Context(), epoch, l.announced.Load(), l.announced.Version())
			l.handle(t.Context(), epoch, renewal(first, 1, 0))
			l.handle(t.Context(), epoch.Add(time.Second), listedInput{incarnation: first, requestedAt: epoch, err: c.err})
			assert.Equal(t, c.exited, l.outgoing.Load().exited)
			announce(l, 2*time.Second, announced(second))
			assert.False(t, l.outgoing.Load().exited, "the next incarnation")
		})
	}
	t.Run("reported in each session", func(t *testing.T) {
		assert.True(t, withDeparture(run.NewReport("h"), outgoingState{exited: true}).Exited())
	})
}
