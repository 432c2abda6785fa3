package declaration

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/workspace"
)

// TaskLeaseOf returns the length of the task leases of a gang: the shortest exception of its workers, else the value
// for its workspace, else the fallback of the settings.
func TaskLeaseOf(c *workspace.Config, inWorkspace string, workers []string, fallback time.Duration) (length time.Duration) {
	found := false
	for _, w := range workers {
		text, ok := c.Exception(workerTarget+"/"+w, string(TaskLease))
		if !ok {
			continue
		}
		if d, ok := convert(TaskLease, text).(time.Duration); ok && (!found || d < length) {
			length, found = d, true
		}
	}
	if found {
		return length
	}
	return inForce(c, workspaceTarget+"/"+inWorkspace, TaskLease, fallback)
}

// AnnounceLeaseOf returns the time after which a silent agent counts as gone.
func AnnounceLeaseOf(c *workspace.Config, worker string, fallback time.Duration) time.Duration {
	return inForce(c, workerTarget+"/"+worker, AnnounceLease, fallback)
}

// RetryShareOf returns the retries of a workspace in percent of its first attempts.
func RetryShareOf(c *workspace.Config, inWorkspace string, fallback int) int {
	return int(inForce(c, workspaceTarget+"/"+inWorkspace, RetrySharePercent, int64(fallback)))
}

// inForce returns the declared value for a target, or the fallback if nothing was declared.
func inForce[V any](c *workspace.Config, target string, key Key, fallback V) V {
	text, ok := c.Value(target, string(key))
	if !ok {
		return fallback
	}
	if v, ok := convert(key, text).(V); ok {
		return v
	}
	return fallback
}
