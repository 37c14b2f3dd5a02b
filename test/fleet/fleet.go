package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/settings"
	"github.com/fulmartide/fulmartide/test/standin"
	"github.com/fulmartide/fulmartide/test/standin/engine"
	platformstandin "github.com/fulmartide/fulmartide/test/standin/platform"
	"github.com/fulmartide/fulmartide/test/standin/service"
)

// keepLogsEnv is the environment variable that retains the daemons' logs after a stop.
const keepLogsEnv = "FULMARTIDE_KEEP_LOGS"

// Options configures a fleet.
type Options struct {
	Layout Layout
	// Policy is written to every daemon's settings. Zero values take the defaults.
	Policy settings.Policy
	// SkipWarmUp disables the daemons' warm-up at start.
	SkipWarmUp bool
	// Binary is the path of a fulmartided binary. If empty, one is built.
	Binary string
	// Race builds the daemon with the race detector. It is ignored if Binary is set.
	Race bool
	// ListLag is how long a change to the platform's list of VMs takes to become visible. Default 1 s.
	ListLag time.Duration
	// LogLevel is the daemons' log level. Default info.
	LogLevel string
	// NoticeSeconds is the daemons' setting stop.notice_seconds. Default 0, as no load balancer is in front of the daemons.
	NoticeSeconds int64
	// DrainSeconds is the daemons' setting stop.drain_seconds. Default 10.
	DrainSeconds int64
	// Dir is the directory for the daemons' settings, logs and, if built, the binary. If empty, a
	// temporary directory is used, which is retained only if a stop fails or FULMARTIDE_KEEP_LOGS is
	// set.
	Dir string
	// AdjustEngine, if set, changes an engine's options before it starts.
	AdjustEngine func(name string, o *engine.Options)
	// AdjustDocument, if set, changes the initial configuration.
	AdjustDocument func(*configuration.Document)
}

// Fleet is a running fleet.
type Fleet struct {
	Platform *platformstandin.Server
	// Engines and Services are the stand-ins by endpoint name.
	Engines  map[string]*engine.Server
	Services map[string]*service.Server
	// Document is the initial configuration with all changes made by EditConfiguration.
	Document configuration.Document

	opts          Options
	dir           string
	binary        string
	network       *network
	platformAddrs map[string]netip.AddrPort
	closers       []func()

	mu      sync.Mutex
	daemons map[string]*Daemon
	listed  map[string]objectstore.VM
	keys    keyList
}

// Build compiles fulmartided into dir and returns the path of the binary.
func Build(ctx context.Context, dir string, race bool) (string, error) {
	binary := filepath.Join(dir, "fulmartided")
	args := []string{"build", "-o", binary}
	if race {
		args = append(args, "-race")
	}
	out, err := exec.CommandContext(ctx, "go",
		append(args, "github.com/fulmartide/fulmartide/cmd/fulmartided")...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build fulmartided: %w\n%s", err, out)
	}
	return binary, nil
}

// Start starts a fleet and waits until every daemon is ready. The caller must call Stop.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	o.ListLag = cmp.Or(o.ListLag, time.Second)
	o.LogLevel = cmp.Or(o.LogLevel, "info")
	o.DrainSeconds = cmp.Or(o.DrainSeconds, 10)
	dir, err := makeDir(o.Dir)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Engines:       make(map[string]*engine.Server),
		Services:      make(map[string]*service.Server),
		opts:          o,
		dir:           dir,
		binary:        o.Binary,
		network:       newNetwork(o.Layout.OneWayDelay),
		platformAddrs: make(map[string]netip.AddrPort),
		daemons:       make(map[string]*Daemon),
		listed:        make(map[string]objectstore.VM),
	}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func makeDir(dir string) (string, error) {
	if dir == "" {
		return os.MkdirTemp("", "fulmartide-fleet-")
	}
	return dir, os.MkdirAll(dir, 0o755)
}

func (f *Fleet) start(ctx context.Context) error {
	if f.binary == "" {
		binary, err := Build(ctx, f.dir, f.opts.Race)
		if err != nil {
			return err
		}
		f.binary = binary
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.startEndpoints(); err != nil {
		return err
	}
	if err := f.putInitialObjects(); err != nil {
		return err
	}
	for _, dc := range f.opts.Layout.DataCentres {
		for _, vm := range dc.vmNames() {
			if _, err := f.startVM(ctx, vm, dc.Name); err != nil {
				return err
			}
		}
	}
	for _, d := range f.Daemons() {
		if err := d.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startPlatform() error {
	f.Platform = platformstandin.New(platformstandin.Options{
		ListLag: f.opts.ListLag, WeightBytes: 1 << 30, WeightBytesPerSecond: 1 << 30,
	})
	f.closers = append(f.closers, f.Platform.Close)
	for _, dc := range f.opts.Layout.DataCentres {
		view := f.Platform.View(func(vm objectstore.VM) objectstore.VM {
			vm.Address = f.network.addrFrom(dc.Name, vm.Name, vm.Address)
			return vm
		})
		addr, err := f.serve(view)
		if err != nil {
			return err
		}
		if f.platformAddrs[dc.Name], err = f.network.addPlatformProxy(dc.Name, addr); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) serve(h http.Handler) (netip.AddrPort, error) {
	s, err := standin.Serve(h)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.closers = append(f.closers, s.Close)
	return s.Addr(), nil
}

func (f *Fleet) startEndpoints() error {
	f.Document = f.opts.Layout.document()
	for _, dc := range f.opts.Layout.DataCentres {
		for i := range dc.Prefill {
			if err := f.startEngine(fmt.Sprintf("%s-prefill%d", dc.Name, i+1), dc.Name, configuration.RolePrefill); err != nil {
				return err
			}
		}
		for i := range dc.Decode {
			if err := f.startEngine(fmt.Sprintf("%s-decode%d", dc.Name, i+1), dc.Name, configuration.RoleDecode); err != nil {
				return err
			}
		}
		for i := range dc.Services {
			if err := f.startService(fmt.Sprintf("%s-%s%d", dc.Name, f.opts.Layout.Service, i+1), dc.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startEngine(name, dc string, role configuration.Role) error {
	l := f.opts.Layout
	o := engine.Options{
		Role: string(role), Model: l.ModelName, Adapters: l.Model.Adapters, Slots: l.Slots,
		GapBase:                time.Duration(l.Model.GapBaseMicros) * time.Microsecond,
		GapPerSlot:             time.Duration(l.Model.GapPerSlotMicros) * time.Microsecond,
		PrefillTokensPerSecond: l.Model.PrefillTokensPerSecond,
		ResultTTL:              time.Duration(l.Model.PrefillTTLMillis) * time.Millisecond,
		KVBytesPerToken:        l.Model.KVBytesPerToken,
		LinkBytesPerSecond:     l.LinkBytesPerSecond,
		PieceTokens:            l.Model.PieceTokens,
		EventLag:               200 * time.Millisecond, EventDropInterval: 50, ReportLag: 500 * time.Millisecond,
		UserAgent: userAgentEngine + dc, WeightStore: f.platformAddrs[dc],
	}
	if f.opts.AdjustEngine != nil {
		f.opts.AdjustEngine(name, &o)
	}
	e := engine.New(o)
	f.closers = append(f.closers, e.Close)
	f.Engines[name] = e
	addr, err := f.serve(f.network.partitionMiddleware(dc, e.Handler()))
	f.Document.Endpoints[name] = configuration.Endpoint{
		Role: role, DataCentre: dc, Address: addr.String(), Model: l.ModelName, Slots: o.Slots,
		LinkBytesPerSecond: l.LinkBytesPerSecond, ChecksFencingToken: !o.IgnoreFencingToken,
	}
	return err
}

func (f *Fleet) startService(name, dc string) error {
	s := service.New(service.Options{Latency: f.opts.Layout.ServiceLatency})
	f.Services[name] = s
	addr, err := f.serve(f.network.partitionMiddleware(dc, s.Handler()))
	f.Document.Endpoints[name] = configuration.Endpoint{
		Role: configuration.RoleService, DataCentre: dc, Address: addr.String(), Service: f.opts.Layout.Service, Slots: 64,
	}
	return err
}

func (f *Fleet) putInitialObjects() error {
	if f.opts.AdjustDocument != nil {
		f.opts.AdjustDocument(&f.Document)
	}
	f.keys = f.opts.Layout.keys()
	for name, value := range map[string]any{"configuration": f.Document, "keys": f.keys} {
		raw, err := json.Marshal(value)
		if err != nil {
			return err
		}
		f.Platform.ForcePut(name, raw)
	}
	return nil
}

// startVM starts a daemon and adds it to the platform's list.
func (f *Fleet) startVM(ctx context.Context, vm, dc string) (*Daemon, error) {
	s := settings.Defaults()
	s.VM = settings.VM{Name: vm, DataCentre: dc, Region: f.opts.Layout.Region}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operator: "127.0.0.1:0"}
	s.Platform.Address = f.platformAddrs[dc].String()
	s.Peers.Seeds = f.seeds(dc)
	s.Log.Level = f.opts.LogLevel
	s.Stop = settings.Stop{NoticeSeconds: f.opts.NoticeSeconds, DrainSeconds: f.opts.DrainSeconds}
	s.Policy.Placement = cmp.Or(f.opts.Policy.Placement, s.Policy.Placement)
	s.Policy.Limiter = cmp.Or(f.opts.Policy.Limiter, s.Policy.Limiter)
	s.Start.WarmUp = !f.opts.SkipWarmUp
	d, err := launch(ctx, f.binary, f.dir, s)
	if err != nil {
		return nil, err
	}
	if err := f.network.setVM(vm, dc, d.Peers, f.dataCentreNames()); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[vm] = d
	f.listed[vm] = objectstore.VM{Name: vm, DataCentre: dc, Address: d.Peers}
	f.publishList()
	return d, nil
}

const maxSeeds = 3

// seeds returns the addresses of up to maxSeeds running VMs as seen from dc.
func (f *Fleet) seeds(dc string) []string {
	var out []string
	for _, d := range f.Daemons() {
		if len(out) < maxSeeds && d.Alive() {
			out = append(out, f.network.addrFrom(dc, d.VM, d.Peers).String())
		}
	}
	return out
}

func (f *Fleet) dataCentreNames() []string {
	var out []string
	for _, dc := range f.opts.Layout.DataCentres {
		out = append(out, dc.Name)
	}
	return out
}

// publishList updates the platform's list of VMs. The caller must hold mu.
func (f *Fleet) publishList() {
	var vms []objectstore.VM
	for _, vm := range f.listed {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b objectstore.VM) int { return cmp.Compare(a.Name, b.Name) })
	f.Platform.SetVMs(vms)
}

// Daemons returns the latest process of each VM, sorted by VM name.
func (f *Fleet) Daemons() []*Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Daemon
	for _, d := range f.daemons {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b *Daemon) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Daemon returns the latest process of a VM, or nil if the VM is unknown.
func (f *Fleet) Daemon(vm string) *Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[vm]
}

// Stop stops all running daemons gracefully, then the stand-ins. It fails if one of these daemons
// does not exit with status 0 in time.
func (f *Fleet) Stop() error {
	var errs []error
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, d := range f.Daemons() {
		if !d.Alive() {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := d.terminate(f.stopTimeout()); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, fmt.Errorf("%s: %w", d.VM, err))
			}
		}()
	}
	wg.Wait()
	f.network.close()
	for _, c := range slices.Backward(f.closers) {
		c()
	}
	if len(errs) == 0 && os.Getenv(keepLogsEnv) == "" && f.opts.Dir == "" {
		return os.RemoveAll(f.dir)
	}
	return errors.Join(errs...)
}
