// Command rosemarywind runs the roles of the system and the verbs of its operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// The exit codes; docs/operations.md lists them.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:  "rosemarywind",
		Usage: "scheduler for multi-accelerator jobs under workspace guarantees",
		Commands: []*cli.Command{
			entryCommand(), agentCommand(), controlCommand(), demoCommand(), loadCommand(),
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "rosemarywind:", err)
		os.Exit(exitFailed)
	}
}
