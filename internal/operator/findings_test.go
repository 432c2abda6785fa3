package operator_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/inspection"
	"rosemarywind.example/rosemarywind/internal/operator"
)

// Guards against findings whose place or values are lost in the table or in the JSON output.
func TestWriteFindings(t *testing.T) {
	names := operator.SectionNames{inspection.QueueSection: "routes"}
	inForce := newDraft(1, 0)
	found := inspection.Check(newDraft(2, time.Second), &inForce, inspection.Fleet{})
	t.Run("table", func(t *testing.T) {
		assertWritten(t, found, names, false, "KIND           PLACE        FINDING\n"+
			"contradiction  routes[0] q  timeout 1ms is below target latency 1s\n"+
			"difference     routes[0] q  changed target latency: 0s -> 1s\n")
	})
	t.Run("JSON", func(t *testing.T) {
		assertWritten(t, found[1:], names, true, `[
  {
    "kind": "difference",
    "section": "routes",
    "index": 0,
    "name": "q",
    "message": "changed target latency: 0s -> 1s",
    "action": "changed",
    "before": "0s",
    "after": "1s"
  }
]
`)
	})
	t.Run("escape sequence", func(t *testing.T) {
		f := inspection.NewFinding(inspection.Error, inspection.NewKey(3, "a\x1b[2J"), "b\x1b[2J")
		assertWritten(t, []inspection.Finding{f}, nil, false, "KIND   PLACE         FINDING\nerror  line 3 a?[2J  b?[2J\n")
	})
	t.Run("exit codes", func(t *testing.T) {
		require.NoError(t, operator.FindingsError(nil))
		assert.Equal(t, operator.ExitWarnings, operator.ExitCode(operator.FindingsError(found)))
		assert.Equal(t, operator.ExitDifferences, operator.ExitCode(operator.FindingsError(found[1:])))
	})
}

// newDraft returns a draft with one queue of a target latency.
func newDraft(version int64, targetLatency time.Duration) inspection.Draft {
	q := batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, 1).WithObjective(1, targetLatency, time.Millisecond)
	return inspection.NewDraft(version, []inspection.Queue{inspection.NewQueue(q, 1, 1)}, []batch.Service{batch.NewService("s", false, false)}, nil)
}

func assertWritten(t *testing.T, found []inspection.Finding, names operator.SectionNames, asJSON bool, want string) {
	t.Helper()
	var out bytes.Buffer
	require.NoError(t, operator.WriteFindings(&out, found, names, asJSON))
	assert.Equal(t, want, out.String())
}
