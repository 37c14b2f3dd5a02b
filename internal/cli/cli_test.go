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

// fakeFleet implements the services behind the operator API.
type fakeFleet struct {
	snap *configuration.Snapshot
	// lag is the number of versions by which vm-2 is behind; unresponsive makes it not respond.
	lag          configuration.Version
	unresponsive bool
	// withdrawal is the result of Withdraw, later that of subsequent Confirmations calls.
	withdrawal, later keys.Withdrawal
	keyErr            error
}

func (f *fakeFleet) Current() *configuration.Snapshot { return f.snap }

func (f *fakeFleet) Apply(_ context.Context, doc configuration.Document, ifVersion configuration.Version) (configuration.Version, error) {
	if f.snap != nil && f.snap.Version != ifVersion {
		return 0, fault.New(fault.Conflict, "read the present version", "another change came first")
	}
	f.snap = &configuration.Snapshot{Version: ifVersion + 1, Document: doc, AdoptedAt: f.snap.AdoptedAt}
	return f.snap.Version, nil
}

func (f *fakeFleet) History(context.Context) ([]configuration.Revision, error) {
	return []configuration.Revision{{Base: 6, AppliedAt: time.Unix(0, 0), AppliedBy: "vm-2", ChangedCount: 2, Objects: []string{"plans/gold", "plans/free"}}}, nil
}

func (f *fakeFleet) Confirmations() []configuration.Confirmation {
	return []configuration.Confirmation{
		{DataCentre: "lisboa-a", VMs: []configuration.VMVersion{{VM: self.VM, Version: f.snap.Version, Answered: true}}},
		{DataCentre: "porto-a", VMs: []configuration.VMVersion{{VM: ident.VM{Name: "vm-2"}, Version: f.snap.Version - f.lag, Answered: !f.unresponsive}}},
	}
}

func (f *fakeFleet) Create(context.Context, string) (id, secret string, err error) {
	return "K1", "S3CRET", f.keyErr
}

func (f *fakeFleet) Withdraw(context.Context, string) (keys.Withdrawal, error) {
	return f.withdrawal, f.keyErr
}
func (f *fakeFleet) keyConfirmations(string) keys.Withdrawal { return f.later }

type fakeKeys struct{ *fakeFleet }

func (k fakeKeys) List(context.Context) ([]keys.Key, error) {
	return []keys.Key{{ID: "K1", Workspace: "banco"}, {ID: "K2", Workspace: "banco", Withdrawn: true}}, nil
}
func (k fakeKeys) Confirmations(id string) keys.Withdrawal { return k.keyConfirmations(id) }

func (f *fakeFleet) View() *membership.View {
	return &membership.View{Self: self, Members: []membership.Member{self}}
}
func (f *fakeFleet) ReportUnreachable(ident.VM) {}

func (f *fakeFleet) Status() []limiter.ShareStatus {
	return []limiter.ShareStatus{{Workspace: "banco", DataCentre: "lisboa-a", Rate: 500, Burst: 900, Balance: 42}}
}

func (f *fakeFleet) Summary() []placement.EndpointStatus {
	return []placement.EndpointStatus{{Endpoint: "d1", Role: "decode", Running: 19, Queued: 3, State: "known"}}
}

func (f *fakeFleet) Trace(id string) ([]query.Event, bool) {
	if id != "r.vm-1.10.1" {
		return nil, false
	}
	return []query.Event{{At: time.Unix(0, 0), Stage: "placement", Message: "placed", Fields: map[string]string{"decode": "d1", "reason": "least wait"}}}, true
}

// startOperatorAPI serves the operator API and returns its address.
func startOperatorAPI(t *testing.T, f *fakeFleet) string {
	t.Helper()
	transport := peer.New(peer.Options{Self: self.VM})
	t.Cleanup(transport.Close)
	mux := http.NewServeMux()
	mux.Handle("/operator/command/", command.NewHandler(command.Deps{Configuration: f, Keys: fakeKeys{f}}))
	mux.Handle("/operator/query/", query.NewHandler(query.Deps{
		Self: self, Directory: f, Configuration: f, Keys: fakeKeys{f}, Limiter: f, Placement: f, Traces: f, Transport: transport,
	}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

const validConfiguration = `
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

func newFleet(t *testing.T) *fakeFleet {
	t.Helper()
	var doc configuration.Document
	out := bytes.Buffer{}
	code := cli.Run(t.Context(), []string{"config", "check", "-"}, "v1", cli.Streams{In: strings.NewReader(validConfiguration), Out: &out, Err: &out})
	if code != cli.ExitOK {
		t.Fatal(out.String())
	}
	doc = configuration.Normalize(configuration.Document{
		DataCentres: map[string]configuration.DataCentre{"lisboa-a": {Region: "pt-centro"}},
		Models: map[string]configuration.Model{"m": {
			KVBytesPerToken: 1000, PrefillTokensPerSecond: 9000, GapBaseMicros: 20000, PrefillTTLMillis: 800, FirstTokenMillis: 800, GapMillis: 57,
		}},
		Plans:      map[string]configuration.Plan{"gold": {Models: []string{"m"}, TokensPerSecond: 500, BurstTokens: 900}},
		Workspaces: map[string]configuration.Workspace{"banco": {Plan: "gold"}},
		Endpoints: map[string]configuration.Endpoint{"d1": {
			Role: configuration.RoleDecode, DataCentre: "lisboa-a", Address: "127.0.0.1:9001", Model: "m", Slots: 20, LinkBytesPerSecond: 1000000,
		}},
	})
	return &fakeFleet{snap: &configuration.Snapshot{Version: 7, Document: doc, AdoptedAt: time.Unix(0, 0)}}
}

type runResult struct {
	code     int
	out, err string
}

func run(t *testing.T, stdin string, args ...string) runResult {
	t.Helper()
	var out, errs bytes.Buffer
	code := cli.Run(t.Context(), args, "v1", cli.Streams{In: strings.NewReader(stdin), Out: &out, Err: &errs})
	return runResult{code, out.String(), errs.String()}
}

// collapseSpaces joins runs of spaces, so that a test does not depend on column widths.
func collapseSpaces(s string) string { return strings.Join(strings.Fields(s), " ") }

const noWait = "--wait=0s"

func TestCommandsAndQueries(t *testing.T) {
	changed := strings.Replace(validConfiguration, "tokens_per_second = 500", "tokens_per_second = 600", 1)
	complete := keys.Withdrawal{Confirmed: []string{"lisboa-a", "porto-a"}, Stored: true}
	partial := keys.Withdrawal{Confirmed: []string{"lisboa-a"}, Unconfirmed: []string{"porto-a"}, Stored: true}
	notFound := fault.New(fault.NotFound, "take the id from the list of keys", "no key K9")
	for _, c := range []struct {
		name  string
		args  string
		stdin string
		fleet func(*fakeFleet)
		code  int
		out   []string
		err   []string
	}{
		{name: "version", args: "version", out: []string{"v1"}},
		{name: "check", args: "config check -", stdin: validConfiguration, out: []string{"-: no faults"}},
		{name: "check as JSON", args: "config check - -o json", stdin: validConfiguration, out: []string{`{ "faults": [] }`}},
		{name: "no such file", args: "config check /no/such", code: 1, err: []string{"not_found: configuration file", "remedy: name a readable file"}},
		{name: "show", args: "config show", out: []string{"# version 7", "[plans.gold]", "tokens_per_second = 500"}},
		{name: "show as JSON", args: "config show -o json", out: []string{`"version": 7`, `"plans": { "gold"`}},
		{name: "no difference", args: "config diff -", stdin: validConfiguration, out: []string{"against version 7: no changes"}},
		{
			name: "difference", args: "config diff -", stdin: changed + "[workspaces.horta]\nplan = \"gold\"\n",
			out: []string{"~ plans/gold tokens_per_second: 500 -> 600", `+ workspaces/horta`, `plan: "gold"`},
		},
		{name: "removal", args: "config diff -", stdin: strings.Replace(validConfiguration, "[workspaces.banco]\nplan = \"gold\"", "", 1), out: []string{"- workspaces/banco"}},
		{name: "difference as JSON", args: "config diff - -o json", stdin: changed, out: []string{`"version": 7`, `"object": "plans/gold"`}},
		{name: "apply", args: "config apply -", stdin: changed, out: []string{"version 8 accepted, 1 objects changed", "lisboa-a 1 of 1 VMs confirmed", "porto-a 1 of 1 VMs confirmed"}},
		{name: "apply as JSON", args: "config apply - -o json", stdin: changed, out: []string{`"version": 8`, `"confirmed": true`}},
		{name: "apply without wait", args: "config apply - " + noWait, stdin: changed, out: []string{"version 8 accepted"}},
		{name: "apply no change", args: "config apply -", stdin: validConfiguration, out: []string{"version 7: nothing to change"}},
		{name: "apply with current version", args: "config apply - --if-version 7", stdin: changed, out: []string{"version 8 accepted"}},
		{
			name: "apply with outdated version", args: "config apply - --if-version 6", stdin: changed, code: cli.ExitConflict,
			err: []string{"conflict: another change came first", "remedy: read the present version"},
		},
		{
			name: "apply with a lagging VM", args: "config apply - --wait 300ms", stdin: changed, fleet: func(f *fakeFleet) { f.lag = 1 }, code: cli.ExitPartial,
			out: []string{"version 8 accepted", "lisboa-a 1 of 1", "porto-a 0 of 1 VMs confirmed, vm-2 is at 7"},
		},
		{
			name: "apply with an unresponsive data centre", args: "config apply - --wait 300ms", stdin: changed, fleet: func(f *fakeFleet) { f.unresponsive = true }, code: cli.ExitPartial,
			out: []string{"porto-a 0 of 1 VMs confirmed, vm-2 did not answer"},
		},
		{
			name: "apply with a data centre without VMs", args: "config apply - --wait 300ms", stdin: changed + "[data_centres.coimbra-a]\nregion = \"pt-centro\"\n", code: cli.ExitPartial,
			out: []string{"coimbra-a not confirmed: no VM of this data centre is known"},
		},
		{
			name: "withdraw with a data centre without VMs", args: "key withdraw K1 --wait 300ms", code: cli.ExitPartial,
			fleet: func(f *fakeFleet) { f.withdrawal = keys.Withdrawal{Stored: true}; f.later = f.withdrawal }, out: []string{"not confirmed lisboa-a"},
		},
		{name: "apply an invalid file", args: "config apply -", stdin: "[plans.gold]\nweight = -1\n", code: 1, err: []string{"-:2: plans/gold.weight: must be at least 1"}},
		{name: "history", args: "config history", out: []string{"6 1970-01-01T00:00:00Z vm-2 2 plans/gold, plans/free"}},
		{name: "history as JSON", args: "config history -o json", out: []string{`"by": "vm-2"`}},
		{name: "give", args: "key give banco", out: []string{"key id K1 workspace banco secret S3CRET"}, err: []string{"not shown again"}},
		{name: "give as JSON", args: "key give banco -o json", out: []string{`"secret": "S3CRET"`}},
		{name: "withdraw", args: "key withdraw K1", fleet: func(f *fakeFleet) { f.withdrawal = complete }, out: []string{"confirmed lisboa-a, porto-a not confirmed none stored by the platform yes"}},
		{
			name: "withdraw with an unresponsive data centre", args: "key withdraw K1 --wait 300ms", fleet: func(f *fakeFleet) { f.withdrawal, f.later = partial, partial }, code: cli.ExitPartial,
			out: []string{"confirmed lisboa-a not confirmed porto-a"}, err: []string{"not confirmed everywhere", "remedy: repeat key withdraw later"},
		},
		{name: "withdraw confirmed late", args: "key withdraw K1", fleet: func(f *fakeFleet) { f.withdrawal, f.later = partial, complete }, out: []string{"not confirmed none"}},
		{name: "withdraw as JSON", args: "key withdraw K1 -o json", fleet: func(f *fakeFleet) { f.withdrawal = complete }, out: []string{`"key_id": "K1"`, `"stored": true`}},
		{name: "withdraw an unknown key", args: "key withdraw K9", fleet: func(f *fakeFleet) { f.keyErr = notFound }, code: 1, err: []string{"not_found: no key K9", "remedy: take the id"}},
		{name: "list keys", args: "key list", out: []string{"K1 banco no", "K2 banco yes"}},
		{name: "list keys as JSON", args: "key list -o json", out: []string{`"withdrawn": true`}},
		{name: "status", args: "status", out: []string{"vm vm-1/10", "configuration 7", "vm-1/10 lisboa-a pt-centro 127.0.0.1:7001 alive", "banco lisboa-a 500 900 42 0"}},
		{name: "status as JSON", args: "status -o json", out: []string{`"configuration": 7`, `"balance": 42`}},
		{name: "list endpoints", args: "endpoint list", out: []string{"d1 decode lisboa-a 127.0.0.1:9001 m 20 19 3 known"}},
		{
			name: "list a leaving endpoint whose cell owner has an older version", args: "endpoint list", out: []string{"19 3 leaving"},
			fleet: func(f *fakeFleet) {
				e := f.snap.Document.Endpoints["d1"]
				e.Leaving = true
				f.snap.Document.Endpoints["d1"] = e
			},
		},
		{name: "list endpoints as JSON", args: "endpoint list -o json", out: []string{`"name": "d1"`, `"running": 19`}},
		{name: "drain", args: "endpoint drain d1", out: []string{"endpoint d1 leaving yes version 8 confirmed by all VMs yes"}},
		{name: "drain as JSON", args: "endpoint drain d1 -o json " + noWait, out: []string{`"changed": true`}},
		{name: "drain unconfirmed", args: "endpoint drain d1 --wait 300ms", fleet: func(f *fakeFleet) { f.unresponsive = true }, code: cli.ExitPartial, out: []string{"confirmed by all VMs no"}},
		{name: "drain an unknown endpoint", args: "endpoint drain d9", code: 1, err: []string{`not_found: no endpoint "d9" in version 7`}},
		{name: "undo the drain of an endpoint that is not leaving", args: "endpoint drain d1 --undo", out: []string{"leaving no version 7"}},
		{name: "explain", args: "explain r.vm-1.10.1", out: []string{`placement placed decode=d1 reason="least wait"`}},
		{name: "explain as JSON", args: "explain r.vm-1.10.1 -o json", out: []string{`"stage": "placement"`}},
		{name: "explain a request without retained trace", args: "explain r.vm-1.10.2", code: 1, err: []string{"not_found: no trace is available for request r.vm-1.10.2", "search the log of VM vm-1"}},
		{name: "explain a request of an earlier incarnation", args: "explain r.vm-1.9.1", code: 1, err: []string{"not_found: the process that served"}},
		{name: "explain a request of an unknown VM", args: "explain r.vm-9.9.1", code: 1, err: []string{"not_found: unknown VM vm-9"}},
		{name: "explain a malformed id", args: "explain nonsense", code: 1, err: []string{"malformed", "copy the request id"}},
		{name: "unknown command", args: "fly", code: cli.ExitUsage, err: []string{"usage", "remedy: run fulmartide --help"}},
		{name: "unknown output", args: "status -o xml", code: cli.ExitUsage, err: []string{"usage"}},
		{name: "help", args: "--help", out: []string{"Usage: fulmartide"}},
		{name: "host name as address", args: "status --vm localhost:80", code: cli.ExitUsage, err: []string{`--vm "localhost:80" is not IP:port`, "names are not looked up"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			if c.fleet != nil {
				c.fleet(f)
			}
			t.Setenv("FULMARTIDE_VM", startOperatorAPI(t, f))
			got := run(t, c.stdin, strings.Fields(c.args)...)
			if got.code != c.code {
				t.Errorf("exit code %d, want %d", got.code, c.code)
			}
			expectContains(t, "stdout", got.out, c.out)
			expectContains(t, "stderr", got.err, c.err)
			if c.code == cli.ExitOK && strings.Contains(c.args, "json") && !json.Valid([]byte(got.out)) {
				t.Errorf("not JSON: %s", got.out)
			}
			if t.Failed() {
				t.Logf("stdout:\n%sstderr:\n%s", got.out, got.err)
			}
		})
	}
}

func expectContains(t *testing.T, what, text string, parts []string) {
	t.Helper()
	for _, p := range parts {
		if !strings.Contains(collapseSpaces(text), collapseSpaces(p)) {
			t.Errorf("%s does not contain %q", what, p)
		}
	}
}

func TestCheckListsErrorsWithLineNumbers(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"syntax", "[plans.gold\n", []string{"f.toml:1: "}},
		{"type", "[plans.gold]\nburst_tokens = \"many\"\n", []string{"f.toml:2: plans.gold.burst_tokens: "}},
		{"unknown keys", "[plans.gold]\nbrust = 1\n[plan.x]\na = 1\n", []string{"f.toml:2: plans.gold.brust: unknown key", "f.toml:3: plan.x: unknown key"}},
		{"rules", "[workspaces.w]\n\nplan = \"gone\"\n[data_centres]\n  [data_centres.a]\n  share_weight = -1\n", []string{
			"f.toml:3: workspaces/w.plan: no plan \"gone\"", "f.toml:5: data_centres/a.region: missing", "f.toml:6: data_centres/a.share_weight: must be at least 1", "3 faults",
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
			if got.code != cli.ExitError {
				t.Errorf("exit code %d", got.code)
			}
			expectContains(t, "stderr", got.err, c.want)
			if t.Failed() {
				t.Log(got.err)
			}
		})
	}
}

// TestShowOutputEqualsStoredConfiguration checks that a diff against the output of show is empty.
func TestShowOutputEqualsStoredConfiguration(t *testing.T) {
	t.Setenv("FULMARTIDE_VM", startOperatorAPI(t, newFleet(t)))
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

func TestAddressesAreTriedInOrder(t *testing.T) {
	live := startOperatorAPI(t, newFleet(t))
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

// TestCommandIsNotRetriedAfterLostResponse checks that a command that may have reached one VM is not
// sent to another, while a query is.
func TestCommandIsNotRetriedAfterLostResponse(t *testing.T) {
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(aborting.Close)
	args := []string{"--vm", aborting.Listener.Addr().String(), "--vm", startOperatorAPI(t, newFleet(t))}
	if got := run(t, "", append(args, "status")...); got.code != cli.ExitOK {
		t.Fatal(got)
	}
	got := run(t, "", append(args, "key", "give", "banco")...)
	if got.code != cli.ExitError || !strings.Contains(got.err, "outcome_unknown") || !strings.Contains(got.err, "run: unknown") {
		t.Fatal(got)
	}
}
