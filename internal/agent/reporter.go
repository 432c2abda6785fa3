package agent

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
)

const reporterPause = 500 * time.Millisecond

// reporter is the controller that keeps the worker's tasks on the board.
type reporter struct {
	agent *Agent
}

func newReporter(a *Agent) *reporter { return &reporter{agent: a} }

// run waits at the worker for each change of its tasks.
func (r *reporter) run(ctx context.Context) error {
	var version uint64
	for ctx.Err() == nil {
		next, reports, err := r.agent.platform.tasks(ctx, version)
		if err != nil {
			version = 0
			r.agent.logger.Warn("worker does not answer", "error", err)
			if !clock.Pause(ctx, reporterPause) {
				return nil
			}
			continue
		}
		if next != version {
			version = next
			r.agent.board.tasks.Publish(reports)
		}
	}
	return nil
}
