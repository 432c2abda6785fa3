package scheduler

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// panickingDecoder panics on every job.
type panickingDecoder struct{}

func (panickingDecoder) Declaration([]byte) (batch.Declaration, error) {
	return batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithObjective(1, time.Second, time.Second),
	}, []batch.Service{batch.NewService("s", false, false)}, nil)
}

func (panickingDecoder) Spec(string, []byte) (batch.Spec, error) { panic("unexpected job") }

// Guards against one command that ends each control process which applies it, again after each restart.
func TestPanicInCommand(t *testing.T) {
	a := &applier{
		state: board.NewSection(batch.NewState(panickingDecoder{})), decoder: panickingDecoder{}, logger: hclog.NewNullLogger(),
	}
	apply := func(t *testing.T, index uint64, c batch.Command) batch.Result {
		t.Helper()
		data, err := wire.EncodeBatch(c)
		require.NoError(t, err)
		return a.Apply(index, data)
	}
	require.IsType(t, batch.Declared{}, apply(t, 1, batch.NewDeclare([]byte("d"))))
	before := a.state.Load()
	assert.IsType(t, batch.Rejected{}, apply(t, 2, batch.NewSubmit("j", "q", "", nil, time.Unix(0, 0))))
	assert.Equal(t, before, a.state.Load())
	assert.IsType(t, batch.Declared{}, apply(t, 3, batch.NewDeclare([]byte("d"))))
}
