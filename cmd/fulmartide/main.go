// Command fulmartide is the operator tool of the router.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/fulmartide/fulmartide/internal/cli"
)

// version is set by the linker.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := cli.Run(ctx, os.Args[1:], version, cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
