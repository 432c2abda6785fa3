package inspection

import (
	"strconv"
	"strings"

	"rosemarywind.example/rosemarywind/internal/declaration"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Kinds of targets of an exception, with the slash before the name.
const (
	workerPrefix    = "worker/"
	workspacePrefix = "workspace/"
)

// CheckRevision returns a finding of kind Error if a declaration was made from another revision than the one in force.
func CheckRevision(base uint64, inForce *workspace.Config) []Finding {
	if base == inForce.Revision() {
		return nil
	}
	return []Finding{findingf(Error, wholeSection(VersionSection),
		"the declaration was made from revision %d and revision %d is in force", base, inForce.Revision())}
}

// CheckConfig returns the findings about a configuration of workspaces, defaults and exceptions, from the gravest kind;
// inForce is nil if the configuration in force is not known. Revisions are not compared.
func CheckConfig(c, inForce *workspace.Config, f Fleet) []Finding {
	findings := exceptionFindings(c, f)
	findings = append(findings, sharedGuarantees(c, f)...)
	findings = append(findings, inFlightContradictions(c, f)...)
	if inForce != nil {
		for _, change := range declaration.Diff(inForce, c) {
			findings = append(findings, newDifference(NewKey(0, change.Subject()), "",
				Change{action: change.Action(), before: change.Before(), after: change.After()}))
		}
	}
	return Sort(findings)
}

// exceptionFindings returns the exceptions without effect.
func exceptionFindings(c *workspace.Config, f Fleet) (findings []Finding) {
	for _, e := range c.Exceptions() {
		at := Entry{section: ExceptionSection, index: unlisted, name: e.Target() + " " + e.Key()}
		if worker, ok := strings.CutPrefix(e.Target(), workerPrefix); ok && len(f.workers) > 0 && !f.workers[worker] {
			findings = append(findings, findingf(Unreachable, at, "no worker %q has announced itself", worker))
		}
		if inherited, ok := inheritedValue(c, declaration.Key(e.Key())); ok && e.Value() == inherited {
			findings = append(findings, findingf(Contradiction, at, "the exception repeats the default %s", inherited))
		}
		// The name of a worker has no workspace, since names have no slash.
		if w, found := c.Workspace(strings.TrimPrefix(e.Target(), workspacePrefix)); found {
			if own, ok := ownLimit(w, declaration.Key(e.Key())); ok && strconv.Itoa(own) != e.Value() {
				findings = append(findings, findingf(Contradiction, at, "the workspace has a limit of its own, %d, which replaces %s", own, e.Value()))
			}
		}
	}
	return findings
}

// inheritedValue returns the value that an exception for a key replaces; ok is false if it depends on the settings of a
// process.
func inheritedValue(c *workspace.Config, key declaration.Key) (text string, ok bool) {
	if text, ok = c.Defaults()[string(key)]; ok {
		return text, true
	}
	switch key {
	case declaration.RequestInFlight, declaration.RequestQueued:
		return strconv.Itoa(declaration.Integer(workspace.EmptyConfig(), "", key)), true
	case declaration.TaskLease, declaration.AnnounceLease, declaration.RetrySharePercent:
	}
	return "", false
}

// ownLimit returns the limit of a workspace for a key; ok is false if workspaces have no limit for it.
func ownLimit(w workspace.Workspace, key declaration.Key) (limit int, ok bool) {
	switch key {
	case declaration.RequestInFlight:
		return w.Limits().InFlight(), true
	case declaration.RequestQueued:
		return w.Limits().Queued(), true
	case declaration.TaskLease, declaration.AnnounceLease, declaration.RetrySharePercent:
	}
	return 0, false
}

// sharedGuarantees returns a finding if the guarantees need more accelerators than the workers have.
func sharedGuarantees(c *workspace.Config, f Fleet) []Finding {
	sum := 0
	for _, w := range c.Workspaces() {
		sum += w.Guarantee().Total()
	}
	return excessGuarantees(sum, f)
}

// excessGuarantees returns a finding if more accelerators are guaranteed than the workers are known to have.
func excessGuarantees(guaranteed int, f Fleet) []Finding {
	if f.accelerators == 0 || guaranteed <= f.accelerators {
		return nil
	}
	return []Finding{findingf(Contradiction, wholeSection(WorkspaceSection),
		"%d accelerators are guaranteed in total and the workers have %d", guaranteed, f.accelerators)}
}

// inFlightContradictions returns the limits on requests in flight that exceed the slots of all endpoints. A limit that
// workspaces inherit is reported once, and only if it is declared.
func inFlightContradictions(c *workspace.Config, f Fleet) (findings []Finding) {
	if f.slots == 0 {
		return nil
	}
	inherited := declaration.Integer(c, "", declaration.RequestInFlight)
	if _, declared := c.Defaults()[string(declaration.RequestInFlight)]; declared && inherited > f.slots {
		findings = append(findings, findingf(Contradiction, Entry{section: DefaultSection, index: unlisted, name: string(declaration.RequestInFlight)},
			"%d requests in flight are more than the %d slots of all endpoints", inherited, f.slots))
	}
	for _, w := range c.Workspaces() {
		if own := w.Limits().InFlight(); own != inherited && own > f.slots {
			findings = append(findings, findingf(Contradiction, Entry{section: WorkspaceSection, index: unlisted, name: w.Name()},
				"%d requests in flight are more than the %d slots of all endpoints", own, f.slots))
		}
	}
	return findings
}
