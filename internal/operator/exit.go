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
	ExitFailed   = 1 // refused or failed with no effect, or an error that determines no exit code
	ExitUsage    = 2 // bad usage or settings
	ExitConflict = 3 // the revision of the configuration differs from the base
	ExitUnknown  = 4 // the request was sent, its outcome is unknown

	ExitErrors      = 5 // a checked configuration has errors
	ExitWarnings    = 6 // it has warnings and no errors
	ExitDifferences = 7 // it has nothing but differences to the one in force
)

// exitError is an error that determines the exit code of the process.
type exitError struct {
	code  int
	cause error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

// usageError returns an error with the exit code for bad usage.
func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, cause: fmt.Errorf(format, args...)}
}

// ExitCode returns the exit code for the error of a command, ExitFailed if the error determines none.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var own *exitError
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

// Execute runs a command line and returns its exit code; it writes the error text to the root's ErrWriter.
func Execute(ctx context.Context, root *cli.Command, args []string) (code int) {
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	setUsageErrors(root)
	err := root.Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintf(root.ErrWriter, "%s: %s\n", root.Name, sanitizeLines(err.Error()))
	}
	return ExitCode(err)
}

// setUsageErrors makes c and all commands below it return a usage error for a bad flag and for a missing or unknown
// command.
func setUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError("%w", err)
	}
	if c.Action == nil && len(c.Commands) > 0 {
		c.Action = func(_ context.Context, c *cli.Command) error {
			if name := c.Args().First(); name != "" {
				return usageError("unknown command %q", name)
			}
			return usageError("a command is required; see --help")
		}
	}
	for _, s := range c.Commands {
		setUsageErrors(s)
	}
}

// SettingsError wraps an error of a settings file so that the process exits with ExitUsage.
func SettingsError(err error) error { return &exitError{code: ExitUsage, cause: err} }
