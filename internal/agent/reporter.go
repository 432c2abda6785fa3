package agent

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/task"
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
		next, tasks, err := r.agent.platform.tasks(ctx, version)
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
			reports := make([]task.Report, len(tasks))
			var watched []task.WatchedTask
			for i, t := range tasks {
				reports[i] = t.Report()
				if t.Watch().Hub() != "" {
					watched = append(watched, t)
				}
			}
			r.agent.board.tasks.Publish(reports)
			r.agent.board.watched.Publish(watched)
		}
	}
	return nil
}
