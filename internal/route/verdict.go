package route

// Verdict classifies the result of a request by what it says about the endpoint.
type Verdict string

// The verdicts. Full means that the endpoint refused the request because it had no free slot, Inconclusive that the
// endpoint is not responsible for the result.
const (
	Healthy      Verdict = "sound"
	Faulty       Verdict = "faulty"
	Full         Verdict = "full"
	Inconclusive Verdict = "unclear"
)
