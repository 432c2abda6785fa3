package telemetry

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// instrumentationName is the instrumentation scope of exported spans and the prefix of their service name.
const instrumentationName = "rosemarywind"

// Tracing creates the spans of a process and exports them.
type Tracing struct {
	provider *sdktrace.TracerProvider
	file     *os.File
}

// TracingOption configures the export of spans.
type TracingOption func(*tracingOptions)

type tracingOptions struct {
	file    string
	url     string
	onError func(error)
}

// WithFile exports spans as JSON lines to the end of a file; an empty path exports none.
func WithFile(path string) TracingOption { return func(o *tracingOptions) { o.file = path } }

// WithOTLP exports spans over OTLP/HTTP to a collector, at /v1/traces if the URL has no path; an empty URL exports
// none.
func WithOTLP(url string) TracingOption { return func(o *tracingOptions) { o.url = url } }

// WithOnError sets the function that is called with the error of a failed export. It is global: it applies to every
// Tracing of the process.
func WithOnError(f func(error)) TracingOption { return func(o *tracingOptions) { o.onError = f } }

// NewTracing returns the tracing of a process. Without a file and a collector no span is sampled, but span contexts
// are still propagated.
func NewTracing(ctx context.Context, o Origin, options ...TracingOption) (t *Tracing, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("set up tracing: %w", err)
		}
	}()
	var opts tracingOptions
	for _, set := range options {
		set(&opts)
	}
	if opts.onError != nil {
		otel.SetErrorHandler(otel.ErrorHandlerFunc(opts.onError))
	}
	t = &Tracing{}
	config := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", instrumentationName+"-"+o.role),
			attribute.String("service.instance.id", o.instance),
			attribute.String("cloud.availability_zone", o.zone),
		)),
		sdktrace.WithSampler(samplerFor(opts)),
	}
	if opts.url != "" {
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(tracesURL(opts.url)))
		if err != nil {
			return nil, err
		}
		config = append(config, sdktrace.WithBatcher(e))
	}
	if opts.file != "" {
		if t.file, err = os.OpenFile(opts.file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
			return nil, err
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(t.file))
		if err != nil {
			return nil, errors.Join(err, t.file.Close())
		}
		config = append(config, sdktrace.WithBatcher(e))
	}
	t.provider = sdktrace.NewTracerProvider(config...)
	return t, nil
}

// Tracer returns the tracer that all spans of the process are started with.
func (t *Tracing) Tracer() trace.Tracer { return t.provider.Tracer(instrumentationName) }

// Shutdown exports the remaining spans, unless ctx is done earlier, and closes the file.
func (t *Tracing) Shutdown(ctx context.Context) (err error) {
	err = t.provider.Shutdown(ctx)
	if t.file != nil {
		err = errors.Join(err, t.file.Close())
	}
	if err != nil {
		return fmt.Errorf("shut down tracing: %w", err)
	}
	return nil
}

func tracesURL(base string) string {
	if u, err := url.Parse(base); err == nil && strings.Trim(u.Path, "/") == "" {
		return u.JoinPath("v1", "traces").String()
	}
	return base
}

func samplerFor(opts tracingOptions) sdktrace.Sampler {
	if opts.file == "" && opts.url == "" {
		return sdktrace.NeverSample()
	}
	return sdktrace.ParentBased(sdktrace.AlwaysSample())
}
