package settings

import "time"

// Operator holds the settings of the command line client.
type Operator struct{ v values }

// LoadOperator reads the settings of the command line client; an invalid file gives a *document.Problems error.
func LoadOperator(file string) (o Operator, err error) {
	v, err := load(RoleOperator, file)
	return Operator{v}, err
}

// ControlURLs returns the base URLs of the control hosts, each http://IP:port.
func (o Operator) ControlURLs() []string { return controlURLsKey.get(o.v) }

// TokenFile returns the path of the file with the bearer token, or "" for no token.
func (o Operator) TokenFile() string { return tokenFileKey.get(o.v) }

// Timeout returns the timeout of one request, including its attempts at all control hosts.
func (o Operator) Timeout() time.Duration { return timeoutKey.get(o.v) }

// TraceFile returns the path of the file that receives spans as JSON lines, or "" for none.
func (o Operator) TraceFile() string { return traceFileKey.get(o.v) }

// TraceOTLP returns the URL of the OTLP/HTTP collector of spans, or "" for none.
func (o Operator) TraceOTLP() string { return traceOTLPKey.get(o.v) }
