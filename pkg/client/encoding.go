package client

// JobBody is a job as control hosts send it.
type JobBody struct {
	ID        string       `json:"id"`
	Workspace string       `json:"workspace"`
	State     string       `json:"state"`
	Result    string       `json:"result"`
	Reason    string       `json:"reason"`
	Urgency   string       `json:"urgency"`
	Members   []MemberBody `json:"members"`
	Fence     uint64       `json:"fence"`
	Attempts  int          `json:"attempts"`
	Shape     ShapeBody    `json:"shape"`
}

// MemberBody is one member of a job.
type MemberBody struct {
	Index        int    `json:"index"`
	Worker       string `json:"worker"`
	Accelerators int    `json:"accelerators"`
}

// ShapeBody is an amount of accelerators with an adjacency: worker, rack, availability-zone or any.
type ShapeBody struct {
	Members      int    `json:"members"`
	Accelerators int    `json:"accelerators"`
	Adjacency    string `json:"adjacency"`
}

// ConfigBody is the answer to GET /v1/config: the TOML text of the configuration.
type ConfigBody struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

// SubmitBody is the body of POST /v1/jobs.
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

// ExplainBody is the answer to GET /v1/jobs/{id}/explain: why a job is in its state.
type ExplainBody struct {
	ID          string `json:"id"`
	Explanation string `json:"explanation"`
}

// EndpointBody is an endpoint as control hosts send it.
type EndpointBody struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	State            string `json:"state"`
	Slots            int    `json:"slots"`
	InFlight         int    `json:"in_flight"`
	Accelerators     int    `json:"accelerators"`
}

// DrainBody is the body of POST /v1/endpoints/{name}/drain and its answer.
type DrainBody struct {
	Drained bool `json:"drained"`
}

// ApplyBody is the answer to POST /v1/apply.
type ApplyBody struct {
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes"`
	Repeated bool     `json:"repeated"`
}

// RefusalBody is the body of an answer other than 2xx; Leader is set with 421 and Revision with 409.
type RefusalBody struct {
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Message  string `json:"message"`
	Leader   string `json:"leader,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}
