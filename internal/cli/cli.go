// Package cli is the logic of the command-line tool: it parses arguments, calls the operator
// API, and prints text or JSON. The program in cmd/fulmartide only starts it.
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
	// ExitOK: done.
	ExitOK = 0
	// ExitFault: refused or failed; nothing tells more than the message.
	ExitFault = 1
	// ExitUsage: the arguments are wrong.
	ExitUsage = 2
	// ExitConflict: another change came first.
	ExitConflict = 3
	// ExitUnreachable: no VM answered.
	ExitUnreachable = 4
	// ExitPartial: done, but not every data centre has confirmed it.
	ExitPartial = 5
)

// arguments is the tool's command line.
type arguments struct {
	VM      []string      `help:"Operator address (IP:port) of a VM. Repeat it to name more; they are tried in order." env:"FULMARTIDE_VM" placeholder:"IP:PORT"`
	Output  string        `help:"Form of the output: text or json." enum:"text,json" default:"text" short:"o"`
	Timeout time.Duration `help:"Longest wait for the answer of one VM." default:"15s"`

	Config   configCommands   `cmd:"" help:"Check, show, change the configuration."`
	Key      keyCommands      `cmd:"" help:"Give, withdraw and list keys."`
	Status   statusCommand    `cmd:"" help:"Show what a VM knows of the fleet."`
	Endpoint endpointCommands `cmd:"" help:"List endpoints and drain one."`
	Explain  explainCommand   `cmd:"" help:"Show the steps of one request."`
	Version  versionCommand   `cmd:"" help:"Print the tool's version."`
}

// Streams are the tool's input and outputs.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// session is what a command runs with.
type session struct {
	Streams
	ctx     context.Context
	client  *api.Client
	json    bool
	version string
}

// exit ends a command with a code and nothing more to say.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// Run runs the tool with its arguments, without the program's name, and gives the exit code.
func Run(ctx context.Context, args []string, version string, s Streams) int {
	var a arguments
	code := -1
	parser, err := kong.New(&a,
		kong.Name("fulmartide"),
		kong.Description("Operator's tool of the fulmartide router."),
		kong.Writers(s.Out, s.Err),
		kong.Exit(func(c int) { code = c }),
	)
	if err != nil {
		return report(s.Err, err)
	}
	k, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		return usage(s.Err, err)
	}
	addresses, err := parseAddresses(a.VM)
	if err != nil {
		return usage(s.Err, err)
	}
	client := api.NewClient(addresses, a.Timeout)
	defer client.Close()
	return report(s.Err, k.Run(&session{Streams: s, ctx: ctx, client: client, json: a.Output == "json", version: version}))
}

func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, t := range texts {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return nil, fault.New(fault.Malformed, "write an IP number and a port, such as 10.0.0.7:9090; names are not looked up", fmt.Sprintf("--vm %q is not IP:port", t))
		}
		out = append(out, a)
	}
	return out, nil
}

func usage(w io.Writer, err error) int {
	d := fault.DetailOf(err)
	if d.Kind == fault.Internal {
		d.Remedy = "run fulmartide --help"
	}
	fmt.Fprintf(w, "fulmartide: usage: %s\nremedy: %s\n", d.Message, d.Remedy)
	return ExitUsage
}

// report prints an error and gives its exit code.
func report(w io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	var code exit
	if errors.As(err, &code) {
		return int(code)
	}
	d := fault.DetailOf(err)
	fmt.Fprintf(w, "fulmartide: %s: %s\nremedy: %s\n", d.Kind, d.Message, d.Remedy)
	if d.Execution == fault.ExecutionUnknown {
		fmt.Fprintln(w, "run: unknown")
	}
	return codeOf(err, d.Kind)
}

func codeOf(err error, kind fault.Kind) int {
	switch {
	case errors.Is(err, api.ErrUnreachable):
		return ExitUnreachable
	case kind == fault.Conflict:
		return ExitConflict
	}
	return ExitFault
}

// need refuses a command that calls a VM when none is named.
func (s *session) need() error {
	if s.client.Addresses() > 0 {
		return nil
	}
	fmt.Fprintf(s.Err, "fulmartide: usage: no VM is named\nremedy: give --vm IP:PORT or set FULMARTIDE_VM\n")
	return exit(ExitUsage)
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(s *session) error {
	return s.print(struct {
		Version string `json:"version"`
	}{s.version}, func(w io.Writer) { fmt.Fprintln(w, s.version) })
}
