// Command routebench compares policies for routing and admission of requests by simulation in virtual time.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/routebench"
)

func main() {
	command := &cli.Command{
		Name:  "routebench",
		Usage: "compare routing and admission policies in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the requests and of random choices"},
			&cli.StringFlag{Name: "only", Usage: "run only the scenarios whose name contains this text"},
		},
		Action: compare,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func compare(_ context.Context, c *cli.Command) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, routebench.Header)
	for _, cmp := range comparisons() {
		for _, s := range cmp.scenarios {
			if !strings.Contains(s.Name(), c.String("only")) {
				continue
			}
			for _, p := range cmp.policies {
				_, _ = fmt.Fprintln(t, routebench.Run(s, p, c.Uint64("seed")).Row())
			}
		}
	}
	return t.Flush()
}
