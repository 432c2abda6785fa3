package telemetry

import (
	"github.com/hashicorp/go-hclog"
	gometrics "github.com/rcrowley/go-metrics"
)

// The messages of the log lines of failures that the process survives.
const (
	TraceFailureMessage = "spans were not exported"
	KeyFailureMessage   = "key files cannot be used"
)

// ReportError returns a function that counts each error and logs it as a warning under the message.
func ReportError(l hclog.Logger, c gometrics.Counter, message string) func(error) {
	return func(err error) {
		c.Inc(1)
		l.Warn(message, "error", err)
	}
}
