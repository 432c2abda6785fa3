package registry

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// TestArchive guards P5 against an archive that loses a record, or drops it before 24 h: a retry of the request would run
// a second time.
func TestArchive(t *testing.T) {
	t.Run("records in several segments are found", func(t *testing.T) {
		a := Archive{}.with(archivedClaims(0, maxSegmentRecords-1)).with(archivedClaims(maxSegmentRecords-1, maxSegmentRecords)).with(archivedClaims(maxSegmentRecords, maxSegmentRecords+10))
		assert.Len(t, a.segments, 2)
		assertContains(t, a, 0, maxSegmentRecords+10)
	})
	t.Run("a change does not alter the archive that it is based on", func(t *testing.T) {
		a := Archive{}.with(archivedClaims(0, 10))
		b := a.with(archivedClaims(10, 20))
		c := b.dropBefore(time.Unix(15, 0))
		assertContains(t, a, 0, 10)
		assertContains(t, b, 0, 20)
		assertContains(t, c, 15, 20)
	})
	t.Run("an end time is rounded up to a second, so that a record is kept for at least 24 h", func(t *testing.T) {
		ended := time.Unix(1000, 500)
		s, ok := NewClaim("a", "k", "f", 1, ended, ended).WithResult(NewAttemptResult(outcome.Ran, 200), ended).archived()
		require.True(t, ok)
		a := Archive{}.with([]ArchivedClaim{s})
		assert.Equal(t, 1, a.dropBefore(ended).Len())
		assert.Zero(t, a.dropBefore(ended.Add(time.Second)).Len())
	})
}

// assertContains fails unless the archive holds exactly the records with the numbers in [from, to).
func assertContains(t *testing.T, a Archive, from, to int) {
	t.Helper()
	assert.Equal(t, to-from, a.Len())
	for _, want := range archivedClaims(from, to) {
		got, ok := a.find(want.key)
		require.True(t, ok, "record %d not found", want.attemptNumber)
		require.Equal(t, want, got)
	}
}

// archivedClaims returns the records with the numbers in [from, to), each with its own key and end time.
func archivedClaims(from, to int) (records []ArchivedClaim) {
	for i := from; i < to; i++ {
		key := digestOf(string(binary.BigEndian.AppendUint64(nil, uint64(i))))
		records = append(records, NewArchivedClaim(key, key, uint64(i), uint32(i), 200, true))
	}
	return records
}
