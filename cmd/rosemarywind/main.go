// Command rosemarywind runs one role of the system as a process (entry, agent or control), a demonstration of the whole
// system, a load generator, or one of the operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	app := &cli.Command{
		Name:  "rosemarywind",
		Usage: "scheduler for multi-accelerator jobs under workspace guarantees",
		Commands: append([]*cli.Command{
			entryCommand(), agentCommand(), controlCommand(), demoCommand(), loadCommand(),
		}, operator.Commands()...),
	}
	app.ErrWriter = os.Stderr
	code := operator.Execute(ctx, app, os.Args)
	stop()
	os.Exit(code)
}
