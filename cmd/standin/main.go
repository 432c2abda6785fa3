// Command standin is a stand-in of the platform's endpoint and worker, for trials.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/settings"
	"rosemarywind.example/rosemarywind/internal/standin"
)

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:   "standin",
		Usage:  "stand in for the platform's endpoint and worker",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE` (TOML)", Required: true}},
		Action: run,
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitFailed)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	s, err := settings.LoadStandin(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	l, err := net.Listen("tcp", s.Listen().String())
	if err != nil {
		return err
	}
	stand := standin.New(s.Name(), s.Accelerators(),
		standin.WithLatency(s.Latency()), standin.WithReportLag(s.ReportLag()))
	return stand.Run(ctx, l)
}
