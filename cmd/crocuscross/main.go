// Command crocuscross runs the sidecar daemon of a backend server and provides the command line for
// operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/crocuscross/crocuscross/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(status))
}
