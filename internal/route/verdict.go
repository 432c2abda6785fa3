package route

// Verdict says what the result of a request tells about its endpoint.
type Verdict string

// The verdicts; an unclear result is one for which the endpoint is not accountable.
const (
	Sound   Verdict = "sound"
	Faulty  Verdict = "faulty"
	Unclear Verdict = "unclear"
)
