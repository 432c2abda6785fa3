package operator

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/pkg/client"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// The exit codes of all commands.
const (
	ExitOK       = 0
	ExitFailed   = 1 // refused or failed, with no effect
	ExitUsage    = 2 // bad usage or settings
	ExitConflict = 3 // the configuration has another revision than the base
	ExitUnknown  = 4 // sent, and the outcome is unknown
)

// failure is an error with the exit code that it leads to.
type failure struct {
	code  int
	cause error
}

// Error returns the text of the cause.
func (f *failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }

func usage(format string, args ...any) error {
	return &failure{code: ExitUsage, cause: fmt.Errorf(format, args...)}
}

// ExitCode returns the exit code of a command's error.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var own *failure
	if errors.As(err, &own) {
		return own.code
	}
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	var f client.Failure
	if !errors.As(err, &f) {
		return ExitFailed
	}
	switch f := f.(type) {
	case *client.Conflict:
		return ExitConflict
	case *client.Unknown:
		return ExitUnknown
	case *client.Refusal:
		if f.Outcome() == outcome.MayHaveRun {
			return ExitUnknown
		}
		return ExitFailed
	case *client.Unreachable:
		return ExitFailed
	}
	return ExitFailed
}

// Execute runs a command line and returns its exit code; the error text goes to the root's ErrWriter.
func Execute(ctx context.Context, root *cli.Command, args []string) (code int) {
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	prepare(root)
	err := root.Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintf(root.ErrWriter, "%s: %s\n", root.Name, plainLines(err.Error()))
	}
	return ExitCode(err)
}

// prepare gives each command the same answer to bad usage.
func prepare(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usage("%w", err)
	}
	if c.Action == nil && len(c.Commands) > 0 {
		c.Action = func(_ context.Context, c *cli.Command) error {
			if name := c.Args().First(); name != "" {
				return usage("unknown command %q", name)
			}
			return usage("a command is required; see --help")
		}
	}
	for _, s := range c.Commands {
		prepare(s)
	}
}

// BadSettings returns an error that ends the process with ExitUsage.
func BadSettings(err error) error { return &failure{code: ExitUsage, cause: err} }
