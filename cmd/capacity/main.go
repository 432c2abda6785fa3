// Command capacity measures the resource usage of a control process per connected agent and watcher.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/capacity"
)

func main() {
	folder := &cli.StringFlag{Name: "folder", Usage: "`FOLDER` of keys and settings", Required: true}
	control := &cli.StringFlag{Name: "control", Usage: "QUIC `ADDRESS` of the control process", Value: "127.0.0.1:18701"}
	app := &cli.Command{
		Name:  "capacity",
		Usage: "measure the resource usage of a control process",
		Commands: []*cli.Command{
			{
				Name: "prepare", Usage: "write the keys and settings of one control process",
				Flags: []cli.Flag{folder, control, &cli.StringFlag{Name: "http", Value: "127.0.0.1:18702"}},
				Action: func(_ context.Context, c *cli.Command) error {
					return capacity.Prepare(c.String("folder"), c.String("control"), c.String("http"), time.Now())
				},
			},
			{
				Name: "agents", Usage: "simulate agents and watchers and print the resource usage of the control process",
				Flags: []cli.Flag{
					folder, control, &cli.IntFlag{Name: "agents"}, &cli.IntFlag{Name: "watchers"},
					&cli.IntFlag{Name: "pid", Required: true}, &cli.DurationFlag{Name: "length", Value: 20 * time.Second},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					return capacity.Measure(ctx, os.Stdout, c.String("folder"), c.String("control"),
						c.Int("agents"), c.Int("watchers"), c.Int("pid"), c.Duration("length"))
				},
			},
			{
				Name: "configs", Usage: "apply configuration changes and print how long they take to reach all watchers",
				Flags: []cli.Flag{
					folder, control, &cli.IntFlag{Name: "watchers", Value: 50}, &cli.IntFlag{Name: "changes", Value: 50},
					&cli.StringFlag{Name: "url", Value: "http://127.0.0.1:18702"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					return capacity.MeasureConfigs(ctx, os.Stdout, c.String("folder"), c.String("control"),
						c.String("url"), c.Int("watchers"), c.Int("changes"))
				},
			},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
