package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// electionsPause keeps a control host that is down from costing more than 1 KB/s, since one dial sends about 14 KB.
const electionsPause = 15 * time.Second

// elections is the controller that learns of each new leader from all control hosts, since a leader that died or is
// frozen cannot say so and the others know the next one as soon as it is elected.
type elections struct {
	elected *board.Section[fleet.Leadership]
	pool    *link.Pool
	control []string
	logger  hclog.Logger
}

func newElections(b *Board, p *link.Pool, control []string, l hclog.Logger) *elections {
	return &elections{elected: b.elected, pool: p, control: control, logger: l}
}

// run publishes the leader of the highest term that any control host named.
func (e *elections) run(ctx context.Context) error {
	notices := make(chan fleet.Leadership)
	var hosts sync.WaitGroup
	defer hosts.Wait()
	for _, address := range e.control {
		hosts.Go(func() { e.ask(ctx, address, notices) })
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case l := <-notices:
			if l.Term() > e.elected.Load().Term() {
				e.elected.Publish(l)
			}
		}
	}
}

// ask takes the notices of one control host, on a new stream after each failure.
func (e *elections) ask(ctx context.Context, address string, notices chan<- fleet.Leadership) {
	for ctx.Err() == nil {
		err := e.listen(ctx, address, notices)
		e.logger.Debug("no notices of elections", "control", address, "error", err)
		clock.Pause(ctx, electionsPause)
	}
}

func (e *elections) listen(ctx context.Context, address string, notices chan<- fleet.Leadership) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen to %s: %w", address, err)
		}
	}()
	s, end, err := subscribe(ctx, e.pool, address, wire.KindLeadership)
	if err != nil {
		return err
	}
	defer end()
	// The probes of the connection tell when the host is gone.
	_ = s.SetReadDeadline(time.Time{})
	for {
		l, err := wire.ReadLeadership(s)
		if err != nil {
			return err
		}
		select {
		case notices <- l:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
