package inspection

import "rosemarywind.example/rosemarywind/internal/batch"

// Check returns the findings about a draft, from the gravest kind; inForce is nil if the configuration in force is not
// known.
func Check(d Draft, inForce *Draft, f Fleet) []Finding {
	findings := d.refusals()
	if inForce != nil && d.version <= inForce.version {
		findings = append(findings, findingf(Error, wholeSection(VersionSection),
			"version %d is not higher than version %d, which is in force; it would change nothing", d.version, inForce.version))
	}
	findings = append(findings, d.addressFindings()...)
	findings = append(findings, d.shadowedQueues()...)
	findings = append(findings, d.unusedEntries()...)
	findings = append(findings, d.queueContradictions()...)
	findings = append(findings, d.guaranteeContradictions(f)...)
	findings = append(findings, d.limitContradictions()...)
	if inForce != nil {
		findings = append(findings, differences(*inForce, d)...)
	}
	return Sort(findings)
}

// refusals returns what the state machine would refuse.
func (d Draft) refusals() (findings []Finding) {
	queues := make([]batch.Queue, len(d.queues))
	for i, q := range d.queues {
		queues[i] = q.queue
	}
	for _, p := range batch.Problems(d.version, queues, d.services, d.workspaces) {
		findings = append(findings, NewFinding(Error, d.placeOf(p), p.Error()))
	}
	return findings
}

func (d Draft) placeOf(p batch.Problem) Place {
	switch p.Section() {
	case batch.QueueSection:
		return d.queueAt(p.Index())
	case batch.ServiceSection:
		return d.serviceAt(p.Index())
	case batch.WorkspaceSection:
		return d.workspaceAt(p.Index())
	case batch.VersionSection:
	}
	return wholeSection(VersionSection)
}
