package batch

const (
	// jobBytes is about what a job takes in the memory of a control host beside its document and steps.
	jobBytes = 1 << 10
	// stepBytes is about what a step of a job takes.
	stepBytes = 400
	// documentCopies is how many times a control host holds the document of a job: as submitted and parsed.
	documentCopies = 2
	// maxWorkspaceShare is the share of the bytes for all jobs that those of one workspace may take, so that one workspace
	// does not keep the jobs of the others out.
	maxWorkspaceShare = 0.25
)

// bytes returns about what the job takes in the memory of a control host, without the tasks that have begun.
func (s Spec) bytes(document int) int {
	return jobBytes + len(s.steps)*stepBytes + documentCopies*document
}

// JobBytes returns about how many bytes of memory all jobs take, without the tasks that have begun.
func (s State) JobBytes() int { return s.usage.total() }

// Full reports whether the jobs that are stored leave no room for another one of a workspace, if all jobs may take limit
// bytes.
func (s State) Full(spec Spec, document int, workspace string, limit int) bool {
	bytes := spec.bytes(document)
	return s.usage.total()+bytes > limit || float64(s.usage[workspace]+bytes) > maxWorkspaceShare*float64(limit)
}
