package client

// The headers and reasons that clients and hosts agree on.
const (
	// RequestIDHeader holds the id by which a host recognizes a request that is sent again.
	RequestIDHeader = "Rosemarywind-Request-Id"
	// KeyHeader holds the key by which an entry host recognizes a caller's retry.
	KeyHeader = "Idempotency-Key"
	// UrgencyHeader holds urgent or patient.
	UrgencyHeader = "Rosemarywind-Urgency"
	// IdempotentHeader holds yes or no.
	IdempotentHeader = "Rosemarywind-Idempotent"
	// DeadlineHeader holds the milliseconds after which the answer is of no use.
	DeadlineHeader = "Rosemarywind-Deadline-Ms"
	// ConflictReason is the reason of a 409 to an apply with a stale base revision.
	ConflictReason = "revision-conflict"
)
