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

// electionRetryPause keeps the traffic to an unreachable control host below 1 KB/s, since one dial sends about 14 KB.
const electionRetryPause = 15 * time.Second

// electionWatcher is the controller that receives notices of elections from all control hosts. A leader that has
// crashed or is frozen cannot report that it was replaced, but the others know the next one as soon as it is elected.
type electionWatcher struct {
	leadership *board.Section[fleet.Leadership]
	pool       *link.Pool
	control    []string
	logger     hclog.Logger
}

func newElectionWatcher(b *Board, p *link.Pool, control []string, l hclog.Logger) *electionWatcher {
	return &electionWatcher{leadership: b.leadership, pool: p, control: control, logger: l}
}

// run publishes the leader of the highest term that any control host has reported, until ctx ends.
func (e *electionWatcher) run(ctx context.Context) error {
	notices := make(chan fleet.Leadership)
	var hosts sync.WaitGroup
	defer hosts.Wait()
	for _, address := range e.control {
		hosts.Go(func() { e.followHost(ctx, address, notices) })
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case l := <-notices:
			if l.Term() > e.leadership.Load().Term() {
				e.leadership.Publish(l)
			}
		}
	}
}

// followHost forwards the notices of one control host, with a new stream after each failure, until ctx ends.
func (e *electionWatcher) followHost(ctx context.Context, address string, notices chan<- fleet.Leadership) {
	for ctx.Err() == nil {
		err := e.receiveNotices(ctx, address, notices)
		e.logger.Debug("election notices ended", "control", address, "error", err)
		clock.Pause(ctx, electionRetryPause)
	}
}

// receiveNotices forwards the notices of one control host until the stream fails or ctx ends.
func (e *electionWatcher) receiveNotices(
	ctx context.Context, address string, notices chan<- fleet.Leadership,
) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("receive election notices from %s: %w", address, err)
		}
	}()
	s, end, err := subscribe(ctx, e.pool, address, wire.KindLeadership)
	if err != nil {
		return err
	}
	defer end()
	// The stream has no heartbeat. The connection's keep-alive probes detect a host that does not answer.
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
