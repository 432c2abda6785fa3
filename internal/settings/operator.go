package settings

import "time"

// Operator holds the settings of the command line client.
type Operator struct{ v values }

// LoadOperator reads the settings of the command line client; a refusal is a *document.Problems.
func LoadOperator(file string) (o Operator, err error) {
	v, err := load(RoleOperator, file)
	return Operator{v}, err
}

// ControlURLs returns the HTTP addresses of the control hosts.
func (o Operator) ControlURLs() []string { return controlURLsKey.of(o.v) }

// TokenFile returns the path of the file with the bearer token, or "".
func (o Operator) TokenFile() string { return tokenFileKey.of(o.v) }

// Timeout returns the time for one request over all control hosts.
func (o Operator) Timeout() time.Duration { return timeoutKey.of(o.v) }

// TraceFile returns the path of the file for spans, or "".
func (o Operator) TraceFile() string { return traceKey.of(o.v) }

// TraceOTLP returns the URL of the OTLP collector, or "".
func (o Operator) TraceOTLP() string { return otlpKey.of(o.v) }
