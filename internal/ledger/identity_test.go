package ledger

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a host that takes the place of another one whose name begins like its own.
func TestHostOfID(t *testing.T) {
	t.Run("an initial id", func(t *testing.T) { assertHost(t, "c1", "c1") })
	t.Run("a fresh id", func(t *testing.T) { assertHost(t, "c1", FreshID("c1", 5)) })
	t.Run("the largest number", func(t *testing.T) { assertHost(t, "c1", FreshID("c1", -1)) })
	t.Run("a name with a number", func(t *testing.T) { assertHost(t, "c-1", "c-1") })
	t.Run("a fresh id of a name with a number", func(t *testing.T) { assertHost(t, "c-1", FreshID("c-1", 5)) })
	t.Run("a number that is not hexadecimal", func(t *testing.T) { assertHost(t, "c-000000000000000g", "c-000000000000000g") })
	t.Run("a number without a name", func(t *testing.T) { assertHost(t, "-0000000000000005", "-0000000000000005") })
}

func assertHost(t *testing.T, want, id MemberID) {
	t.Helper()
	assert.Equal(t, want, id.host())
}
