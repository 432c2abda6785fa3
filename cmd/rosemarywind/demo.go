package main

import (
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/demo"
)

// demoCommand returns the command that runs package demo in a temporary folder, which it removes afterwards.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the whole system in one process with stand-ins and print a result table",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "verbose", Usage: "log to standard error as JSON lines"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			folder, err := os.MkdirTemp("", "rosemarywind-demo-")
			if err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(folder) }()
			logger := hclog.NewNullLogger()
			if c.Bool("verbose") {
				logger = hclog.New(&hclog.LoggerOptions{Output: os.Stderr, JSONFormat: true, Level: hclog.Debug})
			}
			return demo.Run(ctx, os.Stdout, folder, logger, time.Now())
		},
	}
}
