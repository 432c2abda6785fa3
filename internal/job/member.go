package job

// Member is one task of a gang and the worker that it is placed on.
type Member struct {
	index        int
	worker       string
	accelerators int
}

// NewMember returns the member with the given index, from 0, on a worker.
func NewMember(index int, worker string, accelerators int) Member {
	return Member{index: index, worker: worker, accelerators: accelerators}
}

// Index returns the position in the gang, from 0.
func (m Member) Index() int { return m.index }

// Worker returns the name of the worker.
func (m Member) Worker() string { return m.worker }

// Accelerators returns the number of accelerators that the member holds.
func (m Member) Accelerators() int { return m.accelerators }
