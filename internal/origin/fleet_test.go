package origin

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

type manualClock struct{ now clock.Instant }

func (c *manualClock) Now() clock.Instant { return c.now }

const testService = "engines"

func endpointsOf(versions []string) []traffic.Endpoint {
	var out []traffic.Endpoint
	for _, v := range versions {
		out = append(out, traffic.Endpoint{ID: traffic.EndpointID{Name: v}, Service: testService, SoftwareVersion: v})
	}
	return out
}

// fleet is a model of several VMs, each with its own table of endpoints, and the store.
type fleet struct {
	// mu is held by questions to other VMs and by all changes of the model: a question may outlast the search that it belongs to.
	mu    sync.Mutex
	clock manualClock
	vms   []*fleetVM
	// listed are the versions that are listed now.
	listed []string
	// stored is what the store has, nil before anything was stored.
	stored []Sighting
	// began is where streams truly began, by call.
	began   map[string]traffic.StreamOrigin
	storing bool
	// away is set while the store is away.
	away bool
	// lossy makes VMs tell others nothing, so that only questions are answered.
	lossy bool
	// streams is what the store has of open streams.
	streams *streamObjects
}

type fleetVM struct {
	*Controller
	keeper *StreamKeeper
	// listed are the versions in the table of this VM.
	listed []string
}

// start starts a VM in place i, which asks the others and the store for what they know.
func (f *fleet) start(i int) {
	vm := &fleetVM{}
	vm.Controller = NewController(Options{
		Clock: &f.clock, Log: zap.NewNop(), Metrics: metrics.NewSet(), Reload: func(ctx context.Context) { vm.keeper.Reload(ctx) },
		Share:     func(list []Record) { f.share(vm, list) },
		Ask:       func(_ context.Context, k Key) (traffic.StreamOrigin, bool) { return f.ask(vm, k) },
		StoreAway: func() bool { return f.away },
		Evidence: func(e traffic.Endpoint, _ time.Time) backend.LifetimeEvidence {
			return &storeEvidence{fleet: f, version: e.SoftwareVersion}
		},
	})
	vm.keeper = f.streams.keeper(f, i, vm.Controller)
	for _, other := range f.vms {
		if other != nil {
			vm.Merge(other.State(), "vm")
		}
	}
	_ = vm.keeper.load(context.Background())
	if f.stored != nil {
		vm.Merge(State{Sightings: f.stored, Complete: true}, "store")
	}
	vm.finishLoadingVersions()
	f.vms[i] = vm
	f.refresh(vm)
}

// refresh lets a VM read the table of endpoints. If storing is set, changed versions are stored with it, as the VM that
// stores does before calls reach the endpoints of a new version.
func (f *fleet) refresh(vm *fleetVM) {
	if f.away {
		return
	}
	vm.listed = append([]string(nil), f.listed...)
	vm.SetEndpoints(endpointsOf(vm.listed))
	if s := vm.State(); f.storing && s.Complete {
		f.stored = s.Sightings
	}
}

func (f *fleet) share(from *fleetVM, list []Record) {
	for _, vm := range f.vms {
		if vm != nil && vm != from && !f.lossy {
			vm.AddRecords(list)
		}
	}
}

// locked returns an action during which no VM answers a question.
func (f *fleet) locked(action func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		f.mu.Lock()
		defer f.mu.Unlock()
		action(t)
	}
}

func (f *fleet) ask(from *fleetVM, k Key) (traffic.StreamOrigin, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, vm := range f.vms {
		if vm == nil || vm == from {
			continue
		}
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		if vm.Await(ended, k) {
			from.MarkUnsettled(k)
		}
		if o, ok := vm.Lookup(k); ok {
			return o, true
		}
	}
	return traffic.StreamOrigin{}, false
}

// resume resumes a stream at a VM and reports whether it may continue. It fails the test if it would continue elsewhere than
// where it began.
func (f *fleet) resume(t interface{ Fatalf(string, ...any) }, vm *fleetVM, call string) bool {
	o, source := vm.Find(context.Background(), NewKey("w", call), testService, 10*time.Second)
	if source != Unknown && o != f.began[call] {
		t.Fatalf("stream %s began at %v and continues at %v, found by %s", call, f.began[call], o, source)
	}
	return source != Unknown
}

func (f *fleet) begin(vm *fleetVM, version string) (call string) {
	call = fmt.Sprint("call", len(f.began))
	f.began[call] = traffic.StreamOrigin{Service: testService, Version: version}
	vm.Began(NewKey("w", call), f.began[call], 10*time.Second)
	return call
}

// storeEvidence is that of a VM that reads the store on request: it finds an engine for as long as it is not back under its id.
type storeEvidence struct {
	fleet   *fleet
	version string
	outcome backend.LifetimeOutcome
}

func (e *storeEvidence) Look() backend.LifetimeOutcome {
	return cmp.Or(e.outcome, backend.LifetimeOpen)
}

func (e *storeEvidence) Seek() {
	e.outcome = backend.LifetimeGone
	if slices.Contains(e.fleet.listed, e.version) {
		e.outcome = backend.LifetimeReported
	}
}

// beginOver begins a stream over a new connection to an engine in the table of a VM. It is truly at another version if the engine is
// back under its id since.
func (f *fleet) beginOver(vm *fleetVM, shown, since string) (call string) {
	truly := shown
	if !slices.Contains(f.listed, shown) {
		truly = since
	}
	call = fmt.Sprint("call", len(f.began))
	f.began[call] = traffic.StreamOrigin{Service: testService, Version: truly}
	vm.beganOpen(NewKey("w", call), endpointsOf([]string{shown})[0], 10*time.Second, &storeEvidence{fleet: f, version: shown}, zap.NewNop())
	return call
}

func newFleet(vms int, versions ...string) *fleet {
	f := &fleet{clock: manualClock{clock.Instant(time.Hour)}, vms: make([]*fleetVM, vms), listed: versions, began: map[string]traffic.StreamOrigin{}}
	f.streams = newStreamObjects(&f.clock)
	for i := range f.vms {
		f.start(i)
	}
	f.clock.now = f.clock.now.Add(2 * resumeWindow) // VMs that start with the fleet know all versions after a while
	return f
}

// TestStreamsNeverContinueAtAnotherVersion guards against streams that hold events of two versions. VMs are lost one by one
// and all at once, with what is stored of open streams at that time, while versions come and go.
func TestStreamsNeverContinueAtAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "vms"), "v1")
		f.storing = true
		released := 1
		var calls []string
		var endedAt []clock.Instant
		vmAt := func(t *rapid.T) (int, *fleetVM) {
			i := rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")
			return i, f.vms[i]
		}
		actions := map[string]func(*rapid.T){
			"release": func(*rapid.T) {
				released++
				f.listed = append(f.listed, fmt.Sprint("v", released))
			},
			"withdraw": func(t *rapid.T) {
				if len(f.listed) > 1 {
					i := rapid.IntRange(0, len(f.listed)-1).Draw(t, "version")
					f.listed = append(append([]string(nil), f.listed[:i]...), f.listed[i+1:]...)
				}
			},
			"refresh": func(t *rapid.T) {
				_, vm := vmAt(t)
				f.refresh(vm)
			},
			"wait": func(t *rapid.T) {
				f.clock.now = f.clock.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
				for _, vm := range f.vms { // tables lag by less than a few seconds
					f.refresh(vm)
				}
			},
			"begin": func(t *rapid.T) {
				_, vm := vmAt(t)
				calls = append(calls, f.begin(vm, rapid.SampledFrom(vm.listed).Draw(t, "version")))
				endedAt = append(endedAt, f.clock.now)
			},
			"begin over a new connection": func(t *rapid.T) {
				_, vm := vmAt(t)
				shown, since := rapid.SampledFrom(vm.listed).Draw(t, "shown"), rapid.SampledFrom(f.listed).Draw(t, "since")
				calls = append(calls, f.beginOver(vm, shown, since))
				endedAt = append(endedAt, f.clock.now)
			},
			"look for evidence": func(t *rapid.T) {
				_, vm := vmAt(t)
				if len(calls) > 0 {
					vm.look(NewKey("w", calls[len(calls)-1]), false)
				}
			},
			"restart": func(t *rapid.T) {
				i, _ := vmAt(t)
				f.vms[i] = nil
				f.start(i)
			},
			"record": func(t *rapid.T) {
				f.record(rapid.IntRange(0, len(f.vms)).Draw(t, "vms that report"))
			},
			"end": func(t *rapid.T) {
				_, vm := vmAt(t)
				if len(calls) > 0 {
					vm.Ended(NewKey("w", calls[len(calls)-1]))
				}
			},
			"lose all": func(t *rapid.T) {
				f.record(rapid.IntRange(0, len(f.vms)).Draw(t, "vms that report"))
				for i := range f.vms {
					f.vms[i] = nil
				}
				if rapid.Bool().Draw(t, "release") {
					released++
					f.listed = append(f.listed, fmt.Sprint("v", released))
				}
				if i := rapid.IntRange(0, 3).Draw(t, "withdraw"); i < len(f.listed) && len(f.listed) > 1 {
					f.listed = append(append([]string(nil), f.listed[:i]...), f.listed[i+1:]...)
				}
				f.clock.now = f.clock.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds down")) * time.Second)
				for i := range f.vms {
					f.streams.skew[i] = time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "clock")) * time.Millisecond
					f.start(i)
				}
			},
		}
		for name, action := range actions {
			actions[name] = f.locked(action)
		}
		actions["resume"] = func(t *rapid.T) { // asks other VMs
			_, vm := vmAt(t)
			f.locked(func(*rapid.T) { f.refresh(vm) })(t)
			call := max(0, len(calls)-1-rapid.IntRange(0, 4).Draw(t, "back"))
			if call < len(calls) && f.clock.now.Sub(endedAt[call]) < resumeWindow {
				f.resume(t, vm, calls[call])
			}
		}
		t.Repeat(actions)
	})
}

func TestStreamsContinue(t *testing.T) {
	for _, tc := range []struct {
		name      string
		events    func(f *fleet) (call string)
		continues bool
	}{
		{"at the only version", func(f *fleet) string { return f.begin(f.vms[0], "v1") }, true},
		{"at the only version, after a restart of all VMs", func(f *fleet) string {
			call := f.begin(f.vms[0], "v1")
			f.stored = f.vms[0].State().Sightings
			f.restartAll()
			return call
		}, true},
		{"not after a restart of all VMs that nothing was stored for", func(f *fleet) string {
			call := f.begin(f.vms[0], "v1")
			f.restartAll()
			return call
		}, false},
		{"beside another version", func(f *fleet) string {
			f.release("v2")
			return f.begin(f.vms[0], "v2")
		}, true},
		{"beside a version that came while it ran, after its VM was lost", func(f *fleet) string {
			call := f.begin(f.vms[0], "v1")
			f.release("v2")
			f.vms[0] = nil
			return call
		}, true},
		{"after restarts of all VMs in turn", func(f *fleet) string {
			f.release("v2")
			call := f.begin(f.vms[0], "v1")
			for i := range f.vms {
				f.vms[i] = nil
				f.start(i)
			}
			return call
		}, true},
		{"beside another version if only its VM knows", func(f *fleet) string {
			f.release("v2")
			f.lossy = true
			return f.begin(f.vms[0], "v1")
		}, true},
		{"not beside another version if the only VM that knew is lost", func(f *fleet) string {
			f.release("v2")
			f.lossy = true
			call := f.begin(f.vms[0], "v1")
			f.vms[0] = nil
			return call
		}, false},
		{"not for lack of records if another version was listed until now", func(f *fleet) string {
			f.release("v2")
			f.lossy = true
			call := f.begin(f.vms[0], "v1")
			f.vms[0] = nil
			f.listed = []string{"v2"}
			f.refresh(f.vms[1])
			return call
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(3, "v1")
			if got := f.resume(t, f.vms[1], tc.events(f)); got != tc.continues {
				t.Errorf("the stream continues: %v, want %v", got, tc.continues)
			}
		})
	}
}

func (f *fleet) release(version string) {
	f.listed = append(f.listed, version)
	for _, vm := range f.vms {
		f.refresh(vm)
	}
}

func (f *fleet) restartAll() {
	for i := range f.vms {
		f.vms[i] = nil
	}
	for i := range f.vms {
		f.start(i)
	}
}

// TestRecordsAreBounded checks that records end with their time, and that further ones are dropped when there are too
// many.
func TestRecordsAreBounded(t *testing.T) {
	r, now := records{entries: map[Key]entry{}}, clock.Instant(time.Hour)
	o := traffic.StreamOrigin{Service: testService, Version: "v1"}
	for k := range Key(maxRecords) {
		r.add(now, Record{Key: k + 1, Origin: o, Left: time.Hour}, false)
	}
	if r.add(now, Record{Key: maxRecords + 1, Origin: o, Left: time.Hour}, false) {
		t.Error("a record beyond the maximum number was stored")
	}
	if !r.add(now, Record{Key: 1, Origin: traffic.StreamOrigin{Version: "v2"}, Left: time.Hour}, true) {
		t.Error("a known record was refused")
	}
	if got, ok := r.find(now, 1); !ok || got.origin != o {
		t.Errorf("a second record replaced the first one: %v, %v", got, ok)
	}
	now = now.Add(maxLeft)
	if _, ok := r.find(now, 1); ok {
		t.Error("a record is used after its time")
	}
	if !r.add(now, Record{Key: maxRecords + 1, Origin: o, Left: time.Hour}, false) || len(r.entries) != 1 {
		t.Errorf("%d records are left after their time", len(r.entries))
	}
}

// storedVersions is a Store with one version that was listed some time ago.
type storedVersions struct{ age time.Duration }

func (s storedVersions) LoadVersions(context.Context, bool) ([]Sighting, uint64, error) {
	return []Sighting{{Origin: traffic.StreamOrigin{Service: testService, Version: "v1"}, Age: s.age}}, 1, nil
}

func (storedVersions) SaveVersions(context.Context, []Sighting, uint64) error { return nil }

// TestVersionsStoredByOtherClocksCount checks that a version which seems to be long gone counts: the clock of the VM that
// stored it may have been behind.
func TestVersionsStoredByOtherClocksCount(t *testing.T) {
	for age, counts := range map[time.Duration]bool{resumeWindow + clock.Tolerance/2: true, resumeWindow + 2*clock.Tolerance: false} {
		c := NewController(Options{Clock: &manualClock{clock.Instant(time.Hour)}, Log: zap.NewNop(), Metrics: metrics.NewSet()})
		k := &keeper{controller: c, store: storedVersions{age}, log: zap.NewNop()}
		if err := k.load(t.Context(), false); err != nil {
			t.Fatal(err)
		}
		c.SetEndpoints(endpointsOf([]string{"v2"}))
		if _, source := c.Find(t.Context(), NewKey("w", "call"), testService, time.Second); (source == Unknown) != counts {
			t.Errorf("a version listed %v ago counts: origin found by %s", age, source)
		}
	}
}
