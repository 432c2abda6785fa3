package agent

import (
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

// taskForm is the JSON form of an order for a task and of a listed task in the worker's HTTP interface.
type taskForm struct {
	Job          string     `json:"job"`
	Index        int        `json:"index"`
	FencingToken uint64     `json:"fence"`
	Accelerators int        `json:"accelerators,omitempty"`
	LeaseMS      int64      `json:"lease_ms,omitempty"`
	Payload      string     `json:"payload,omitempty"`
	Sequence     uint64     `json:"mark,omitempty"`
	BaseSequence uint64     `json:"since,omitempty"`
	Hub          string     `json:"hub,omitempty"`
	Members      int        `json:"members,omitempty"`
	Percent      int        `json:"percent,omitempty"`
	State        task.State `json:"state,omitempty"`
}

// tasksForm is the JSON form of a worker's tasks; the version increases with each change.
type tasksForm struct {
	Version uint64     `json:"version"`
	Tasks   []taskForm `json:"tasks"`
}

func (f taskForm) report() task.Report {
	return task.NewReport(task.NewID(f.Job, f.Index), lease.FencingToken(f.FencingToken), f.State)
}
