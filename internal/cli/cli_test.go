package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmartide/fulmartide/internal/cli"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/keys"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/operator/command"
	"github.com/fulmartide/fulmartide/internal/operator/query"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/placement"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var self = membership.Member{
	VM:          ident.VM{Name: "vm-1", Incarnation: 36},
	DataCentre:  "lisboa-a",
	Region:      "pt-centro",
	PeerAddress: netip.MustParseAddrPort("127.0.0.1:7001"),
	State:       membership.Alive,
}

// fleet stands for the services behind the operator API.
type fleet struct {
	snap *configuration.Snapshot
	// behind is how far vm-2 lags; silent makes it give no answer.
	behind configuration.Version
	silent bool
	// withdrawal is what the key service reports, and later what it reports when asked again.
	withdrawal, later keys.Withdrawal
	keyErr            error
}

func (f *fleet) Current() *configuration.Snapshot { return f.snap }

func (f *fleet) Apply(_ context.Context, doc configuration.Document, ifVersion configuration.Version) (configuration.Version, error) {
	if f.snap != nil && f.snap.Version != ifVersion {
		return 0, fault.New(fault.Conflict, "read the present version", "another change came first")
	}
	f.snap = &configuration.Snapshot{Version: ifVersion + 1, Document: doc, Applied: f.snap.Applied}
	return f.snap.Version, nil
}

func (f *fleet) History(context.Context) ([]configuration.Revision, error) {
	return []configuration.Revision{{Base: 6, At: time.Unix(0, 0), By: "vm-2", Changed: 2, Objects: []string{"plans/gold", "plans/free"}}}, nil
}

func (f *fleet) Confirmations() []configuration.Confirmation {
	return []configuration.Confirmation{
		{DataCentre: "lisboa-a", VMs: []configuration.VMVersion{{VM: self.VM, Version: f.snap.Version, Answered: true}}},
		{DataCentre: "porto-a", VMs: []configuration.VMVersion{{VM: ident.VM{Name: "vm-2"}, Version: f.snap.Version - f.behind, Answered: !f.silent}}},
	}
}

func (f *fleet) Create(context.Context, string) (id, secret string, err error) {
	return "K1", "S3CRET", f.keyErr
}

func (f *fleet) Withdraw(context.Context, string) (keys.Withdrawal, error) {
	return f.withdrawal, f.keyErr
}
func (f *fleet) KeyConfirmations(string) keys.Withdrawal { return f.later }

type keyService struct{ *fleet }

func (k keyService) List(context.Context) ([]keys.Key, error) {
	return []keys.Key{{ID: "K1", Workspace: "banco"}, {ID: "K2", Workspace: "banco", Withdrawn: true}}, nil
}
func (k keyService) Confirmations(id string) keys.Withdrawal { return k.KeyConfirmations(id) }

func (f *fleet) View() *membership.View {
	return &membership.View{Self: self, Members: []membership.Member{self}}
}
func (f *fleet) ReportUnreachable(ident.VM) {}

func (f *fleet) Status() []limiter.ShareStatus {
	return []limiter.ShareStatus{{Workspace: "banco", DataCentre: "lisboa-a", Rate: 500, Burst: 900, Balance: 42}}
}

func (f *fleet) Summary() []placement.EndpointStatus {
	return []placement.EndpointStatus{{Endpoint: "d1", Role: "decode", Running: 19, Queued: 3, State: "known"}}
}

func (f *fleet) Explain(id string) ([]query.Event, bool) {
	if id != "r.vm-1.10.1" {
		return nil, false
	}
	return []query.Event{{At: time.Unix(0, 0), Stage: "placement", Message: "placed", Fields: map[string]string{"decode": "d1", "reason": "least wait"}}}, true
}

// start serves the operator API and gives its address.
func start(t *testing.T, f *fleet) string {
	t.Helper()
	transport := peer.New(peer.Options{Self: self.VM})
	t.Cleanup(transport.Close)
	mux := http.NewServeMux()
	mux.Handle("/operator/command/", command.NewHandler(command.Deps{Configuration: f, Keys: keyService{f}}))
	mux.Handle("/operator/query/", query.NewHandler(query.Deps{
		Self: self, Directory: f, Configuration: f, Keys: keyService{f}, Limiter: f, Placement: f, Explainer: f, Transport: transport,
	}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

const good = `
[data_centres.lisboa-a]
region = "pt-centro"

[models.m]
kv_bytes_per_token = 1000
prefill_tokens_per_second = 9000
gap_base_micros = 20000
keep_millis = 800
first_token_millis = 800
gap_millis = 57

[plans.gold]
models = ["m"]
tokens_per_second = 500
burst_tokens = 900

[workspaces.banco]
plan = "gold"

[endpoints.d1]
role = "decode"
data_centre = "lisboa-a"
address = "127.0.0.1:9001"
model = "m"
slots = 20
link_bytes_per_second = 1000000
`

func newFleet(t *testing.T) *fleet {
	t.Helper()
	var doc configuration.Document
	out := bytes.Buffer{}
	code := cli.Run(t.Context(), []string{"config", "check", "-"}, "v1", cli.Streams{In: strings.NewReader(good), Out: &out, Err: &out})
	if code != cli.ExitOK {
		t.Fatal(out.String())
	}
	doc = configuration.Normalize(configuration.Document{
		DataCentres: map[string]configuration.DataCentre{"lisboa-a": {Region: "pt-centro"}},
		Models: map[string]configuration.Model{"m": {
			KVBytesPerToken: 1000, PrefillTokensPerSecond: 9000, GapBaseMicros: 20000, KeepMillis: 800, FirstTokenMillis: 800, GapMillis: 57,
		}},
		Plans:      map[string]configuration.Plan{"gold": {Models: []string{"m"}, TokensPerSecond: 500, BurstTokens: 900}},
		Workspaces: map[string]configuration.Workspace{"banco": {Plan: "gold"}},
		Endpoints: map[string]configuration.Endpoint{"d1": {
			Role: configuration.RoleDecode, DataCentre: "lisboa-a", Address: "127.0.0.1:9001", Model: "m", Slots: 20, LinkBytesPerSecond: 1000000,
		}},
	})
	return &fleet{snap: &configuration.Snapshot{Version: 7, Document: doc, Applied: time.Unix(0, 0)}}
}

type outcome struct {
	code     int
	out, err string
}

func run(t *testing.T, stdin string, args ...string) outcome {
	t.Helper()
	var out, errs bytes.Buffer
	code := cli.Run(t.Context(), args, "v1", cli.Streams{In: strings.NewReader(stdin), Out: &out, Err: &errs})
	return outcome{code, out.String(), errs.String()}
}

// compact joins runs of spaces, so that a test does not depend on column widths.
func compact(s string) string { return strings.Join(strings.Fields(s), " ") }

const noWait = "--wait=0s"

func TestCommandsAndQueries(t *testing.T) {
	changed := strings.Replace(good, "tokens_per_second = 500", "tokens_per_second = 600", 1)
	whole := keys.Withdrawal{Confirmed: []string{"lisboa-a", "porto-a"}, Stored: true}
	part := keys.Withdrawal{Confirmed: []string{"lisboa-a"}, Unconfirmed: []string{"porto-a"}, Stored: true}
	notFound := fault.New(fault.NotFound, "take the id from the list of keys", "no key K9")
	for _, c := range []struct {
		name  string
		args  string
		stdin string
		fleet func(*fleet)
		code  int
		out   []string
		err   []string
	}{
		{name: "version", args: "version", out: []string{"v1"}},
		{name: "check", args: "config check -", stdin: good, out: []string{"-: no faults"}},
		{name: "check as JSON", args: "config check - -o json", stdin: good, out: []string{`{ "faults": [] }`}},
		{name: "no such file", args: "config check /no/such", code: 1, err: []string{"not_found: configuration file", "remedy: name a readable file"}},
		{name: "show", args: "config show", out: []string{"# version 7", "[plans.gold]", "tokens_per_second = 500"}},
		{name: "show as JSON", args: "config show -o json", out: []string{`"version": 7`, `"plans": { "gold"`}},
		{name: "no difference", args: "config diff -", stdin: good, out: []string{"against version 7: no changes"}},
		{
			name: "difference", args: "config diff -", stdin: changed + "[workspaces.horta]\nplan = \"gold\"\n",
			out: []string{"~ plans/gold tokens_per_second: 500 -> 600", `+ workspaces/horta`, `plan: "gold"`},
		},
		{name: "removal", args: "config diff -", stdin: strings.Replace(good, "[workspaces.banco]\nplan = \"gold\"", "", 1), out: []string{"- workspaces/banco"}},
		{name: "difference as JSON", args: "config diff - -o json", stdin: changed, out: []string{`"version": 7`, `"object": "plans/gold"`}},
		{name: "apply", args: "config apply -", stdin: changed, out: []string{"version 8 accepted, 1 objects changed", "lisboa-a 1 of 1 VMs confirmed", "porto-a 1 of 1 VMs confirmed"}},
		{name: "apply as JSON", args: "config apply - -o json", stdin: changed, out: []string{`"version": 8`, `"confirmed": true`}},
		{name: "apply without wait", args: "config apply - " + noWait, stdin: changed, out: []string{"version 8 accepted"}},
		{name: "apply no change", args: "config apply -", stdin: good, out: []string{"version 7: nothing to change"}},
		{name: "apply to its version", args: "config apply - --if-version 7", stdin: changed, out: []string{"version 8 accepted"}},
		{
			name: "apply over another change", args: "config apply - --if-version 6", stdin: changed, code: cli.ExitConflict,
			err: []string{"conflict: another change came first", "remedy: read the present version"},
		},
		{
			name: "apply with a VM behind", args: "config apply - --wait 300ms", stdin: changed, fleet: func(f *fleet) { f.behind = 1 }, code: cli.ExitPartial,
			out: []string{"version 8 accepted", "lisboa-a 1 of 1", "porto-a 0 of 1 VMs confirmed, vm-2 is at 7"},
		},
		{
			name: "apply with a data centre cut off", args: "config apply - --wait 300ms", stdin: changed, fleet: func(f *fleet) { f.silent = true }, code: cli.ExitPartial,
			out: []string{"porto-a 0 of 1 VMs confirmed, vm-2 did not answer"},
		},
		{
			name: "apply with a data centre unheard of", args: "config apply - --wait 300ms", stdin: changed + "[data_centres.coimbra-a]\nregion = \"pt-centro\"\n", code: cli.ExitPartial,
			out: []string{"coimbra-a not confirmed: no VM of it is known"},
		},
		{
			name: "withdraw with a data centre unheard of", args: "key withdraw K1 --wait 300ms", code: cli.ExitPartial,
			fleet: func(f *fleet) { f.withdrawal = keys.Withdrawal{Stored: true}; f.later = f.withdrawal }, out: []string{"not confirmed lisboa-a"},
		},
		{name: "apply a bad file", args: "config apply -", stdin: "[plans.gold]\nweight = -1\n", code: 1, err: []string{"-:2: plans/gold.weight: below 1"}},
		{name: "history", args: "config history", out: []string{"6 1970-01-01T00:00:00Z vm-2 2 plans/gold, plans/free"}},
		{name: "history as JSON", args: "config history -o json", out: []string{`"by": "vm-2"`}},
		{name: "give", args: "key give banco", out: []string{"key id K1 workspace banco secret S3CRET"}, err: []string{"not shown again"}},
		{name: "give as JSON", args: "key give banco -o json", out: []string{`"secret": "S3CRET"`}},
		{name: "withdraw", args: "key withdraw K1", fleet: func(f *fleet) { f.withdrawal = whole }, out: []string{"confirmed lisboa-a, porto-a not confirmed none stored by the platform yes"}},
		{
			name: "withdraw with a data centre cut off", args: "key withdraw K1 --wait 300ms", fleet: func(f *fleet) { f.withdrawal, f.later = part, part }, code: cli.ExitPartial,
			out: []string{"confirmed lisboa-a not confirmed porto-a"}, err: []string{"not confirmed everywhere", "remedy: repeat it later"},
		},
		{name: "withdraw confirmed late", args: "key withdraw K1", fleet: func(f *fleet) { f.withdrawal, f.later = part, whole }, out: []string{"not confirmed none"}},
		{name: "withdraw as JSON", args: "key withdraw K1 -o json", fleet: func(f *fleet) { f.withdrawal = whole }, out: []string{`"key_id": "K1"`, `"stored": true`}},
		{name: "withdraw unknown", args: "key withdraw K9", fleet: func(f *fleet) { f.keyErr = notFound }, code: 1, err: []string{"not_found: no key K9", "remedy: take the id"}},
		{name: "list keys", args: "key list", out: []string{"K1 banco no", "K2 banco yes"}},
		{name: "list keys as JSON", args: "key list -o json", out: []string{`"withdrawn": true`}},
		{name: "status", args: "status", out: []string{"vm vm-1/10", "configuration 7", "vm-1/10 lisboa-a pt-centro 127.0.0.1:7001 alive", "banco lisboa-a 500 900 42 0"}},
		{name: "status as JSON", args: "status -o json", out: []string{`"configuration": 7`, `"balance": 42`}},
		{name: "list endpoints", args: "endpoint list", out: []string{"d1 decode lisboa-a 127.0.0.1:9001 m 20 19 3 known"}},
		{
			name: "list a leaving endpoint that its owner has not heard of", args: "endpoint list", out: []string{"19 3 leaving"},
			fleet: func(f *fleet) {
				e := f.snap.Document.Endpoints["d1"]
				e.Leaving = true
				f.snap.Document.Endpoints["d1"] = e
			},
		},
		{name: "list endpoints as JSON", args: "endpoint list -o json", out: []string{`"name": "d1"`, `"running": 19`}},
		{name: "drain", args: "endpoint drain d1", out: []string{"endpoint d1 leaving yes version 8 confirmed by all VMs yes"}},
		{name: "drain as JSON", args: "endpoint drain d1 -o json " + noWait, out: []string{`"changed": true`}},
		{name: "drain unconfirmed", args: "endpoint drain d1 --wait 300ms", fleet: func(f *fleet) { f.silent = true }, code: cli.ExitPartial, out: []string{"confirmed by all VMs no"}},
		{name: "drain unknown", args: "endpoint drain d9", code: 1, err: []string{`not_found: no endpoint "d9" in version 7`}},
		{name: "undo an absent drain", args: "endpoint drain d1 --undo", out: []string{"leaving no version 7"}},
		{name: "explain", args: "explain r.vm-1.10.1", out: []string{`placement placed decode=d1 reason="least wait"`}},
		{name: "explain as JSON", args: "explain r.vm-1.10.1 -o json", out: []string{`"stage": "placement"`}},
		{name: "explain a forgotten one", args: "explain r.vm-1.10.2", code: 1, err: []string{"not_found: no steps are kept", "search the log of VM vm-1"}},
		{name: "explain one of a dead process", args: "explain r.vm-1.9.1", code: 1, err: []string{"not_found: the process that served"}},
		{name: "explain one of a VM unheard of", args: "explain r.vm-9.9.1", code: 1, err: []string{"not_found: this VM knows no VM vm-9"}},
		{name: "explain nonsense", args: "explain nonsense", code: 1, err: []string{"malformed", "copy the request id"}},
		{name: "unknown command", args: "fly", code: cli.ExitUsage, err: []string{"usage", "remedy: run fulmartide --help"}},
		{name: "unknown output", args: "status -o xml", code: cli.ExitUsage, err: []string{"usage"}},
		{name: "help", args: "--help", out: []string{"Usage: fulmartide"}},
		{name: "a name for an address", args: "status --vm localhost:80", code: cli.ExitUsage, err: []string{`--vm "localhost:80" is not IP:port`, "names are not looked up"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			if c.fleet != nil {
				c.fleet(f)
			}
			t.Setenv("FULMARTIDE_VM", start(t, f))
			got := run(t, c.stdin, strings.Fields(c.args)...)
			if got.code != c.code {
				t.Errorf("exit code %d, want %d", got.code, c.code)
			}
			contains(t, "stdout", got.out, c.out)
			contains(t, "stderr", got.err, c.err)
			if c.code == cli.ExitOK && strings.Contains(c.args, "json") && !json.Valid([]byte(got.out)) {
				t.Errorf("not JSON: %s", got.out)
			}
			if t.Failed() {
				t.Logf("stdout:\n%sstderr:\n%s", got.out, got.err)
			}
		})
	}
}

func contains(t *testing.T, what, text string, parts []string) {
	t.Helper()
	for _, p := range parts {
		if !strings.Contains(compact(text), compact(p)) {
			t.Errorf("%s lacks %q", what, p)
		}
	}
}

func TestFaultsOfAFileAreListedWithTheirLines(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"syntax", "[plans.gold\n", []string{"f.toml:1: "}},
		{"type", "[plans.gold]\nburst_tokens = \"many\"\n", []string{"f.toml:2: plans.gold.burst_tokens: "}},
		{"unknown keys", "[plans.gold]\nbrust = 1\n[plan.x]\na = 1\n", []string{"f.toml:2: plans.gold.brust: unknown key", "f.toml:3: plan.x: unknown key"}},
		{"rules", "[workspaces.w]\n\nplan = \"gone\"\n[data_centres]\n  [data_centres.a]\n  share_weight = -1\n", []string{
			"f.toml:3: workspaces/w.plan: no plan \"gone\"", "f.toml:5: data_centres/a.region: missing", "f.toml:6: data_centres/a.share_weight: below 1", "3 faults",
		}},
		{"dotted and inline", "plans.a.weight = -1\nworkspaces = {w = {plan = \"b\"}}\n", []string{"f.toml:1: plans/a.weight", "f.toml:2: workspaces/w.plan"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			t.Chdir(dir)
			if err := os.WriteFile(filepath.Join(dir, "f.toml"), []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			got := run(t, "", "config", "check", "f.toml")
			if got.code != cli.ExitFault {
				t.Errorf("exit code %d", got.code)
			}
			contains(t, "stderr", got.err, c.want)
			if t.Failed() {
				t.Log(got.err)
			}
		})
	}
}

// What show prints is a file that changes nothing.
func TestShownConfigurationCanBeAppliedAgain(t *testing.T) {
	t.Setenv("FULMARTIDE_VM", start(t, newFleet(t)))
	shown := run(t, "", "config", "show")
	if got := run(t, shown.out, "config", "diff", "-"); !strings.Contains(got.out, "no changes") {
		t.Fatal(got.out, got.err)
	}
}

func closedPort(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func TestVMsAreTriedInOrder(t *testing.T) {
	live := start(t, newFleet(t))
	if got := run(t, "", "--vm", closedPort(t), "--vm", live, "key", "give", "banco"); got.code != cli.ExitOK {
		t.Fatal(got)
	}
	if got := run(t, "", "--vm", closedPort(t), "status"); got.code != cli.ExitUnreachable || !strings.Contains(got.err, "unavailable") {
		t.Fatal(got)
	}
	if got := run(t, "", "status"); got.code != cli.ExitUsage || !strings.Contains(got.err, "FULMARTIDE_VM") {
		t.Fatal(got)
	}
}

// A command that may have reached a VM is not tried at another; a query is.
func TestLostAnswer(t *testing.T) {
	ended := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(ended.Close)
	args := []string{"--vm", ended.Listener.Addr().String(), "--vm", start(t, newFleet(t))}
	if got := run(t, "", append(args, "status")...); got.code != cli.ExitOK {
		t.Fatal(got)
	}
	got := run(t, "", append(args, "key", "give", "banco")...)
	if got.code != cli.ExitFault || !strings.Contains(got.err, "outcome_unknown") || !strings.Contains(got.err, "run: unknown") {
		t.Fatal(got)
	}
}
