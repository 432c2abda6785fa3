package declaration

import (
	"slices"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/document"
)

// Key names a default of the whole fleet.
type Key string

// The known defaults.
const (
	TaskLease         Key = "task_lease"
	AnnounceLease     Key = "announce_lease"
	RequestInFlight   Key = "request_in_flight"
	RequestQueued     Key = "request_queued"
	RetrySharePercent Key = "retry_share_percent"
)

// The parts of the fleet that an exception can apply to.
const (
	workerTarget    = "worker"
	workspaceTarget = "workspace"
)

// declared is a known default with its range, the value that stands for a missing one, and its targets.
type declared struct {
	key      Key
	kind     document.Kind
	fallback any
	targets  []string
	doc      string
}

var known = []declared{
	{TaskLease, document.Duration(5*time.Second, time.Hour), 2 * time.Minute, []string{workerTarget, workspaceTarget}, "time for which a task runs without a renewal"},
	{AnnounceLease, document.Duration(time.Second, time.Minute), 3 * time.Second, []string{workerTarget}, "time after which a silent agent counts as gone"},
	{RequestInFlight, document.Integer(1, 65536), int64(64), []string{workspaceTarget}, "requests of a workspace that run at once at one entry"},
	{RequestQueued, document.Integer(0, 1048576), int64(256), []string{workspaceTarget}, "requests of a workspace that wait at one entry"},
	{RetrySharePercent, document.Integer(0, 100), int64(10), []string{workspaceTarget}, "retries in percent of first attempts; retries after a full endpoint have a share of their own, 50 percent"},
}

func find(key Key) (d declared, ok bool) {
	i := slices.IndexFunc(known, func(d declared) bool { return d.key == key })
	if i < 0 {
		return declared{}, false
	}
	return known[i], true
}

func knownKeys() string {
	names := make([]string, len(known))
	for i, d := range known {
		names[i] = string(d.key)
	}
	return strings.Join(names, ", ")
}
