package driver

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Guards against a seed that has never replied and is shown as answered once the settings name it no more.
func TestProbingOfChangedSeeds(t *testing.T) {
	b := ledger.NewBootstrap("a", "a-00", ledger.NewMembership(ledger.NewMember("a", "a", true), ledger.NewMember("b", "b", true)))
	b.SetSeeds([]string{"c", "d"})
	t.Run("nobody replies", func(t *testing.T) { assertProbing(t, b, nil, []string{"b", "c", "d"}) })
	t.Run("one replies", func(t *testing.T) {
		b.RecordReply("c", ledger.NewProbeReply(0, false))
		assertProbing(t, b, []string{"c"}, []string{"b", "d"})
	})
	t.Run("seeds change", func(t *testing.T) {
		b.SetSeeds([]string{"c", "e"})
		assertProbing(t, b, []string{"c"}, []string{"b", "e"})
	})
}

func assertProbing(t *testing.T, b *ledger.Bootstrap, answered, unanswered []string) {
	t.Helper()
	p := probingOf(b)
	assert.Equal(t, answered, p.Answered())
	assert.Equal(t, unanswered, p.Unanswered())
}
