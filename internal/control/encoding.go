package control

import (
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/workspace"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

type shapeForm struct {
	Members      int                 `json:"members"`
	Accelerators int                 `json:"accelerators"`
	Adjacency    workspace.Adjacency `json:"adjacency"`
}

type submitForm struct {
	Workspace      string    `json:"workspace"`
	Shape          shapeForm `json:"shape"`
	Urgency        string    `json:"urgency"`
	Idempotent     bool      `json:"idempotent"`
	Checkpointable bool      `json:"checkpointable"`
	RunTimeSeconds float64   `json:"run_time_s"`
	Payload        string    `json:"payload"`
}

type memberForm struct {
	Index        int    `json:"index"`
	Worker       string `json:"worker"`
	Accelerators int    `json:"accelerators"`
}

type jobForm struct {
	ID        string       `json:"id"`
	Workspace string       `json:"workspace"`
	State     job.State    `json:"state"`
	Result    job.Result   `json:"result"`
	Reason    string       `json:"reason"`
	Urgency   job.Urgency  `json:"urgency"`
	Shape     shapeForm    `json:"shape"`
	Members   []memberForm `json:"members"`
	Fence     uint64       `json:"fence"`
	Attempts  int          `json:"attempts"`
}

type applyForm struct {
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes"`
	Repeated bool     `json:"repeated"`
}

type configForm struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

type explainForm struct {
	ID          string `json:"id"`
	Explanation string `json:"explanation"`
}

type endpointForm struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	State            string `json:"state"`
	Slots            int    `json:"slots"`
	InFlight         int    `json:"in_flight"`
	Accelerators     int    `json:"accelerators"`
}

type drainForm struct {
	Drained bool `json:"drained"`
}

type errorForm struct {
	Outcome  outcome.Outcome `json:"outcome"`
	Reason   outcome.Reason  `json:"reason"`
	Message  string          `json:"message"`
	Leader   string          `json:"leader,omitempty"`
	Revision uint64          `json:"revision,omitempty"`
}

func toJobForm(j job.Job) jobForm {
	s := j.Spec()
	f := jobForm{
		ID: s.ID(), Workspace: s.Workspace(), State: j.State(), Result: j.Result(), Reason: j.Reason(),
		Urgency: s.Urgency(), Fence: uint64(j.Fence()), Attempts: j.Attempts(), Members: []memberForm{},
		Shape: shapeForm{
			Members: s.Shape().Members(), Accelerators: s.Shape().Accelerators(), Adjacency: s.Shape().Adjacency(),
		},
	}
	for _, m := range j.Members() {
		f.Members = append(f.Members, memberForm{Index: m.Index(), Worker: m.Worker(), Accelerators: m.Accelerators()})
	}
	return f
}
