package inspection

import "slices"

// unusedEntries returns services without queues, queues on standby services, and workspaces that no caller can use.
func (d Draft) unusedEntries() (findings []Finding) {
	standby, named := map[string]bool{}, map[string]bool{}
	for _, s := range d.services {
		standby[s.Name()] = s.Standby()
	}
	for i, q := range d.queues {
		named[q.queue.Service()] = true
		if standby[q.queue.Service()] {
			findings = append(findings, findingf(Unreachable, d.queueAt(i),
				"service %q is on standby, so its machines are off and no job of the queue runs", q.queue.Service()))
		}
	}
	for i, s := range d.services {
		if !named[s.Name()] {
			findings = append(findings, findingf(Unreachable, d.serviceAt(i), "no queue names service %q", s.Name()))
		}
	}
	anyPublic := slices.ContainsFunc(d.queues, func(q Queue) bool { return q.queue.Public() })
	for i, w := range d.workspaces {
		if len(w.Keys()) == 0 && !anyPublic {
			findings = append(findings, findingf(Unreachable, d.workspaceAt(i),
				"workspace %q has no key and no queue is public, so none of its callers is admitted", w.Name()))
		}
	}
	return findings
}
