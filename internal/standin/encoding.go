package standin

import (
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

// taskForm is a task in the JSON of the worker's interface.
type taskForm struct {
	Job          string     `json:"job"`
	Index        int        `json:"index"`
	Fence        uint64     `json:"fence"`
	Accelerators int        `json:"accelerators,omitempty"`
	LeaseMS      int64      `json:"lease_ms,omitempty"`
	Payload      string     `json:"payload,omitempty"`
	Mark         uint64     `json:"mark,omitempty"`
	Since        uint64     `json:"since,omitempty"`
	Hub          string     `json:"hub,omitempty"`
	Members      int        `json:"members,omitempty"`
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

// order returns the order that a verb of the worker's interface and a task stand for.
func (f taskForm) order(verb string) (o task.Order, err error) {
	id, fence, length := task.NewID(f.Job, f.Index), lease.FencingToken(f.Fence), time.Duration(f.LeaseMS)*time.Millisecond
	switch verb {
	case "reserve":
		return task.NewReserve(id, fence, task.Sequence(f.Mark), f.Accelerators, length, f.Payload).
			WithWatch(task.NewGangWatch(f.Hub, f.Members)), nil
	case "start":
		return task.NewStart(id, fence), nil
	case "renew":
		return task.NewRenew(id, fence, task.Sequence(f.Mark), task.Sequence(f.Since), length), nil
	case "stop", "checkpoint":
		return task.NewStop(id, fence, verb == "checkpoint"), nil
	case "throttle":
		return task.NewThrottle(id, fence, task.Sequence(f.Mark), f.Percent), nil
	default:
		return nil, fmt.Errorf("unknown order %q", verb)
	}
}
