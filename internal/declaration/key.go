package declaration

import (
	"slices"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/document"
)

// Key is the name of a default: a fleet-wide value, which an exception may replace for one target.
type Key string

// The known defaults.
const (
	TaskLease         Key = "task_lease"
	AnnounceLease     Key = "announce_lease"
	RequestInFlight   Key = "request_in_flight"
	RequestQueued     Key = "request_queued"
	RetrySharePercent Key = "retry_share_percent"
)

// The kinds of targets of an exception.
const (
	workerTarget    = "worker"
	workspaceTarget = "workspace"
)

// definition describes a default: the kind and range of its value, the built-in value, the kinds of targets of its
// exceptions, and its meaning in words. If no value is declared, the built-in value applies to RequestInFlight and
// RequestQueued; the other keys fall back to the value in the settings of the process that reads them.
type definition struct {
	key     Key
	kind    document.Kind
	builtIn any
	targets []string
	doc     string
}

var definitions = []definition{
	{TaskLease, document.Duration(5*time.Second, time.Hour), 2 * time.Minute, []string{workerTarget, workspaceTarget}, "time for which a task runs without a renewal"},
	{AnnounceLease, document.Duration(time.Second, time.Minute), 3 * time.Second, []string{workerTarget}, "time after which a silent agent counts as gone"},
	{RequestInFlight, document.Integer(1, 65536), int64(64), []string{workspaceTarget}, "requests of a workspace that run at once at one entry"},
	{RequestQueued, document.Integer(0, 1048576), int64(256), []string{workspaceTarget}, "requests of a workspace that wait at one entry"},
	{RetrySharePercent, document.Integer(0, 100), int64(10), []string{workspaceTarget}, "retries in percent of first attempts; retries after a full endpoint have a share of their own, 50 percent"},
}

func findDefinition(key Key) (d definition, ok bool) {
	i := slices.IndexFunc(definitions, func(d definition) bool { return d.key == key })
	if i < 0 {
		return definition{}, false
	}
	return definitions[i], true
}

// knownKeys lists the keys of all defaults for an error text.
func knownKeys() string {
	names := make([]string, len(definitions))
	for i, d := range definitions {
		names[i] = string(d.key)
	}
	return strings.Join(names, ", ")
}
