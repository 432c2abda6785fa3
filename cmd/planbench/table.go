package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"rosemarywind.example/rosemarywind/internal/planbench"
)

// writeTable writes a header and one row per result.
func writeTable(w io.Writer, results []*planbench.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "scenario\tpolicy\turgent p50/p95/p99\tpatient p50/p95/p99\tgang p50/p95/p99\tfragm.\tfragm. queued\tgang wait\tof run ahead\tlost acc-s\tended\trejected\tacc-h\tviolations")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.3f\t%.3f\t%s\t%.2f\t%.0f\t%d\t%d\t%.0f\t%d\n", r.Scenario(), r.Policy(),
			percentiles(r, planbench.Urgent), percentiles(r, planbench.Patient), percentiles(r, planbench.Gang),
			r.Fragmentation(), r.QueuedFragmentation(), formatDuration(r.GangWait()), r.GangWaitShare(),
			r.LostWork(), r.Ended(), r.Rejected(), r.Throughput(), r.Violations())
	}
	return t.Flush()
}

// percentiles formats the 50th, 95th and 99th percentile of the completion times of a class.
func percentiles(r *planbench.Result, c planbench.Class) string {
	return formatDuration(r.Percentile(c, 0.5)) + "/" + formatDuration(r.Percentile(c, 0.95)) + "/" +
		formatDuration(r.Percentile(c, 0.99))
}

// formatDuration formats a duration in whole seconds below 10 minutes and in whole minutes from there on.
func formatDuration(d time.Duration) string {
	if d < 10*time.Minute {
		return fmt.Sprintf("%.0fs", d.Seconds())
	}
	return fmt.Sprintf("%.0fm", d.Minutes())
}
