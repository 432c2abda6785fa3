package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/run"
)

// assertTold lists a run's progress each half second, and checks at which of the lists the leader was told.
func assertTold(t *testing.T, percents []int, want ...int) {
	t.Helper()
	l := newTestLoop(first)
	l.take(t.Context(), epoch, hold(first, 1, 0))
	var at []int
	for i, n := range percents {
		now := epoch.Add(time.Duration(i) * 500 * time.Millisecond)
		running := []run.Running{run.NewRunning(task, "", n, 0)}
		l.take(t.Context(), now, listedInput{life: first, asked: now, list: run.NewList(first, 1, time.Second, running, nil, nil)})
		if len(l.reports) > 0 {
			<-l.reports
			at = append(at, i)
		}
	}
	assert.Equal(t, want, at)
}

// Guards against a leader that does not learn how fast runs are, and against one that is told each list of each worker.
func TestToldProgress(t *testing.T) {
	t.Run("steady: at the start and once more", func(t *testing.T) {
		assertTold(t, []int{0, 5, 10, 15, 20, 25, 30, 35, 40}, 0, 2)
	})
	t.Run("it stands still, and goes on", func(t *testing.T) {
		assertTold(t, []int{0, 5, 10, 10, 10, 10, 15, 20, 25, 30}, 0, 2, 3, 6, 8)
	})
}
