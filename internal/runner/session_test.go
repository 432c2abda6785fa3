package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/run"
)

// Guards against a list that the leader never gets because the queue of reports was full: later lists without news are not
// reported, so the leader goes on to take the worker as its latest report showed it.
func TestDroppedListIsRepeated(t *testing.T) {
	l := newTestLoop(first)
	l.handle(t.Context(), epoch, renewal(first, 1, 0))
	for range reportBuffer {
		l.send(run.NewReport("h").WithUnreachable())
	}
	listed := listedInput{incarnation: first, requestedAt: epoch, list: run.NewList(first, 1, time.Second, nil, nil, nil)}
	l.handle(t.Context(), epoch, sessionInput{})
	l.handle(t.Context(), epoch, listed)
	for range reportBuffer {
		<-l.reports
	}
	l.handle(t.Context(), epoch.Add(time.Second), listed)
	require.Len(t, l.reports, 1)
	_, isList := (<-l.reports).List()
	assert.True(t, isList)
}
