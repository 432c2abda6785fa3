package registry

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Guards P5: a record that the archive loses or drops before 24 h lets a resend run again.
func TestArchive(t *testing.T) {
	t.Run("records of several runs are found", func(t *testing.T) {
		a := Archive{}.with(sealedOf(0, maxRun-1)).with(sealedOf(maxRun-1, maxRun)).with(sealedOf(maxRun, maxRun+10))
		assert.Len(t, a.runs, 2)
		assertFinds(t, a, 0, maxRun+10)
	})
	t.Run("an older archive stays as it was", func(t *testing.T) {
		a := Archive{}.with(sealedOf(0, 10))
		b := a.with(sealedOf(10, 20))
		c := b.since(time.Unix(15, 0))
		assertFinds(t, a, 0, 10)
		assertFinds(t, b, 0, 20)
		assertFinds(t, c, 15, 20)
	})
	t.Run("a record is kept for at least 24 h to the nanosecond", func(t *testing.T) {
		ended := time.Unix(1000, 500)
		s, ok := NewClaim("a", "k", "f", 1, ended, ended).WithResult(NewAttemptResult(outcome.Ran, 200), ended).seal()
		require.True(t, ok)
		a := Archive{}.with([]ArchivedClaim{s})
		assert.Equal(t, 1, a.since(ended).Len())
		assert.Zero(t, a.since(ended.Add(time.Second)).Len())
	})
}

// assertFinds expects exactly the records from one number to before another.
func assertFinds(t *testing.T, a Archive, from, to int) {
	t.Helper()
	assert.Equal(t, to-from, a.Len())
	for _, want := range sealedOf(from, to) {
		got, ok := a.find(want.key)
		require.True(t, ok, "record %d is lost", want.number)
		require.Equal(t, want, got)
	}
}

// sealedOf returns records that are told apart by number, time and key.
func sealedOf(from, to int) (records []ArchivedClaim) {
	for i := from; i < to; i++ {
		key := digestOf(string(binary.BigEndian.AppendUint64(nil, uint64(i))))
		records = append(records, NewArchivedClaim(key, key, uint64(i), uint32(i), 200, true))
	}
	return records
}
