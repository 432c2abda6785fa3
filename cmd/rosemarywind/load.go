package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/load"
)

// loadCommand returns the command that runs package load and prints its report.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send requests at a fixed rate and report latencies and outcomes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "url", Usage: "`URL` of the requests", Required: true},
			&cli.StringFlag{Name: "token", Usage: "the workspace's `TOKEN`", Sources: cli.EnvVars("ROSEMARYWIND_TOKEN")},
			&cli.StringFlag{Name: "method", Usage: "HTTP `METHOD`", Value: "GET"},
			&cli.StringFlag{Name: "body", Usage: "`TEXT` of each body"},
			&cli.StringFlag{Name: "urgency", Usage: "urgent or patient"},
			&cli.StringFlag{Name: "keys", Usage: "`PREFIX` of the idempotency keys, none if empty"},
			&cli.IntFlag{Name: "rate", Usage: "requests a second", Value: 100},
			&cli.DurationFlag{Name: "duration", Usage: "how long to send", Value: 10 * time.Second},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := load.New(c.String("url"), time.Now, load.WithToken(c.String("token")),
				load.WithRequest(c.String("method"), c.String("body"), c.String("urgency")),
				load.WithKeyPrefix(c.String("keys")), load.WithRate(c.Int("rate"), c.Duration("duration"))).Run(ctx)
			if err != nil {
				return err
			}
			return r.Write(os.Stdout)
		},
	}
}
