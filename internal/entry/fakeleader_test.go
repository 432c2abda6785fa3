package entry_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// fakeLeader is a stand-in for a control host: it sends endpoints and a configuration, and applies commands to a state
// machine of its own.
type fakeLeader struct {
	address    string
	update     *board.Section[fleet.Update]
	notLeading *board.Section[bool]
	elections  *board.Section[[]fleet.Leadership]
	watches    atomic.Int64
	mutex      sync.Mutex
	state      registry.State
	fault      func(registry.Command) fault
}

// fault is what goes wrong with a command or its answer.
type fault string

const (
	noFault        fault = ""
	dropCommand    fault = "the command is not committed"
	dropAnswer     fault = "the command is committed and its answer is lost"
	unknownError   fault = "the command is committed and its outcome is reported as unknown"
	ackUncommitted fault = "the command is not committed and its sender is told otherwise"
	noReply        fault = "the command is not committed and its sender is told nothing"
)

func newFakeLeader(env *testEnv, u fleet.Update) *fakeLeader {
	fl := &fakeLeader{update: board.NewSection(u), notLeading: board.NewSection(false), state: registry.NewState()}
	fl.elections = board.NewSection[[]fleet.Leadership](nil)
	fl.address = env.serve("control", "c1", fl.serveStream)
	return fl
}

func (fl *fakeLeader) serveStream(ctx context.Context, s *link.Stream) {
	o, err := wire.ReadOpening(s)
	if err != nil {
		return
	}
	switch o.Kind() {
	case wire.KindLeadership:
		fl.serveElections(ctx, s)
	case wire.KindWatch:
		fl.watches.Add(1)
		if fl.notLeading.Load() {
			_ = wire.WriteStatus(s, wire.NewStatusError(wire.NotLeader, "", "this control host is not the leader"))
			return
		}
		_ = wire.WriteStatus(s, nil)
		fl.serveWatch(ctx, s)
	case wire.KindPropose:
		fl.servePropose(ctx, s)
	default:
	}
}

func (fl *fakeLeader) serveWatch(ctx context.Context, s *link.Stream) {
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for {
		notLeading, leadingChanged := fl.notLeading.Watch()
		u, changed := fl.update.Watch()
		if notLeading || wire.WriteUpdate(s, u) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-leadingChanged:
		case <-heartbeat.C:
		}
	}
}

func (fl *fakeLeader) servePropose(ctx context.Context, s *link.Stream) {
	c, err := wire.ReadCommand(s)
	if err != nil {
		return
	}
	result, f := fl.apply(c)
	switch f {
	case dropCommand, dropAnswer, ackUncommitted:
	case noReply:
		<-ctx.Done()
	case unknownError:
		_ = wire.WriteStatus(s, wire.NewStatusError(wire.Unknown, "", "the outcome is not known"))
	case noFault:
		_ = wire.WriteStatus(s, nil)
		_ = wire.WriteResult(s, result)
	}
}

func (fl *fakeLeader) apply(c registry.Command) (r registry.Result, f fault) {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	if fl.fault != nil {
		f = fl.fault(c)
	}
	if f == ackUncommitted {
		return registry.NewAccepted(0, "", 0), noFault
	}
	if f != dropCommand && f != noReply {
		fl.state, r = registry.Apply(fl.state, c)
	}
	return r, f
}

// setFault sets the function that returns the fault of each command, nil for none.
func (fl *fakeLeader) setFault(f func(registry.Command) fault) {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	fl.fault = f
}
