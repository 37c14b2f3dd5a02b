// Package cli implements the command-line tool: it parses arguments, calls the operator API, and
// prints text or JSON. cmd/fulmartide only calls Run.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/alecthomas/kong"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/operator/api"
)

// Exit codes.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitError: the command failed for a reason without an exit code of its own.
	ExitError = 1
	// ExitUsage: the arguments are invalid.
	ExitUsage = 2
	// ExitConflict: another change was accepted first.
	ExitConflict = 3
	// ExitUnreachable: no VM responded.
	ExitUnreachable = 4
	// ExitPartial: the command took effect, but not all VMs or data centres responded or confirmed it.
	ExitPartial = 5
)

// arguments is the grammar of the command line.
type arguments struct {
	VM      []string      `help:"Operator address (IP:port) of a VM. Repeat the flag to name several VMs, which are tried in order." env:"FULMARTIDE_VM" placeholder:"IP:PORT"`
	Output  string        `help:"Output format: text or json." enum:"text,json" default:"text" short:"o"`
	Timeout time.Duration `help:"Maximum time to wait for the response of one VM." default:"15s"`

	Config   configCommands   `cmd:"" help:"Check, show and change the configuration."`
	Key      keyCommands      `cmd:"" help:"Create, withdraw and list keys."`
	Status   statusCommand    `cmd:"" help:"Show one VM's view of the fleet."`
	Endpoint endpointCommands `cmd:"" help:"List and drain endpoints."`
	Explain  explainCommand   `cmd:"" help:"Show the trace of a request, or where a call would be placed now."`
	Version  versionCommand   `cmd:"" help:"Print the tool's version."`
}

// Streams contains the tool's standard streams.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// session is the state passed to each command's Run method.
type session struct {
	Streams
	ctx    context.Context
	client *api.Client
	// vms are the addresses of the client, timeout its longest wait for one of them.
	vms     []netip.AddrPort
	timeout time.Duration
	json    bool
	version string
}

// exitCode is an error that sets the exit code without printing a message.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// Run executes the tool and returns its exit code. args excludes the program's name.
func Run(ctx context.Context, args []string, version string, s Streams) int {
	var a arguments
	code := -1
	parser, err := kong.New(&a,
		kong.Name("fulmartide"),
		kong.Description("Operator tool of the fulmartide router."),
		kong.Writers(s.Out, s.Err),
		kong.Exit(func(c int) { code = c }),
	)
	if err != nil {
		return reportError(s.Err, err)
	}
	k, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		return reportUsage(s.Err, err)
	}
	addresses, err := parseAddresses(a.VM)
	if err != nil {
		return reportUsage(s.Err, err)
	}
	client := api.NewClient(addresses, a.Timeout)
	defer client.Close()
	return reportError(s.Err, k.Run(&session{Streams: s, ctx: ctx, client: client, vms: addresses, timeout: a.Timeout, json: a.Output == "json", version: version}))
}

func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, t := range texts {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return nil, fault.New(fault.Malformed, "write an IP address and a port, such as 10.0.0.7:9090; names are not looked up",
				fmt.Sprintf("--vm %q is not IP:port", t))
		}
		out = append(out, a)
	}
	return out, nil
}

func reportUsage(w io.Writer, err error) int {
	d := fault.DetailOf(err)
	if d.Kind == fault.Internal {
		d.Remedy = "run fulmartide --help"
	}
	fmt.Fprintf(w, "fulmartide: usage: %s\nremedy: %s\n", d.Message, d.Remedy)
	return ExitUsage
}

// reportError prints err, if it is not nil, and returns the exit code.
func reportError(w io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	var code exitCode
	if errors.As(err, &code) {
		return int(code)
	}
	d := fault.DetailOf(err)
	fmt.Fprintf(w, "fulmartide: %s: %s\nremedy: %s\n", d.Kind, d.Message, d.Remedy)
	if d.Execution == fault.ExecutionUnknown {
		fmt.Fprintln(w, "run: unknown")
	}
	return exitCodeFor(err, d.Kind)
}

func exitCodeFor(err error, kind fault.Kind) int {
	switch {
	case errors.Is(err, api.ErrUnreachable):
		return ExitUnreachable
	case kind == fault.Conflict:
		return ExitConflict
	}
	return ExitError
}

// requireVM prints a usage error and returns it if no VM address is set.
func (s *session) requireVM() error {
	if s.client.AddressCount() > 0 {
		return nil
	}
	fmt.Fprintf(s.Err, "fulmartide: usage: no VM address is set\nremedy: pass --vm IP:PORT or set FULMARTIDE_VM\n")
	return exitCode(ExitUsage)
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(s *session) error {
	return s.print(struct {
		Version string `json:"version"`
	}{s.version}, func(w io.Writer) { fmt.Fprintln(w, s.version) })
}
