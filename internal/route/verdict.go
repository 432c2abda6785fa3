package route

// Verdict says what the result of a request tells about its endpoint.
type Verdict string

// The verdicts; a full endpoint refused the request for want of a slot, and an unclear result is one for which the
// endpoint is not accountable.
const (
	Sound   Verdict = "sound"
	Faulty  Verdict = "faulty"
	Full    Verdict = "full"
	Unclear Verdict = "unclear"
)
