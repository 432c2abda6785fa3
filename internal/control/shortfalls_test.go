package control

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/job"
)

// boardReader is the output of a log that notes how many shortfalls the board holds when a line is written.
type boardReader struct {
	board *Board
	seen  []int
}

func (r *boardReader) Write(line []byte) (int, error) {
	r.seen = append(r.seen, r.board.shortfalls.Load().Len())
	return len(line), nil
}

// Guards against a log line about guarantees that the metrics do not show yet.
func TestShortfallsPublishedBeforeLog(t *testing.T) {
	g := newTestGangDriver(t)
	r := &boardReader{board: g.control.board}
	g.control.logger = hclog.New(&hclog.LoggerOptions{Output: r})
	s := newScheduler(g.control)
	s.input.unfinished = board.NewTable[job.Job]()
	none := board.NewTable[string]()
	short := none.With("team", "8 of the 16 accelerators are held")
	t.Run("lost", func(t *testing.T) {
		s.publishShortfalls(none, short)
		assert.Equal(t, []int{1}, r.seen)
	})
	t.Run("unchanged", func(t *testing.T) {
		s.publishShortfalls(none, short)
		assert.Equal(t, []int{1}, r.seen)
	})
	t.Run("met again", func(t *testing.T) {
		s.publishShortfalls(none, none)
		assert.Equal(t, []int{1, 0}, r.seen)
	})
}
