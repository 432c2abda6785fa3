// Command planbench compares the planner's policies on generated arrival lists.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/planbench"
)

func main() {
	command := &cli.Command{
		Name:  "planbench",
		Usage: "compare the planner's policies in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrival lists"},
			&cli.StringFlag{Name: "scenario", Usage: "run only this scenario"},
			&cli.StringFlag{Name: "policy", Usage: "run only this policy"},
			&cli.StringFlag{Name: "chart", Usage: "write a bar chart to this SVG file"},
		},
		Action: compare,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func compare(_ context.Context, c *cli.Command) error {
	all, err := scenarios(c.Uint64("seed"))
	if err != nil {
		return err
	}
	var results []*planbench.Result
	for _, s := range all {
		if only := c.String("scenario"); only != "" && only != s.Name() {
			continue
		}
		for _, p := range []plan.Policy{plan.FirstFit, plan.StrictPriority, plan.Buddy, plan.Direct, plan.Reserving} {
			if only := c.String("policy"); only != "" && only != string(p) {
				continue
			}
			results = append(results, planbench.Run(s, p))
		}
	}
	if err := writeTable(os.Stdout, results); err != nil {
		return err
	}
	path := c.String("chart")
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := writeChart(f, results); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
