package registry

import (
	"time"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// AttemptResult is the outcome of a claimed attempt, with the endpoint's response if that is small enough to keep; the
// zero value stands for an open attempt.
type AttemptResult struct {
	outcome     outcome.Outcome
	status      int
	headers     map[string][]string
	body        []byte
	hasResponse bool
}

// NewAttemptResult returns a result without a response; status is 0 if the endpoint did not respond.
func NewAttemptResult(o outcome.Outcome, status int) AttemptResult {
	return AttemptResult{outcome: o, status: status}
}

// WithResponse returns a copy with the headers and the body of the endpoint's response.
func (e AttemptResult) WithResponse(headers map[string][]string, body []byte) AttemptResult {
	e.headers, e.body, e.hasResponse = headers, body, true
	return e
}

// Outcome returns whether the attempt ran, empty while the attempt is open.
func (e AttemptResult) Outcome() outcome.Outcome { return e.outcome }

// Status returns the HTTP status of the endpoint's response, 0 if there was none.
func (e AttemptResult) Status() int { return e.status }

// Headers returns the headers of the kept response, nil if it is not kept.
func (e AttemptResult) Headers() map[string][]string { return e.headers }

// Body returns the body of the kept response, nil if it is not kept.
func (e AttemptResult) Body() []byte { return e.body }

// HasResponse reports whether the headers and the body of the response are kept.
func (e AttemptResult) HasResponse() bool { return e.hasResponse }

// Claim is the record of the latest attempt at one non-idempotent request.
type Claim struct {
	workspace     string
	key           string
	fingerprint   string
	attemptID     string
	attemptNumber uint64
	deadline      time.Time
	updatedAt     time.Time
	result        AttemptResult
}

// NewClaim returns the record of an open attempt that was claimed at claimedAt.
func NewClaim(workspace, key, fingerprint string, attemptNumber uint64, deadline, claimedAt time.Time) Claim {
	return Claim{
		workspace: workspace, key: key, fingerprint: fingerprint, attemptNumber: attemptNumber, deadline: deadline,
		updatedAt: claimedAt,
	}
}

// WithAttemptID returns a copy with the ID that a resend of the claim repeats.
func (c Claim) WithAttemptID(attemptID string) Claim {
	c.attemptID = attemptID
	return c
}

// AttemptID returns the ID that a resend of the claim repeats, empty once the attempt has ended.
func (c Claim) AttemptID() string { return c.attemptID }

// isResend reports whether k is a resend of the claim that opened this attempt; it is sent when the first reply is lost.
func (c Claim) isResend(k ClaimKey) bool {
	return k.attemptID != "" && c.attemptID == k.attemptID && c.fingerprint == k.fingerprint && c.result.outcome == ""
}

// WithResult returns a copy with a result recorded at the given time; it drops the attempt ID, which only an open attempt
// needs.
func (c Claim) WithResult(r AttemptResult, at time.Time) Claim {
	c.result, c.updatedAt = r, at
	if r.outcome != "" {
		c.attemptID = ""
	}
	return c
}

// Workspace returns the name of the caller's workspace.
func (c Claim) Workspace() string { return c.workspace }

// Key returns the caller's idempotency key.
func (c Claim) Key() string { return c.key }

// Fingerprint returns the digest of the request, by which another request under the same key is told apart.
func (c Claim) Fingerprint() string { return c.fingerprint }

// AttemptNumber returns the number that the claim was granted; numbers are never reused.
func (c Claim) AttemptNumber() uint64 { return c.attemptNumber }

// Deadline returns the time by which the attempt must end.
func (c Claim) Deadline() time.Time { return c.deadline }

// UpdatedAt returns when the attempt ended, or was claimed if it is open.
func (c Claim) UpdatedAt() time.Time { return c.updatedAt }

// Result returns the result of the attempt, the zero value while it is open.
func (c Claim) Result() AttemptResult { return c.result }

// Reply is the recorded result of a request with a request ID; each retry gets the same result.
type Reply struct {
	requestID  string
	result     Result
	answeredAt time.Time
}

// NewReply returns the record of a result that was given at answeredAt; requestID includes the scope of the request.
func NewReply(requestID string, result Result, answeredAt time.Time) Reply {
	return Reply{requestID: requestID, result: result, answeredAt: answeredAt}
}

// RequestID returns the scope and the ID of the request, joined by a zero byte.
func (r Reply) RequestID() string { return r.requestID }

// Result returns the result that the first request got.
func (r Reply) Result() Result { return r.result }

// AnsweredAt returns when the first request got its result.
func (r Reply) AnsweredAt() time.Time { return r.answeredAt }
