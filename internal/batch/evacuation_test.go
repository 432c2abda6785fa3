package batch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// evacuate applies the order to evacuate a zone, and reports whether it was rejected.
func evacuate(s batch.State, zone, reason string, at time.Time) (next batch.State, rejected bool) {
	next, r := s.Apply(batch.NewEvacuateZone(batch.NewEvacuation(zone, reason, at)))
	_, rejected = r.(batch.Rejected)
	return next, rejected
}

func reopen(s batch.State, zone string) batch.State {
	s, _ = s.Apply(batch.NewReopenZone(zone))
	return s
}

// Guards against an order that has another effect when it is sent again, and against an evacuation that ends with
// another one.
func TestEvacuation(t *testing.T) {
	first := batch.NewEvacuation("a", "power cut", epoch)
	s, rejected := evacuate(batch.NewState(nil), "a", "power cut", epoch)
	require.False(t, rejected)
	t.Run("a repeated order keeps the first time and reason", func(t *testing.T) {
		again, rejected := evacuate(s, "a", "fire", epoch.Add(time.Hour))
		assert.False(t, rejected)
		assert.Equal(t, []batch.Evacuation{first}, again.Evacuations())
	})
	t.Run("zones are independent", func(t *testing.T) {
		both, _ := evacuate(s, "b", "", epoch)
		assert.Len(t, both.Evacuations(), 2)
		_, evacuated := reopen(both, "b").Evacuation("a")
		assert.True(t, evacuated)
		assert.Len(t, both.Evacuations(), 2, "an earlier state changed")
	})
	t.Run("reopened twice, and evacuated anew", func(t *testing.T) {
		open := reopen(reopen(s, "a"), "a")
		assert.Empty(t, open.Evacuations())
		later, _ := evacuate(open, "a", "", epoch.Add(time.Hour))
		e, _ := later.Evacuation("a")
		assert.Equal(t, epoch.Add(time.Hour), e.Since())
	})
}

// Guards against a state that grows without bounds, or that cannot be encoded, by orders of operators.
func TestEvacuationBounds(t *testing.T) {
	for name, e := range map[string]batch.Evacuation{
		"no zone":           batch.NewEvacuation("", "", epoch),
		"long zone":         batch.NewEvacuation(strings.Repeat("z", 129), "", epoch),
		"long reason":       batch.NewEvacuation("z", strings.Repeat("r", 1025), epoch),
		"zone is not text":  batch.NewEvacuation("\xff", "", epoch),
		"control character": batch.NewEvacuation("z", "line\nline", epoch),
	} {
		t.Run(name, func(t *testing.T) {
			s, rejected := evacuate(batch.NewState(nil), e.Zone(), e.Reason(), epoch)
			assert.True(t, rejected)
			assert.Empty(t, s.Evacuations())
		})
	}
	t.Run("too many zones", func(t *testing.T) {
		s, rejected := batch.NewState(nil), false
		count := 0
		for ; !rejected && count < 1000; count++ {
			s, rejected = evacuate(s, fmt.Sprint(count), "", epoch)
		}
		assert.Len(t, s.Evacuations(), count-1)
		assert.Less(t, count, 1000)
		_, rejected = evacuate(s, "0", "", epoch)
		assert.False(t, rejected, "an order that was accepted is accepted again")
		_, rejected = evacuate(reopen(s, "0"), "other", "", epoch)
		assert.False(t, rejected, "a reopened zone leaves room for another one")
	})
}
