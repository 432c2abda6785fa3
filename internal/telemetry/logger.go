package telemetry

import (
	"context"
	"io"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"
)

// The keys of the fields that log lines have in common.
const (
	roleField     = "role"
	instanceField = "instance"
	zoneField     = "availability_zone"
	traceField    = "trace_id"
)

// NewLogger returns a logger that writes JSON lines of the given level and above; an unknown level means info.
func NewLogger(w io.Writer, level string, o Origin) hclog.Logger {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		l = hclog.Info
	}
	return hclog.New(&hclog.LoggerOptions{
		Level: l, Output: w, JSONFormat: true, JSONEscapeDisabled: true,
	}).With(roleField, o.role, instanceField, o.instance, zoneField, o.zone)
}

// WithTrace returns the logger with the trace ID of the span in ctx, or the logger itself if ctx has no span.
func WithTrace(ctx context.Context, l hclog.Logger) hclog.Logger {
	if id := trace.SpanContextFromContext(ctx).TraceID(); id.IsValid() {
		return l.With(traceField, id.String())
	}
	return l
}
