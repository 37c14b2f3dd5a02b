// Command standin runs the stand-ins for external systems in one process: a platform, engines
// and plain services. It prints one line of JSON with their addresses, and exits on SIGTERM or
// SIGINT, or when its standard input closes.
package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/fulmartide/fulmartide/test/standin"
	"github.com/fulmartide/fulmartide/test/standin/engine"
	"github.com/fulmartide/fulmartide/test/standin/platform"
	"github.com/fulmartide/fulmartide/test/standin/service"
)

type command struct {
	Model    string        `help:"Model that all engines load." default:"summary"`
	Prefill  int           `help:"Number of prefill engines." default:"1"`
	Decode   int           `help:"Number of decode engines." default:"1"`
	Services int           `help:"Number of plain services." default:"1"`
	ListLag  time.Duration `help:"Delay until a change to the platform's list of VMs becomes visible." default:"1s"`
}

// addresses is the output of the command.
type addresses struct {
	Platform netip.AddrPort   `json:"platform"`
	Prefill  []netip.AddrPort `json:"prefill"`
	Decode   []netip.AddrPort `json:"decode"`
	Services []netip.AddrPort `json:"services"`
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Description("Run stand-ins for the platform, engines and services."))
	k.FatalIfErrorf(c.run())
}

func (c *command) run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var group serverGroup
	defer group.close()
	p := platform.New(platform.Options{ListLag: c.ListLag})
	defer p.Close()
	out := addresses{Platform: group.serve(p.Handler())}
	for range c.Prefill {
		out.Prefill = append(out.Prefill, group.engine(engine.Options{Role: "prefill", Model: c.Model, WeightStore: out.Platform}))
	}
	for range c.Decode {
		out.Decode = append(out.Decode, group.engine(engine.Options{Role: "decode", Model: c.Model, WeightStore: out.Platform}))
	}
	for range c.Services {
		out.Services = append(out.Services, group.serve(service.New(service.Options{}).Handler()))
	}
	if group.err != nil {
		return group.err
	}
	if err := json.NewEncoder(os.Stdout).Encode(out); err != nil {
		return err
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		stop()
	}()
	<-ctx.Done()
	return nil
}

// serverGroup starts servers and records the last error.
type serverGroup struct {
	closers []func()
	err     error
}

func (g *serverGroup) serve(h http.Handler) netip.AddrPort {
	s, err := standin.Serve(h)
	if err != nil {
		g.err = err
		return netip.AddrPort{}
	}
	g.closers = append(g.closers, s.Close)
	return s.Addr()
}

func (g *serverGroup) engine(o engine.Options) netip.AddrPort {
	e := engine.New(o)
	g.closers = append(g.closers, e.Close)
	return g.serve(e.Handler())
}

func (g *serverGroup) close() {
	for _, c := range g.closers {
		c()
	}
}
