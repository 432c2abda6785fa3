package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
)

// Paths of the control hosts' HTTP interface.
const (
	applyPath     = "/v1/apply"
	configPath    = "/v1/config"
	jobsPath      = "/v1/jobs"
	endpointsPath = "/v1/endpoints"
	controlPath   = "/v1/control"
	zonesPath     = "/v1/zones"

	evacuationsPath = "/v1/evacuations"
)

// Apply replaces the configuration with a TOML text, provided that its revision is base; otherwise it returns
// *Conflict. An empty request id stands for a random one.
func (o *Operator) Apply(ctx context.Context, text []byte, base uint64, requestID string) (a Applied, err error) {
	return o.apply(ctx, text, url.Values{"base": {strconv.FormatUint(base, 10)}}, requestID)
}

// DryApply returns the changes that Apply would make, without making them.
func (o *Operator) DryApply(ctx context.Context, text []byte, base uint64) (a Applied, err error) {
	return o.apply(ctx, text, url.Values{"base": {strconv.FormatUint(base, 10)}, "dry": {"true"}}, "")
}

func (o *Operator) apply(ctx context.Context, text []byte, query url.Values, requestID string) (a Applied, err error) {
	m := newMessage(http.MethodPost, applyPath+"?"+query.Encode(), "application/toml", requestID, text)
	err = o.exchange(ctx, m, &a.body)
	return a, err
}

// Config returns the current configuration.
func (o *Operator) Config(ctx context.Context) (c Config, err error) {
	err = o.exchange(ctx, newMessage(http.MethodGet, configPath, "", "", nil), &c.body)
	return c, err
}

// Submit submits a job and returns it as accepted. An empty request id stands for a random one.
func (o *Operator) Submit(ctx context.Context, s Submission, requestID string) (j Job, err error) {
	body, err := json.Marshal(s.body)
	if err != nil {
		return Job{}, fmt.Errorf("encode submission: %w", err)
	}
	err = o.exchange(ctx, newMessage(http.MethodPost, jobsPath, "application/json", requestID, body), &j.body)
	return j, err
}

// Cancel requests that a job be stopped and returns its state. An empty request id stands for a random one.
func (o *Operator) Cancel(ctx context.Context, id, requestID string) (j Job, err error) {
	err = o.exchange(ctx, newMessage(http.MethodDelete, jobPath(id), "", requestID, nil), &j.body)
	return j, err
}

// Jobs returns all jobs that the token may see, including ended ones that are still stored.
func (o *Operator) Jobs(ctx context.Context) (jobs []Job, err error) {
	var body []JobBody
	err = o.exchange(ctx, newMessage(http.MethodGet, jobsPath, "", "", nil), &body)
	jobs = make([]Job, 0, len(body))
	for _, b := range body {
		jobs = append(jobs, Job{body: b})
	}
	return jobs, err
}

// Job returns the job with the given id; it returns *Refusal if the job is unknown.
func (o *Operator) Job(ctx context.Context, id string) (j Job, err error) {
	err = o.exchange(ctx, newMessage(http.MethodGet, jobPath(id), "", "", nil), &j.body)
	return j, err
}

// Explain returns the explanation of a job's state.
func (o *Operator) Explain(ctx context.Context, id string) (e Explanation, err error) {
	err = o.exchange(ctx, newMessage(http.MethodGet, jobPath(id)+"/explain", "", "", nil), &e.body)
	return e, err
}

// Endpoints returns the endpoints whose agents have announced them to the leader.
func (o *Operator) Endpoints(ctx context.Context) (endpoints []Endpoint, err error) {
	var body []EndpointBody
	err = o.exchange(ctx, newMessage(http.MethodGet, endpointsPath, "", "", nil), &body)
	endpoints = make([]Endpoint, 0, len(body))
	for _, b := range body {
		endpoints = append(endpoints, Endpoint{body: b})
	}
	return endpoints, err
}

// Control returns the leader's view of the control hosts.
func (o *Operator) Control(ctx context.Context) (c Control, err error) {
	err = o.exchange(ctx, newMessage(http.MethodGet, controlPath, "", "", nil), &c.body)
	return c, err
}

// Drain requests that an endpoint take no new work until Undrain. An empty request id stands for a random one.
func (o *Operator) Drain(ctx context.Context, name, requestID string) (err error) {
	return o.drain(ctx, name, requestID, true)
}

// Undrain allows an endpoint to take new work again. An empty request id stands for a random one.
func (o *Operator) Undrain(ctx context.Context, name, requestID string) (err error) {
	return o.drain(ctx, name, requestID, false)
}

func (o *Operator) drain(ctx context.Context, name, requestID string, drained bool) (err error) {
	body, err := json.Marshal(DrainBody{Drained: drained})
	if err != nil {
		return fmt.Errorf("encode drain: %w", err)
	}
	path := endpointsPath + "/" + url.PathEscape(name) + "/drain"
	err = o.exchange(ctx, newMessage(http.MethodPost, path, "application/json", requestID, body), nil)
	return err
}

func jobPath(id string) string { return jobsPath + "/" + url.PathEscape(id) }
