package client

// HTTP headers and reasons that clients and hosts share.
const (
	// RequestIDHeader carries the id by which a control host recognizes a repeated request.
	RequestIDHeader = "Rosemarywind-Request-Id"
	// KeyHeader carries the idempotency key by which an entry host recognizes a caller's retry.
	KeyHeader = "Idempotency-Key"
	// UrgencyHeader carries the urgency of a call: urgent or patient.
	UrgencyHeader = "Rosemarywind-Urgency"
	// IdempotentHeader states whether a call may run more than once: yes or no. Without it the HTTP method decides.
	IdempotentHeader = "Rosemarywind-Idempotent"
	// DeadlineHeader carries the time, in milliseconds from the arrival of a call, after which the entry host gives it
	// up.
	DeadlineHeader = "Rosemarywind-Deadline-Ms"
	// ConflictReason is the reason in a 409 answer to an apply whose base revision is not the current revision.
	ConflictReason = "revision-conflict"
)
