package ledger

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a joining host that replaces the member of another host, because one name is a prefix of the other.
func TestHostOfID(t *testing.T) {
	t.Run("initial id", func(t *testing.T) { assertHost(t, "c1", "c1") })
	t.Run("fresh id", func(t *testing.T) { assertHost(t, "c1", FreshID("c1", 5)) })
	t.Run("fresh id with the largest number", func(t *testing.T) { assertHost(t, "c1", FreshID("c1", -1)) })
	t.Run("host name with a number", func(t *testing.T) { assertHost(t, "c-1", "c-1") })
	t.Run("fresh id of a host name with a number", func(t *testing.T) { assertHost(t, "c-1", FreshID("c-1", 5)) })
	t.Run("suffix not hexadecimal", func(t *testing.T) { assertHost(t, "c-000000000000000g", "c-000000000000000g") })
	t.Run("suffix without a host name", func(t *testing.T) { assertHost(t, "-0000000000000005", "-0000000000000005") })
}

func assertHost(t *testing.T, want, id MemberID) {
	t.Helper()
	assert.Equal(t, want, id.host())
}
