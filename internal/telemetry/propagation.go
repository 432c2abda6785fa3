package telemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
)

// traceparentHeader is the header that carries a span context, as in W3C Trace Context.
const traceparentHeader = "traceparent"

var w3c = propagation.TraceContext{}

// Inject returns the traceparent of the span in ctx, or "" if ctx has no span.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	w3c.Inject(ctx, carrier)
	return carrier[traceparentHeader]
}

// Extract returns ctx with the remote span of a traceparent, or ctx itself if the traceparent is malformed.
func Extract(ctx context.Context, traceparent string) context.Context {
	return w3c.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
}

// InjectHeader sets the traceparent of the span in ctx in an HTTP header; it sets nothing if ctx has no span.
func InjectHeader(ctx context.Context, h http.Header) {
	w3c.Inject(ctx, propagation.HeaderCarrier(h))
}

// ExtractHeader returns ctx with the remote span of an HTTP header, or ctx itself if its traceparent is malformed.
func ExtractHeader(ctx context.Context, h http.Header) context.Context {
	return w3c.Extract(ctx, propagation.HeaderCarrier(h))
}
