package telemetry

import (
	"github.com/hashicorp/go-hclog"
	gometrics "github.com/rcrowley/go-metrics"
)

// The log messages of failures that do not stop the process.
const (
	TraceFailureMessage = "spans were not exported"
	KeyFailureMessage   = "key files cannot be used"
)

// NewErrorReporter returns a function that counts each error and logs it as a warning with the message.
func NewErrorReporter(l hclog.Logger, c gometrics.Counter, message string) func(error) {
	return func(err error) {
		c.Inc(1)
		l.Warn(message, "error", err)
	}
}
