package registry

import (
	"time"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// AttemptResult is how a claimed attempt ended, with the answer if it is small enough to keep.
type AttemptResult struct {
	outcome outcome.Outcome
	status  int
	headers map[string][]string
	body    []byte
	kept    bool
}

// NewAttemptResult returns an ending without an answer.
func NewAttemptResult(o outcome.Outcome, status int) AttemptResult {
	return AttemptResult{outcome: o, status: status}
}

// WithResponse returns the ending with the whole answer.
func (e AttemptResult) WithResponse(headers map[string][]string, body []byte) AttemptResult {
	e.headers, e.body, e.kept = headers, body, true
	return e
}

// Outcome returns whether the attempt ran; it is empty while the attempt is open.
func (e AttemptResult) Outcome() outcome.Outcome { return e.outcome }

// Status returns the HTTP status of the endpoint's answer, 0 without one.
func (e AttemptResult) Status() int { return e.status }

// Headers returns the headers of the kept answer.
func (e AttemptResult) Headers() map[string][]string { return e.headers }

// Body returns the body of the kept answer.
func (e AttemptResult) Body() []byte { return e.body }

// HasResponse reports whether the whole answer was kept.
func (e AttemptResult) HasResponse() bool { return e.kept }

// Claim is the record of the attempts at one non-idempotent request.
type Claim struct {
	workspace   string
	key         string
	fingerprint string
	attempt     string
	number      uint64
	until       time.Time
	at          time.Time
	ending      AttemptResult
}

// NewClaim returns the record of an open attempt.
func NewClaim(workspace, key, fingerprint string, number uint64, until, at time.Time) Claim {
	return Claim{workspace: workspace, key: key, fingerprint: fingerprint, number: number, until: until, at: at}
}

// WithAttemptID returns the record with the identity of the attempt.
func (c Claim) WithAttemptID(attempt string) Claim {
	c.attempt = attempt
	return c
}

// AttemptID returns the identity of the attempt.
func (c Claim) AttemptID() string { return c.attempt }

// repeats reports whether the command is the open attempt itself, whose first answer was lost.
func (c Claim) repeats(k ClaimKey) bool {
	return k.attempt != "" && c.attempt == k.attempt && c.fingerprint == k.fingerprint && c.ending.outcome == ""
}

// WithResult returns the record of an attempt that ended at the given time; only an open one needs its identity.
func (c Claim) WithResult(e AttemptResult, at time.Time) Claim {
	c.ending, c.at = e, at
	if e.outcome != "" {
		c.attempt = ""
	}
	return c
}

// Workspace returns the workspace of the caller.
func (c Claim) Workspace() string { return c.workspace }

// Key returns the caller's idempotency key.
func (c Claim) Key() string { return c.key }

// Fingerprint returns the digest of the request.
func (c Claim) Fingerprint() string { return c.fingerprint }

// AttemptNumber returns the number of the attempt, which is never reused.
func (c Claim) AttemptNumber() uint64 { return c.number }

// Deadline returns the deadline of the attempt.
func (c Claim) Deadline() time.Time { return c.until }

// UpdatedAt returns when the attempt was claimed or ended.
func (c Claim) UpdatedAt() time.Time { return c.at }

// Result returns how the attempt ended.
func (c Claim) Result() AttemptResult { return c.ending }

// Reply is the first answer to an operator's request, which each resend gets again.
type Reply struct {
	requestID string
	result    Result
	at        time.Time
}

// NewReply returns the answer that was given at the given time.
func NewReply(requestID string, result Result, at time.Time) Reply {
	return Reply{requestID: requestID, result: result, at: at}
}

// RequestID returns the identity of the operator's request.
func (r Reply) RequestID() string { return r.requestID }

// Result returns the first answer.
func (r Reply) Result() Result { return r.result }

// AnsweredAt returns when the first answer was given.
func (r Reply) AnsweredAt() time.Time { return r.at }
