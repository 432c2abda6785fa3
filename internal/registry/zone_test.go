package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Guards against the end of an evacuation that is acknowledged and changes nothing because its request ID is that of the
// evacuation, and against a retry that is carried out again.
func TestRequestIDsOfEvacuations(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	order := func(s registry.State, id string, evacuated bool) registry.State {
		next, r := registry.Apply(s, registry.NewEvacuateZone(id, "z", "", evacuated, now))
		assert.IsType(t, registry.Accepted{}, r)
		return next
	}
	assertEvacuated := func(t *testing.T, want bool, s registry.State) {
		t.Helper()
		_, evacuated := s.Evacuations().Get("z")
		assert.Equal(t, want, evacuated)
	}
	t.Run("one for both", func(t *testing.T) {
		s := order(registry.NewState(), "1", true)
		s = order(s, "1", false)
		assertEvacuated(t, false, s)
		assertEvacuated(t, false, order(s, "1", true))
	})
	t.Run("retry of the end", func(t *testing.T) {
		s := order(order(registry.NewState(), "1", true), "2", false)
		s = order(order(s, "3", true), "2", false)
		assertEvacuated(t, true, s)
	})
	t.Run("record of an earlier version", func(t *testing.T) {
		old := registry.NewReply("evacuate\x00"+"1", registry.NewAccepted(1, "", 0), now)
		for _, evacuated := range []bool{true, false} {
			s := order(registry.NewState(), "2", !evacuated)
			s = registry.RestoreState(workspace.EmptyConfig(), []job.Job{}, nil, registry.Archive{}, []registry.Reply{old}, nil, 0, 0).
				WithEvacuations(s.EvacuationList())
			assertEvacuated(t, !evacuated, order(s, "1", evacuated))
		}
	})
}
