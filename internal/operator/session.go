package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/settings"
	"rosemarywind.example/rosemarywind/internal/telemetry"
	"rosemarywind.example/rosemarywind/pkg/client"
)

// session is one run of a command that sends requests to the control hosts.
type session struct {
	ctx    context.Context
	cmd    *cli.Command
	client *client.Operator
	out    io.Writer
}

// exportTimeout limits the export of spans at the end of a command.
const exportTimeout = 2 * time.Second

// withSession returns an action that reads the settings, sets up tracing and runs the given action with a client.
func withSession(action func(*session) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) (err error) {
		o, k, err := newClient(c)
		if err != nil {
			return &exitError{code: ExitUsage, cause: err}
		}
		defer k.Close()
		tracing, err := telemetry.NewTracing(ctx, telemetry.NewOrigin(string(settings.RoleOperator), c.Name, ""),
			telemetry.WithFile(o.TraceFile()), telemetry.WithOTLP(o.TraceOTLP()))
		if err != nil {
			return &exitError{code: ExitUsage, cause: err}
		}
		defer func() {
			// A command that has succeeded must not fail because the trace collector is unreachable.
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exportTimeout)
			defer cancel()
			if e := tracing.Shutdown(ctx); e != nil {
				_, _ = fmt.Fprintf(c.Root().ErrWriter, "%s: %s\n", c.Root().Name, sanitizeLines(e.Error()))
			}
		}()
		ctx, span := tracing.Tracer().Start(ctx, c.Name)
		defer span.End()
		return action(&session{ctx: ctx, cmd: c, client: k, out: c.Root().Writer})
	}
}

// newClient reads the settings and returns them with a client of the control hosts that they list.
func newClient(c *cli.Command) (o settings.Operator, k *client.Operator, err error) {
	file := c.String(settingsFlag)
	if file == "" {
		return o, nil, fmt.Errorf("--%s FILE is required", settingsFlag)
	}
	if o, err = settings.LoadOperator(file); err != nil {
		return o, nil, err
	}
	token, err := readToken(o.TokenFile())
	if err != nil {
		return o, nil, err
	}
	k, err = client.NewOperator(o.ControlURLs(), client.WithToken(token), client.WithTimeout(o.Timeout()),
		client.WithHeader(telemetry.InjectHeader))
	return o, k, err
}

// readToken returns the token in a file without surrounding white space, or "" if no file is named.
func readToken(file string) (token string, err error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read token: %w", err)
	}
	if token = strings.TrimSpace(string(data)); token == "" {
		return "", fmt.Errorf("token file %s is empty", file)
	}
	return token, nil
}

// argument returns the only positional argument.
func (s *session) argument(name string) (value string, err error) {
	return argument(s.cmd, name)
}

// argument returns the only positional argument of a command, or a usage error if there is none or more than one.
func argument(c *cli.Command, name string) (value string, err error) {
	if c.Args().Len() != 1 || c.Args().First() == "" {
		return "", usageError("%s needs exactly one argument, %s", c.Name, name)
	}
	return c.Args().First(), nil
}

func (s *session) noArguments() error {
	if s.cmd.Args().Present() {
		return usageError("%s takes no argument, got %q", s.cmd.Name, s.cmd.Args().First())
	}
	return nil
}

// print writes the value as JSON if --json is given, else as text with writeText.
func (s *session) print(value any, writeText func(io.Writer)) error {
	if !s.cmd.Bool(jsonFlag) {
		writeText(s.out)
		return nil
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	_, err = fmt.Fprintln(s.out, string(data))
	return err
}
