package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/run"
)

// assertReported handles a list with a run's progress every 500 ms and checks which of the lists are reported.
func assertReported(t *testing.T, percents []int, want ...int) {
	t.Helper()
	l := newTestLoop(first)
	l.handle(t.Context(), epoch, renewal(first, 1, 0))
	var at []int
	for i, n := range percents {
		now := epoch.Add(time.Duration(i) * 500 * time.Millisecond)
		running := []run.Running{run.NewRunning(task, "", n, 0)}
		l.handle(t.Context(), now, listedInput{
			incarnation: first, requestedAt: now, list: run.NewList(first, 1, time.Second, running, nil, nil),
		})
		if len(l.reports) > 0 {
			<-l.reports
			at = append(at, i)
		}
	}
	assert.Equal(t, want, at)
}

// Guards against a leader that does not learn the rate of a run, and against a report for every list of every worker.
func TestToldProgress(t *testing.T) {
	t.Run("constant rate: two reports", func(t *testing.T) {
		assertReported(t, []int{0, 5, 10, 15, 20, 25, 30, 35, 40}, 0, 2)
	})
	t.Run("a run that stalls and continues", func(t *testing.T) {
		assertReported(t, []int{0, 5, 10, 10, 10, 10, 15, 20, 25, 30}, 0, 2, 3, 6, 8)
	})
}
