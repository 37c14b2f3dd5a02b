package activeconfig

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// versionedSource is a store whose version rises with each configuration. changing is set if its endpoints change with each
// read, too.
type versionedSource struct {
	mu       sync.Mutex
	version  uint64
	config   uint64
	changing bool
	reads    int
}

func (s *versionedSource) Endpoints(context.Context) (traffic.Endpoints, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.changing {
		s.version++
	}
	e := table(s.version, "a")
	if s.changing {
		e.List[0].Slots = s.reads
	}
	return e, nil
}

func (s *versionedSource) Configuration(context.Context) ([]byte, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.AppendUint(nil, s.config+1, 10), 0, nil
}

// write writes the next configuration and returns its version.
func (s *versionedSource) write() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.config++
	return s.config + 1
}

// delayedFleet is VMs that tell each other of the store every 200 ms. Messages to some VMs are delayed.
type delayedFleet struct {
	source *versionedSource
	states []*State
	// delay draws how long a message is under way.
	delay func(from, to int) time.Duration
	// loses reports whether a document cannot be fetched by a VM from another one.
	loses func(document, to int) bool
}

const testHeartbeatPeriod = 200 * time.Millisecond

func (f *delayedFleet) run(ctx context.Context, vms int) {
	now := clock.NewMonotonic()
	for range vms {
		st, _ := newTestState(now)
		f.states = append(f.states, st)
	}
	for rank, st := range f.states {
		r := &Refresher{State: st, Source: f.source, Rank: func() int { return rank }, Log: zap.NewNop()}
		go r.Run(ctx)
		go func() {
			time.Sleep(testHeartbeatPeriod * time.Duration(rank) / time.Duration(vms))
			for ctx.Err() == nil {
				fresh := st.Freshness()
				for to := range f.states {
					if to != rank {
						time.AfterFunc(f.delay(rank, to), func() { f.receive(rank, to, fresh) })
					}
				}
				clock.Sleep(ctx, testHeartbeatPeriod)
			}
		}()
	}
}

func (f *delayedFleet) receive(from, to int, fresh traffic.Freshness) {
	receiver, sender := f.states[to], f.states[from]
	receiver.Confirm(fresh)
	for document, version := range fresh.Versions {
		if !receiver.NeedsVersion(document, version) || f.loses(document, to) {
			continue
		}
		requestedAt := receiver.opts.Clock.Now()
		time.AfterFunc(f.delay(to, from), func() {
			version, body, err := sender.Encode(document)
			age := sender.Freshness().Age
			time.AfterFunc(f.delay(from, to), func() {
				if err == nil {
					_ = receiver.Apply(document, version.Era, body, requestedAt.Add(-age), "vm")
				}
			})
		})
	}
}

// latestIn writes configurations and returns the longest time that one of them took to be in force at the given VMs.
func (f *delayedFleet) latestIn(changes int, pause time.Duration, vms ...int) time.Duration {
	latest := time.Duration(0)
	for range changes {
		time.Sleep(pause)
		version, writtenAt := f.source.write(), time.Now()
		for _, vm := range vms {
			for c := f.states[vm].Configuration(); c == nil || c.Version < version; c = f.states[vm].Configuration() {
				if time.Sleep(5 * time.Millisecond); time.Since(writtenAt) > 10*configApplyTime {
					return time.Since(writtenAt) // it may never be in force
				}
			}
			latest = max(latest, time.Since(writtenAt))
		}
	}
	return latest
}

// configApplyTime is the time in which a configuration has to be in force.
const configApplyTime = 2 * time.Second

// TestSlowVMsDoNotKeepTheFleetFromReadingTheStore guards against configurations that all VMs learn of late because those that
// handle messages late renew the age of what the others know, so that none of them reads the store.
func TestSlowVMsDoNotKeepTheFleetFromReadingTheStore(t *testing.T) {
	for _, tc := range []struct {
		name     string
		slow     func(vm int) bool
		maxDelay time.Duration
	}{
		{"four of six VMs, the reader is sound", func(vm int) bool { return vm >= 1 && vm <= 4 }, 300 * time.Millisecond},
		{"three of six VMs, the reader among them", func(vm int) bool { return vm <= 2 }, 300 * time.Millisecond},
		{"all VMs, by less", func(int) bool { return true }, 100 * time.Millisecond},
		{"one VM, by seconds", func(vm int) bool { return vm == 2 }, 2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, 2))
				var mu sync.Mutex
				f := &delayedFleet{source: &versionedSource{version: 1}, loses: func(int, int) bool { return false }}
				f.delay = func(_, to int) time.Duration {
					mu.Lock()
					defer mu.Unlock()
					if tc.slow(to) {
						return time.Duration(random.Int64N(int64(tc.maxDelay)))
					}
					return 300 * time.Microsecond
				}
				ctx, stop := context.WithCancel(t.Context())
				f.run(ctx, 6)
				sound := []int{5}
				if !tc.slow(0) {
					sound = append(sound, 0)
				}
				if latest := f.latestIn(40, 330*time.Millisecond, sound...); latest > configApplyTime {
					t.Errorf("a configuration was in force %s after it was written, want %s at most", latest, configApplyTime)
				}
				stop()
				time.Sleep(3 * tc.maxDelay) // messages that are under way
				synctest.Wait()
			})
		})
	}
}

// TestConfigurationThatCannotBeFetchedIsRead guards against a VM whose knowledge is renewed by VMs that name a newer
// configuration which it cannot fetch from them.
func TestConfigurationThatCannotBeFetchedIsRead(t *testing.T) {
	for name, f := range map[string]*delayedFleet{
		"no document": {source: &versionedSource{version: 1}, loses: func(_, to int) bool { return to == 3 }},
		"the table can, and changes": {
			source: &versionedSource{version: 1, changing: true},
			loses:  func(document, to int) bool { return to == 3 && document == DocumentConfiguration },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f.delay = func(int, int) time.Duration { return time.Millisecond }
				ctx, stop := context.WithCancel(t.Context())
				f.run(ctx, 6)
				if latest := f.latestIn(20, 700*time.Millisecond, 3); latest > configApplyTime {
					t.Errorf("a configuration was in force %s after it was written, want %s at most", latest, configApplyTime)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestOneVMReadsForAll guards against more calls to the store than one VM needs to make for a calm fleet.
func TestOneVMReadsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &delayedFleet{source: &versionedSource{version: 1}, loses: func(int, int) bool { return false }}
		f.delay = func(int, int) time.Duration { return 3 * time.Millisecond }
		ctx, stop := context.WithCancel(t.Context())
		f.run(ctx, 20)
		time.Sleep(5 * time.Second)
		f.source.mu.Lock()
		before := f.source.reads
		f.source.mu.Unlock()
		time.Sleep(14 * time.Second)
		f.source.mu.Lock()
		defer f.source.mu.Unlock()
		if reads := f.source.reads - before; reads < 18 || reads > 21 {
			t.Errorf("20 VMs read the store %d times in 14 s, want once each %s", reads, primaryReadAge)
		}
		stop()
	})
}

// TestVMThatStartsMakesNoOtherRead guards against VMs that do not take each other's reads, and fetch the table again and again,
// because one that started later has the same table under a later version of the store.
func TestVMThatStartsMakesNoOtherRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &delayedFleet{source: &versionedSource{version: 1}}
		f.delay = func(int, int) time.Duration { return time.Millisecond }
		var fetches atomic.Int64
		f.loses = func(int, int) bool { fetches.Add(1); return false }
		ctx, stop := context.WithCancel(t.Context())
		f.run(ctx, 6)
		time.Sleep(5 * time.Second)
		f.source.write()
		started := f.states[3]
		started.mu.Lock()
		started.endpoints.Version = 2 // as at a VM that knew no table before
		started.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.source.mu.Lock()
		before := f.source.reads
		f.source.mu.Unlock()
		fetchesBefore := fetches.Load()
		time.Sleep(14 * time.Second)
		f.source.mu.Lock()
		defer f.source.mu.Unlock()
		if reads := f.source.reads - before; reads > 21 {
			t.Errorf("6 VMs read the store %d times in 14 s, want once each %s", reads, primaryReadAge)
		}
		if n := fetches.Load() - fetchesBefore; n > 0 {
			t.Errorf("%d documents were fetched although nothing changed", n)
		}
		stop()
	})
}

// TestConfirmTakesAReadOnce guards against knowledge that is renewed by what was said before.
func TestConfirmTakesAReadOnce(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, _ := newTestState(c)
	if err := st.ApplyConfiguration([]byte("4"), 0, "store"); err != nil {
		t.Fatal(err)
	}
	st.ApplyEndpoints(table(9, "a"), c.now, fromStore)
	own := st.Freshness()
	reader := ident.VM{Name: "reader", Incarnation: 5}
	const applied = "the same once the configuration is known"
	with := func(number, config, table uint64) traffic.Freshness {
		return traffic.Freshness{Versions: []traffic.DocumentVersion{{Number: config}, {Number: table}}, Reading: traffic.Reading{VM: reader, Number: number}}
	}
	for _, tc := range []struct {
		name  string
		fresh traffic.Freshness
		age   time.Duration
	}{
		{"its own read", own, time.Second},
		{"a read of another VM", with(7, 4, 9), 0},
		{"the same again", with(7, 4, 9), time.Second},
		{"an earlier one", with(6, 4, 9), 2 * time.Second},
		{"a later one", with(8, 4, 9), 0},
		{"of a newer configuration", with(9, 5, 9), time.Second},
		{"of the former one, while the newer one is not known", with(10, 4, 9), 2 * time.Second},
		{applied, with(9, 5, 9), 0},
		{"of another table", with(11, 5, 10), time.Second},
		{"of an unnamed read", traffic.Freshness{Versions: with(0, 5, 9).Versions}, 2 * time.Second},
		{"without versions", traffic.Freshness{Reading: traffic.Reading{VM: reader, Number: 20}}, 3 * time.Second},
		{"after a restart of the reader", traffic.Freshness{Versions: with(0, 5, 9).Versions, Reading: traffic.Reading{VM: ident.VM{Name: "reader", Incarnation: 4}, Number: 1}}, 0},
	} {
		if c.now = c.now.Add(time.Second); tc.name == applied {
			if err := st.ApplyConfiguration([]byte("5"), 0, "vm"); err != nil {
				t.Fatal(err)
			}
		}
		st.Confirm(tc.fresh)
		if age := st.Age(); age != tc.age {
			t.Errorf("%s: the age is %s, want %s", tc.name, age, tc.age)
		}
	}
}

// TestKnownReadersAreBounded guards against a list of readers that grows with each restart of a VM.
func TestKnownReadersAreBounded(t *testing.T) {
	var c confirmations
	now := clock.Instant(time.Hour)
	for i := range 10 * maxKnownReaders {
		now = now.Add(readerRetention / maxKnownReaders)
		c.add(now, now, traffic.Reading{VM: ident.VM{Name: "vm", Incarnation: ident.Incarnation(i)}, Number: 1})
	}
	if len(c.known) > 2*maxKnownReaders {
		t.Errorf("%d readers are known", len(c.known))
	}
}
