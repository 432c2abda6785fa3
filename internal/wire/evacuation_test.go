package wire

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Guards against a control host that cannot read a snapshot of an earlier version, which has no evacuations, and against
// a snapshot that differs from that of an earlier version although no zone is evacuated.
func TestSnapshotWithoutEvacuations(t *testing.T) {
	s := newScheduledStateOf(2)
	data, err := EncodeBatchState(s)
	require.NoError(t, err)
	earlier, err := cbor.Marshal(readStateForm(t, data))
	require.NoError(t, err)
	t.Run("same form", func(t *testing.T) { assert.Equal(t, earlier, data) })
	t.Run("same form after a zone was reopened", func(t *testing.T) {
		next, _ := s.Apply(batch.NewEvacuateZone(batch.NewEvacuation("z", "", scheduleStart)))
		next, _ = next.Apply(batch.NewReopenZone("z"))
		after, err := EncodeBatchState(next)
		require.NoError(t, err)
		assert.Equal(t, earlier, after)
	})
	t.Run("read", func(t *testing.T) {
		read, err := DecodeBatchState(scheduleDecoder{occurrences: 2}, earlier)
		require.NoError(t, err)
		assert.Empty(t, read.Evacuations())
		assertSameProgress(t, s, read)
	})
}
