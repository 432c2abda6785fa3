package standin

import (
	"context"
	"net"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/settings"
)

// ExitSettings is the exit code for a settings file that cannot be read or is invalid.
const ExitSettings = 2

// Command returns the standin command, which serves a stand-in configured by a settings file until its context ends.
func Command() *cli.Command {
	return &cli.Command{
		Name:   "standin",
		Usage:  "stand in for the platform's endpoint and worker",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE` (TOML)", Required: true}},
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	s, err := settings.LoadStandin(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), ExitSettings)
	}
	l, err := net.Listen("tcp", s.Listen().String())
	if err != nil {
		return err
	}
	return New(s.Name(), s.Accelerators(), WithLatency(s.Latency()), WithReportLag(s.ReportLag())).Run(ctx, l)
}
