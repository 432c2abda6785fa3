package telemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
)

// parentHeader is the W3C name of the header that carries a span context.
const parentHeader = "traceparent"

var w3c = propagation.TraceContext{}

// Inject returns the traceparent of the context's span, or "" when it has none.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	w3c.Inject(ctx, carrier)
	return carrier[parentHeader]
}

// Extract returns the context with the remote span of a traceparent; a malformed one is ignored.
func Extract(ctx context.Context, traceparent string) context.Context {
	return w3c.Extract(ctx, propagation.MapCarrier{parentHeader: traceparent})
}

// InjectHeader writes the context's span to an HTTP header.
func InjectHeader(ctx context.Context, h http.Header) {
	w3c.Inject(ctx, propagation.HeaderCarrier(h))
}

// ExtractHeader returns the context with the remote span of an HTTP header; a malformed one is ignored.
func ExtractHeader(ctx context.Context, h http.Header) context.Context {
	return w3c.Extract(ctx, propagation.HeaderCarrier(h))
}
