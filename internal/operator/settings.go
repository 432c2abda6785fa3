package operator

import (
	"context"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/settings"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "check settings files and show examples",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "report every problem of a settings file", ArgsUsage: "FILE", Action: checkSettings,
				Flags: []cli.Flag{&cli.StringFlag{Name: "role", Usage: fmt.Sprint("one of ", settings.Roles())}},
			},
			{Name: "example", Usage: "print a settings file with every key", ArgsUsage: "ROLE", Action: exampleSettings},
		},
	}
}

func checkSettings(_ context.Context, c *cli.Command) (err error) {
	file, err := argument(c, "FILE")
	if err != nil {
		return err
	}
	role, err := parseRole(c.String("role"))
	if err != nil {
		return err
	}
	if err = settings.Check(role, file); err != nil {
		return &exitError{code: ExitUsage, cause: err}
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: ok for %s\n", file, role)
	return err
}

func exampleSettings(_ context.Context, c *cli.Command) (err error) {
	name, err := argument(c, "ROLE")
	if err != nil {
		return err
	}
	role, err := parseRole(name)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(c.Root().Writer, settings.Example(role))
	return err
}

func parseRole(name string) (r settings.Role, err error) {
	if r = settings.Role(name); !slices.Contains(settings.Roles(), r) {
		return "", usageError("role %q is not one of %v", name, settings.Roles())
	}
	return r, nil
}
