package declaration

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/workspace"
)

// TaskLeaseOf returns the duration of the task leases of a gang: the shortest exception for one of its workers, else
// the value for its workspace, else the fallback, which the settings give.
func TaskLeaseOf(c *workspace.Config, workspaceName string, workers []string, fallback time.Duration) (lease time.Duration) {
	found := false
	for _, w := range workers {
		text, ok := c.Exception(workerTarget+"/"+w, string(TaskLease))
		if !ok {
			continue
		}
		if d, ok := convert(TaskLease, text).(time.Duration); ok && (!found || d < lease) {
			lease, found = d, true
		}
	}
	if found {
		return lease
	}
	return effectiveValue(c, workspaceTarget+"/"+workspaceName, TaskLease, fallback)
}

// AnnounceLeaseOf returns the time after which an agent is lost unless it renews its announcement: the declared value
// for its worker, else the fallback.
func AnnounceLeaseOf(c *workspace.Config, worker string, fallback time.Duration) time.Duration {
	return effectiveValue(c, workerTarget+"/"+worker, AnnounceLease, fallback)
}

// RetryShareOf returns the retry budget of a workspace in percent of its first attempts: the declared value, else the
// fallback.
func RetryShareOf(c *workspace.Config, workspaceName string, fallback int) int {
	return int(effectiveValue(c, workspaceTarget+"/"+workspaceName, RetrySharePercent, int64(fallback)))
}

// effectiveValue returns the declared value for a target, or the fallback if none is declared or it does not convert.
func effectiveValue[V any](c *workspace.Config, target string, key Key, fallback V) V {
	text, ok := c.Value(target, string(key))
	if !ok {
		return fallback
	}
	if v, ok := convert(key, text).(V); ok {
		return v
	}
	return fallback
}
