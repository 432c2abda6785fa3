package agent

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/task"
)

// listRetryDelay is the delay before the worker is asked for its tasks again after an error.
const listRetryDelay = 500 * time.Millisecond

// reporter is the controller that publishes the worker's tasks on the blackboard.
type reporter struct {
	agent *Agent
}

func newReporter(a *Agent) *reporter { return &reporter{agent: a} }

// run polls the worker for its tasks with long polling until ctx ends.
func (r *reporter) run(ctx context.Context) error {
	var version uint64
	for ctx.Err() == nil {
		next, tasks, err := r.agent.platform.tasks(ctx, version)
		if err != nil {
			version = 0
			r.agent.logger.Warn("worker does not answer", "error", err)
			if !clock.Pause(ctx, listRetryDelay) {
				return nil
			}
			continue
		}
		if next != version {
			version = next
			reports := make([]task.Report, len(tasks))
			var gangTasks []task.WatchedTask
			for i, t := range tasks {
				reports[i] = t.Report()
				if t.Watch().Hub() != "" {
					gangTasks = append(gangTasks, t)
				}
			}
			r.agent.board.tasks.Publish(reports)
			r.agent.board.gangTasks.Publish(gangTasks)
		}
	}
	return nil
}
