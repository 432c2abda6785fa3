package standin

import "rosemarywind.example/rosemarywind/internal/task"

// taskForm is a task in the JSON of the worker's interface.
type taskForm struct {
	Job          string     `json:"job"`
	Index        int        `json:"index"`
	Fence        uint64     `json:"fence"`
	Accelerators int        `json:"accelerators,omitempty"`
	LeaseMS      int64      `json:"lease_ms,omitempty"`
	Payload      string     `json:"payload,omitempty"`
	Percent      int        `json:"percent,omitempty"`
	State        task.State `json:"state,omitempty"`
}

type tasksForm struct {
	Version uint64     `json:"version"`
	Tasks   []taskForm `json:"tasks"`
}

type behaviourForm struct {
	Fault   Fault `json:"fault"`
	DelayMS int64 `json:"delay_ms"`
}

type echoForm struct {
	Worker string `json:"worker"`
	Method string `json:"method"`
	Target string `json:"target"`
	Body   string `json:"body"`
}

type usageForm struct {
	AgeMS        int64 `json:"age_ms"`
	Accelerators int   `json:"accelerators"`
	Running      int   `json:"running"`
}
