package outcome

// Header is the name of the HTTP header that carries an Outcome.
const Header = "Rosemarywind-Outcome"

// Outcome states whether a request ran.
type Outcome string

// The outcomes of a request. Only a request with the outcome NotRun is safe to repeat if it is not idempotent and has
// no idempotency key.
const (
	// Ran means that the request ran; its answer is lost only if the reason is AnswerExpired.
	Ran Outcome = "ran"
	// NotRun means that the request did not run and had no effect.
	NotRun Outcome = "not-run"
	// MayHaveRun means that the request was sent on, and that its effect is unknown.
	MayHaveRun Outcome = "may-have-run"
)

// Reason is the cause of a refused or lost request.
type Reason string

// The reasons of a refused or lost request.
const (
	// BadRequest means that the request is malformed, or that its body did not arrive completely.
	BadRequest Reason = "bad-request"
	// Unauthorized means that the token is not valid for the workspace or for operators.
	Unauthorized Reason = "unauthorized"
	// UnknownWorkspace means that the configuration has no such workspace.
	UnknownWorkspace Reason = "unknown-workspace"
	// TooLarge means that the body of the request or of the endpoint's answer exceeds a limit.
	TooLarge Reason = "too-large"
	// QueueFull means that the queue of the workspace or of the entry host is full.
	QueueFull Reason = "queue-full"
	// NoEndpoint means that no endpoint takes new requests.
	NoEndpoint Reason = "no-endpoint"
	// NoSlot means that no slot of an endpoint became free in time.
	NoSlot Reason = "no-slot"
	// Leaving means that the endpoint takes no new requests, because an operator drains it or it shuts down.
	Leaving Reason = "leaving"
	// EndpointSilent means that the endpoint does not answer its agent's probes or connection attempts.
	EndpointSilent Reason = "endpoint-silent"
	// DeadlineExceeded means that the deadline of the request passed before a complete answer arrived.
	DeadlineExceeded Reason = "deadline-exceeded"
	// Cancelled means that the caller gave up before the answer.
	Cancelled Reason = "cancelled"
	// KeyInProgress means that an earlier attempt with the same idempotency key still holds the key.
	KeyInProgress Reason = "key-in-progress"
	// KeyReused means that the idempotency key belongs to a different request.
	KeyReused Reason = "key-reused"
	// KeyOutcomeUnknown means that an earlier attempt with the same idempotency key may have run.
	KeyOutcomeUnknown Reason = "key-outcome-unknown"
	// AnswerExpired means that an earlier attempt with the same idempotency key ran, but its answer is no longer
	// stored.
	AnswerExpired Reason = "answer-not-kept"
	// ControlUnavailable means that no control host could serve the request or record the attempt.
	ControlUnavailable Reason = "control-unavailable"
	// ConnectionLost means that the connection to the agent or to the endpoint failed.
	ConnectionLost Reason = "connection-lost"
	// AnswerTruncated means that the endpoint's answer ended early or is not a valid HTTP answer.
	AnswerTruncated Reason = "answer-truncated"
	// Stopping means that the entry host is shutting down.
	Stopping Reason = "stopping"
	// StaleIncarnation means that the agent restarted after the entry host chose its endpoint.
	StaleIncarnation Reason = "stale-incarnation"
	// NotTakenUp means that the agent refused the stream or closed its connection without acting on the request.
	NotTakenUp Reason = "not-taken-up"
	// RevisionConflict means that the base revision of a configuration change is not the current revision.
	RevisionConflict Reason = "revision-conflict"
)
