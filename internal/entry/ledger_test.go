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

// ledger is a stand-in of the leader: it publishes a fleet and a configuration and applies commands.
type ledger struct {
	address string
	update  *board.Section[fleet.Update]
	away    *board.Section[bool]
	elected *board.Section[[]fleet.Leadership]
	watches atomic.Int64
	mutex   sync.Mutex
	state   registry.State
	fault   func(registry.Command) fault
}

// fault says what happens to a command or its answer.
type fault string

const (
	sound        fault = ""
	dropCommand  fault = "the command is not committed"
	dropAnswer   fault = "the command is committed and its answer is lost"
	unknownError fault = "the command is committed and its outcome is reported as unknown"
	swallow      fault = "the command is not committed and its sender is told otherwise"
	silence      fault = "the command is not committed and its sender is told nothing"
)

func newLedger(w *world, u fleet.Update) *ledger {
	l := &ledger{update: board.NewSection(u), away: board.NewSection(false), state: registry.NewState()}
	l.elected = board.NewSection[[]fleet.Leadership](nil)
	l.address = w.serve("control", "c1", l.stream)
	return l
}

func (l *ledger) stream(ctx context.Context, s *link.Stream) {
	o, err := wire.ReadOpening(s)
	if err != nil {
		return
	}
	switch o.Kind() {
	case wire.KindLeadership:
		l.leadership(ctx, s)
	case wire.KindWatch:
		l.watches.Add(1)
		if l.away.Load() {
			_ = wire.WriteStatus(s, wire.NewStatusError(wire.NotLeader, "", "this control host is not the leader"))
			return
		}
		_ = wire.WriteStatus(s, nil)
		l.watch(ctx, s)
	case wire.KindPropose:
		l.propose(ctx, s)
	default:
	}
}

func (l *ledger) watch(ctx context.Context, s *link.Stream) {
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for {
		away, left := l.away.Watch()
		u, changed := l.update.Watch()
		if away || wire.WriteUpdate(s, u) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-left:
		case <-beat.C:
		}
	}
}

func (l *ledger) propose(ctx context.Context, s *link.Stream) {
	c, err := wire.ReadCommand(s)
	if err != nil {
		return
	}
	result, f := l.apply(c)
	switch f {
	case dropCommand, dropAnswer, swallow:
	case silence:
		<-ctx.Done()
	case unknownError:
		_ = wire.WriteStatus(s, wire.NewStatusError(wire.Unknown, "", "the outcome is not known"))
	case sound:
		_ = wire.WriteStatus(s, nil)
		_ = wire.WriteResult(s, result)
	}
}

func (l *ledger) apply(c registry.Command) (r registry.Result, f fault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.fault != nil {
		f = l.fault(c)
	}
	if f == swallow {
		return registry.NewAccepted(0, "", 0), sound
	}
	if f != dropCommand && f != silence {
		l.state, r = registry.Apply(l.state, c)
	}
	return r, f
}

func (l *ledger) setFault(f func(registry.Command) fault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = f
}
