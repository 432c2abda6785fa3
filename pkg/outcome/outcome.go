package outcome

// Header is the name of the HTTP header that carries an Outcome.
const Header = "Rosemarywind-Outcome"

// Outcome says whether a request was run.
type Outcome string

// The outcomes of a request.
const (
	Ran        Outcome = "ran"
	NotRun     Outcome = "not-run"
	MayHaveRun Outcome = "may-have-run"
)

// Reason says why a request was refused or lost.
type Reason string

// The reasons of a refusal.
const (
	BadRequest       Reason = "bad-request"
	Unauthorized     Reason = "unauthorized"
	UnknownWorkspace Reason = "unknown-workspace"
	TooLarge         Reason = "too-large"
	QueueFull        Reason = "queue-full"
	NoEndpoint       Reason = "no-endpoint"
	NoSlot           Reason = "no-slot"
	Leaving          Reason = "leaving"
	EndpointSilent   Reason = "endpoint-silent"
	DeadlineExceeded Reason = "deadline-exceeded"
	Cancelled        Reason = "cancelled"
	KeyInProgress    Reason = "key-in-progress"
	KeyReused        Reason = "key-reused"
	KeyUnknown       Reason = "key-outcome-unknown"
	AnswerExpired    Reason = "answer-not-kept"
	ControlAway      Reason = "control-unavailable"
	ConnectionLost   Reason = "connection-lost"
	AnswerTruncated  Reason = "answer-truncated"
	Stopping         Reason = "stopping"
	StaleIncarnation Reason = "stale-incarnation"
	Incompatible     Reason = "not-taken-up"
	RevisionConflict Reason = "revision-conflict"
)
