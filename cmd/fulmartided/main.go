// Command fulmartided is the router's daemon. Every VM runs the same program.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alecthomas/kong"

	"github.com/fulmartide/fulmartide/internal/daemon"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/logging"
	"github.com/fulmartide/fulmartide/internal/settings"
	"github.com/fulmartide/fulmartide/platform"
)

// version is set by the linker.
var version = "dev"

type arguments struct {
	Serve    serveCommand     `cmd:"" default:"withargs" help:"Run with a TOML settings file."`
	Platform platformCommand  `cmd:"" help:"Run as a node of the platform, with the settings file that FULMARTIDE_NODE_FILE names."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

type serveCommand struct {
	Settings string `arg:"" help:"TOML settings file." type:"path"`
	Check    bool   `help:"Check the settings and exit."`
}

type platformCommand struct {
	Check bool   `help:"Check the settings and exit."`
	Level string `help:"Minimum log level." default:"info" enum:"debug,info,warn,error"`
}

// Exit codes.
const (
	exitError    = 1
	exitSettings = 2
)

func main() {
	// Signals are registered before anything else: until then they end the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	code := run(ctx, hangups)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, hangups <-chan os.Signal) int {
	var args arguments
	parsed := kong.Parse(&args, kong.Name("fulmartided"), kong.Description("Router for language-model fleets."), kong.Vars{"version": version})
	if parsed.Command() == "platform" {
		return args.Platform.run(ctx, hangups)
	}
	return args.Serve.run(ctx, hangups)
}

func (args serveCommand) run(ctx context.Context, hangups <-chan os.Signal) int {
	s, err := settings.Load(args.Settings)
	if err != nil {
		return reportError(err, exitSettings)
	}
	level, err := logging.ParseLevel(s.Log.Level)
	if err != nil {
		return reportError(err, exitSettings)
	}
	if args.Check {
		return 0
	}
	setMemoryPolicy(s.Limits.MemoryMiB << 20)
	reload := daemon.Reload{Signals: hangups, Path: args.Settings, LogLevel: level}
	if err := daemon.Run(ctx, s, reload, logging.New(os.Stderr, level)); err != nil {
		return reportError(err, exitError)
	}
	return 0
}

func (args platformCommand) run(ctx context.Context, hangups <-chan os.Signal) int {
	s, err := platform.LoadSettings()
	if err != nil {
		return reportError(err, exitSettings)
	}
	if args.Check {
		return 0
	}
	out := logging.NewAsync(os.Stdout, logBufferBytes)
	defer out.Close()
	level, err := logging.ParseLevel(args.Level)
	if err != nil {
		return reportError(err, exitSettings)
	}
	log := logging.New(out, level)
	set := metrics.NewSet()
	set.NewGauge("fulmartide_log_lines_dropped_total", func() float64 { return float64(out.Dropped()) })
	if err := platform.Run(ctx, s, hangups, log, set); err != nil {
		return reportError(err, exitError)
	}
	return 0
}

// logBufferBytes is the size of the log buffer; lines that do not fit are dropped.
const logBufferBytes = 1 << 20

func reportError(err error, code int) int {
	d := fault.DetailOf(err)
	fmt.Fprintf(os.Stderr, "fulmartided: %s\nremedy: %s\n", d.Message, d.Remedy)
	return code
}
