package standin

import (
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

// taskForm is a task or an order about it in the JSON of the worker's interface.
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

// order returns the order that the last element of a path of the worker's interface and the decoded body describe.
func (f taskForm) order(verb string) (o task.Order, err error) {
	id, token, duration := task.NewID(f.Job, f.Index), lease.FencingToken(f.FencingToken), time.Duration(f.LeaseMS)*time.Millisecond
	switch verb {
	case "reserve":
		return task.NewReserve(id, token, task.Sequence(f.Sequence), f.Accelerators, duration, f.Payload).
			WithWatch(task.NewGangWatch(f.Hub, f.Members)), nil
	case "start":
		return task.NewStart(id, token), nil
	case "renew":
		return task.NewRenew(id, token, task.Sequence(f.Sequence), task.Sequence(f.BaseSequence), duration), nil
	case "stop", "checkpoint":
		return task.NewStop(id, token, verb == "checkpoint"), nil
	case "throttle":
		return task.NewThrottle(id, token, task.Sequence(f.Sequence), f.Percent), nil
	default:
		return nil, fmt.Errorf("unknown order %q", verb)
	}
}
