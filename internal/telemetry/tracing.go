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

// scope is the name of the instrumentation in exported spans.
const scope = "rosemarywind"

// Tracing makes the spans of a process and exports them.
type Tracing struct {
	provider *sdktrace.TracerProvider
	file     *os.File
}

// TracingOption changes where spans go.
type TracingOption func(*destinations)

type destinations struct {
	file    string
	url     string
	onError func(error)
}

// WithFile exports spans as JSON lines to the end of a file; an empty path exports none.
func WithFile(path string) TracingOption { return func(d *destinations) { d.file = path } }

// WithOTLP exports spans over OTLP/HTTP to a collector, at /v1/traces when the URL has no path; an empty URL exports none.
func WithOTLP(url string) TracingOption { return func(d *destinations) { d.url = url } }

// WithOnError sets the function that is told of failed exports, for all tracing of the process.
func WithOnError(f func(error)) TracingOption { return func(d *destinations) { d.onError = f } }

// NewTracing returns the tracing of a process; without a destination no span is sampled, but contexts still propagate.
func NewTracing(ctx context.Context, o Origin, options ...TracingOption) (t *Tracing, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("set up tracing: %w", err)
		}
	}()
	var d destinations
	for _, set := range options {
		set(&d)
	}
	if d.onError != nil {
		otel.SetErrorHandler(otel.ErrorHandlerFunc(d.onError))
	}
	t = &Tracing{}
	config := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", scope+"-"+o.role),
			attribute.String("service.instance.id", o.instance),
			attribute.String("cloud.availability_zone", o.zone),
		)),
		sdktrace.WithSampler(samplerFor(d)),
	}
	if d.url != "" {
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(tracesURL(d.url)))
		if err != nil {
			return nil, err
		}
		config = append(config, sdktrace.WithBatcher(e))
	}
	if d.file != "" {
		if t.file, err = os.OpenFile(d.file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
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

// Tracer returns the tracer that starts spans.
func (t *Tracing) Tracer() trace.Tracer { return t.provider.Tracer(scope) }

// Shutdown exports the remaining spans until ctx ends and closes the file.
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

func samplerFor(d destinations) sdktrace.Sampler {
	if d.file == "" && d.url == "" {
		return sdktrace.NeverSample()
	}
	return sdktrace.ParentBased(sdktrace.AlwaysSample())
}
