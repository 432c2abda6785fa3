// Command standin stands in for the platform's endpoint and worker in trials.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"rosemarywind.example/rosemarywind/internal/standin"
)

const exitFailed = 1

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := standin.Command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitFailed)
	}
}
