// Command crocuscross is the daemon beside each backend server and the
// operators' command line.
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
