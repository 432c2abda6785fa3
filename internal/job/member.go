package job

// Member is the placement of one task of a gang on a worker.
type Member struct {
	index        int
	worker       string
	accelerators int
}

// NewMember returns the placement of the member with the given index, from 0, with accelerators on a worker.
func NewMember(index int, worker string, accelerators int) Member {
	return Member{index: index, worker: worker, accelerators: accelerators}
}

// Index returns the position of the member in its gang, from 0.
func (m Member) Index() int { return m.index }

// Worker returns the name of the worker that the member is placed on.
func (m Member) Worker() string { return m.worker }

// Accelerators returns the number of accelerators that the member needs on its worker.
func (m Member) Accelerators() int { return m.accelerators }
