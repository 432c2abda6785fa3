package client

import "time"

// JobBody is the JSON form of a job; Job documents its fields.
type JobBody struct {
	ID           string       `json:"id"`
	Workspace    string       `json:"workspace"`
	State        string       `json:"state"`
	Result       string       `json:"result"`
	Reason       string       `json:"reason"`
	Urgency      string       `json:"urgency"`
	Members      []MemberBody `json:"members"`
	FencingToken uint64       `json:"fence"`
	Attempts     int          `json:"attempts"`
	Shape        ShapeBody    `json:"shape"`
}

// MemberBody is the JSON form of one member of a job and of its placement.
type MemberBody struct {
	Index        int    `json:"index"`
	Worker       string `json:"worker"`
	Accelerators int    `json:"accelerators"`
}

// ShapeBody is the JSON form of a shape: the number of members, the accelerators of each, and the adjacency, which is
// worker, rack, availability-zone or any.
type ShapeBody struct {
	Members      int    `json:"members"`
	Accelerators int    `json:"accelerators"`
	Adjacency    string `json:"adjacency"`
}

// ConfigBody is the answer to GET /v1/config; Text is the configuration as TOML.
type ConfigBody struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

// SubmitBody is the body of POST /v1/jobs; RunTimeS is the declared run time in seconds.
type SubmitBody struct {
	Workspace      string    `json:"workspace"`
	Shape          ShapeBody `json:"shape"`
	Urgency        string    `json:"urgency"`
	Idempotent     bool      `json:"idempotent"`
	Checkpointable bool      `json:"checkpointable"`
	Throttleable   bool      `json:"throttleable,omitempty"`
	RunTimeS       float64   `json:"run_time_s"`
	Payload        string    `json:"payload"`
}

// ExplainBody is the answer to GET /v1/jobs/{id}/explain; Explanation states why the job is in its state.
type ExplainBody struct {
	ID          string `json:"id"`
	Explanation string `json:"explanation"`
}

// ControlBody is the answer to GET /v1/control; Control documents its fields.
type ControlBody struct {
	Leader          string              `json:"leader"`
	Term            uint64              `json:"term"`
	Voters          int                 `json:"voters"`
	Majority        int                 `json:"majority"`
	FaultsTolerated int                 `json:"faults_tolerated"`
	Members         []ControlMemberBody `json:"members"`
}

// ControlMemberBody is the JSON form of a control host; ControlMember documents its fields.
type ControlMemberBody struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	State   string `json:"state"`
}

// EndpointBody is the JSON form of an endpoint; Endpoint documents its fields.
type EndpointBody struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	State            string `json:"state"`
	Slots            int    `json:"slots"`
	InFlight         int    `json:"in_flight"`
	Accelerators     int    `json:"accelerators"`
}

// DrainBody is the body of POST /v1/endpoints/{name}/drain and of its answer; Drained is false to undo a drain.
type DrainBody struct {
	Drained bool `json:"drained"`
}

// EvacuateBody is the body of POST /v1/zones/{name}/evacuate and of its answer; Evacuated is false to end an evacuation.
type EvacuateBody struct {
	Evacuated bool   `json:"evacuated"`
	Reason    string `json:"reason,omitempty"`
}

// EvacuationBody is an element of the answer to GET /v1/evacuations; Evacuation documents its fields.
type EvacuationBody struct {
	AvailabilityZone string    `json:"availability_zone"`
	Reason           string    `json:"reason"`
	Since            time.Time `json:"since"`
}

// ApplyBody is the answer to POST /v1/apply; Applied documents its fields.
type ApplyBody struct {
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes"`
	Repeated bool     `json:"repeated"`
}

// RefusalBody is the body of an answer with a status other than 2xx. Leader is the address or URL of the leader if the
// status is 421 and a leader is known; Revision is the current revision if the status is 409.
type RefusalBody struct {
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Message  string `json:"message"`
	Leader   string `json:"leader,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}
