// Command fulmartided is the router's daemon: the same program on every VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/fulmartide/fulmartide/internal/daemon"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/logging"
	"github.com/fulmartide/fulmartide/internal/settings"
)

// version is set by the linker.
var version = "dev"

type arguments struct {
	Settings string           `arg:"" help:"TOML settings file." type:"path"`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Exit codes.
const (
	exitFault    = 1
	exitSettings = 2
)

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("fulmartided"), kong.Description("Router for language-model fleets."), kong.Vars{"version": version})
	os.Exit(run(args))
}

func run(args arguments) int {
	s, err := settings.Load(args.Settings)
	if err != nil {
		return report(err, exitSettings)
	}
	log, err := logging.New(os.Stderr, s.Log.Level)
	if err != nil {
		return report(err, exitSettings)
	}
	if args.Check {
		return 0
	}
	setMemoryPolicy()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := daemon.Run(ctx, s, log); err != nil {
		return report(err, exitFault)
	}
	return 0
}

func report(err error, code int) int {
	d := fault.Describe(err)
	fmt.Fprintf(os.Stderr, "fulmartided: %s\nremedy: %s\n", d.Message, d.Remedy)
	return code
}
