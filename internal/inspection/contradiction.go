package inspection

import "slices"

// queueContradictions returns the queues whose timeouts contradict their objectives, or whose values are raised.
func (d Draft) queueContradictions() (findings []Finding) {
	for i, q := range d.queues {
		report := func(format string, args ...any) {
			findings = append(findings, findingf(Contradiction, d.queueAt(i), format, args...))
		}
		if t := q.queue.Timeout(); t > 0 && t < q.queue.TargetLatency() {
			report("timeout %s is below target latency %s", t, q.queue.TargetLatency())
		}
		if q.attempts < q.queue.Attempts() {
			report("%d attempts are raised to %d", q.attempts, q.queue.Attempts())
		}
		if q.slowdown < q.queue.Slowdown() {
			report("slowdown %g is raised to %g", q.slowdown, q.queue.Slowdown())
		}
	}
	return findings
}

// guaranteeContradictions returns guarantees that cannot be held or that no job can use.
func (d Draft) guaranteeContradictions(f Fleet) (findings []Finding) {
	sum := 0
	for i, w := range d.workspaces {
		if w.Guaranteed() < 0 {
			findings = append(findings, findingf(Contradiction, d.workspaceAt(i), "a guarantee of %d accelerators is negative", w.Guaranteed()))
		}
		if slices.Contains(w.Keys(), "") {
			findings = append(findings, findingf(Contradiction, d.workspaceAt(i),
				"workspace %q has an empty key, which admits nobody", w.Name()))
		}
		sum += max(w.Guaranteed(), 0)
	}
	if f.accelerators > 0 {
		findings = append(findings, excessGuarantees(sum, f)...)
	}
	urgent := slices.IndexFunc(d.queues, func(q Queue) bool { return q.queue.Priority() == 0 })
	switch {
	case urgent >= 0 && sum == 0:
		findings = append(findings, findingf(Contradiction, d.queueAt(urgent),
			"the queue has priority 0 and no workspace has guaranteed accelerators"))
	case urgent < 0 && sum > 0:
		findings = append(findings, findingf(Contradiction, wholeSection(WorkspaceSection),
			"%d accelerators are guaranteed for jobs of priority 0 and no queue has priority 0", sum))
	}
	return findings
}

// limitContradictions returns limits on messages that contradict each other.
func (d Draft) limitContradictions() (findings []Finding) {
	at := wholeSection(LimitsSection)
	l := d.limits
	if l.bodyBytes > 0 && l.headerBytes > l.bodyBytes {
		findings = append(findings, findingf(Contradiction, at, "the limit on the head, %d bytes, is above that on the body, %d bytes", l.headerBytes, l.bodyBytes))
	}
	if l.idleTimeout > 0 && l.headerTimeout > l.idleTimeout {
		findings = append(findings, findingf(Contradiction, at, "header timeout %s is above idle timeout %s", l.headerTimeout, l.idleTimeout))
	}
	return findings
}
