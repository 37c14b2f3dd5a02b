package activeconfig

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

type fakeClock struct{ now clock.Instant }

func (c *fakeClock) Now() clock.Instant { return c.now }

const (
	testEndpointTTL    = 2 * time.Second
	testReregisterTime = 2 * time.Second
)

// testVMs is the number of States created by newTestState, which names their VMs.
var testVMs int

func newTestState(c clock.Clock) (*State, *traffic.Endpoints) {
	var last traffic.Endpoints
	testVMs++
	st := New(Options{
		Self: ident.VM{Name: "vm-" + strconv.Itoa(testVMs)}, Clock: c, Log: zap.NewNop(), EndpointTTL: testEndpointTTL, ReregisterTime: testReregisterTime,
		Decode: func(raw []byte) (*traffic.Configuration, error) {
			v, err := strconv.ParseUint(string(raw), 10, 64)
			return traffic.NewConfiguration(v, nil, nil, nil, traffic.Limits{}), err
		},
		OnChange: func(_ *traffic.Configuration, e traffic.Endpoints) { last = e },
	})
	return st, &last
}

func table(version uint64, names ...string) traffic.Endpoints {
	e := traffic.Endpoints{Version: version}
	for _, n := range names {
		e.List = append(e.List, traffic.Endpoint{ID: traffic.EndpointID{Name: n}})
	}
	return e
}

func names(e *traffic.Endpoints) string {
	out := ""
	for _, v := range e.List {
		out += v.ID.Name
	}
	return out
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	st, _ := newTestState(&fakeClock{})
	for _, raw := range []string{"3", "5", "4", "broken"} {
		if err := st.ApplyConfiguration([]byte(raw), 0, "test"); (err != nil) != (raw == "broken") {
			t.Errorf("configuration %s: error %v", raw, err)
		}
	}
	if v := st.Configuration().Version; v != 5 {
		t.Errorf("version %d is in force, want 5", v)
	}
}

func TestOlderTableIsIgnored(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, last := newTestState(c)
	st.ApplyEndpoints(table(7, "a", "b"), c.now, "store")
	st.ApplyEndpoints(table(6, "a"), c.now, "store")
	if got := names(last); got != "ab" {
		t.Errorf("endpoints %s, want ab", got)
	}
}

// TestEndpointsAreRetainedAfterOutage checks that endpoints that expired in the store during an
// outage are retained for a while after it, and removed then.
func TestEndpointsAreRetainedAfterOutage(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, last := newTestState(c)
	st.ApplyEndpoints(table(7, "a", "b", "c"), c.now, "store")
	c.now = c.now.Add(5 * time.Second)
	st.ApplyEndpoints(table(9, "a"), c.now, "store")
	if got := names(last); got != "abc" {
		t.Errorf("right after the outage the endpoints are %s, want abc", got)
	}
	c.now = c.now.Add(time.Second)
	st.ApplyEndpoints(table(10, "a", "b"), c.now, "store")
	if got := names(last); got != "abc" {
		t.Errorf("one second later the endpoints are %s, want abc", got)
	}
	c.now = c.now.Add(testReregisterTime)
	st.ApplyEndpoints(table(10, "a", "b"), c.now, "store")
	if got := names(last); got != "ab" {
		t.Errorf("after the retention time the endpoints are %s, want ab", got)
	}
}

// TestRemovalTakesEffectImmediately checks that without an outage endpoints that the store no
// longer lists are removed.
func TestRemovalTakesEffectImmediately(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, last := newTestState(c)
	st.ApplyEndpoints(table(7, "a", "b"), c.now, "store")
	c.now = c.now.Add(time.Second)
	st.ApplyEndpoints(table(8, "a"), c.now, "store")
	if got := names(last); got != "a" {
		t.Errorf("endpoints %s, want a", got)
	}
}

// TestUnchangedTableKeepsItsVersion checks that a table that differs only in the store's version
// resets the age but keeps the old version, so that other VMs do not fetch it.
func TestUnchangedTableKeepsItsVersion(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, _ := newTestState(c)
	st.ApplyEndpoints(table(7, "a", "b"), c.now, "store")
	c.now = c.now.Add(time.Second)
	st.ApplyEndpoints(table(9, "a", "b"), c.now, "store")
	if v := st.Versions()[DocumentEndpoints].Number; v != 7 || st.Age() != 0 {
		t.Errorf("version %d, age %s, want 7 and 0", v, st.Age())
	}
	leaving := table(10, "a", "b")
	leaving.List[1].Leaving = true
	st.ApplyEndpoints(leaving, c.now, "store")
	if v := st.Versions()[DocumentEndpoints].Number; v != 10 {
		t.Errorf("version %d after an endpoint began to leave, want 10", v)
	}
}

// TestColdTimeOfALaterEntryIsPassedOn guards against endpoints that are taken for warm because a later version of their
// entry says the same time.
func TestColdTimeOfALaterEntryIsPassedOn(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, last := newTestState(c)
	if err := st.ApplyConfiguration([]byte("1"), 0, "test"); err != nil {
		t.Fatal(err)
	}
	for version := uint64(7); version < 10; version++ {
		e := table(version, "a", "b")
		e.List[0].Version, e.List[1].Version, e.List[1].ColdFor = version, version, time.Second
		st.ApplyEndpoints(e, c.now, "store")
		if got := last.List[1].Version; got != version {
			t.Errorf("version %d of the entry is known, want %d", got, version)
		}
	}
}

func TestDocumentTransferBetweenVMs(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	from, _ := newTestState(c)
	to, last := newTestState(c)
	if err := from.ApplyConfiguration([]byte("4"), 0, "store"); err != nil {
		t.Fatal(err)
	}
	from.ApplyEndpoints(table(9, "a"), c.now.Add(-300*time.Millisecond), "store")
	for i, version := range from.Versions() {
		if !to.NeedsVersion(i, version) {
			t.Errorf("document %d is not requested", i)
		}
		_, body, err := from.Encode(i)
		if err != nil {
			t.Fatal(err)
		}
		if err := to.Apply(i, version.Era, body, c.now.Add(-from.Age()), "other"); err != nil {
			t.Fatal(err)
		}
		if to.NeedsVersion(i, version) {
			t.Errorf("document %d is requested again", i)
		}
	}
	if !to.Ready() || names(last) != "a" || to.Age() != 300*time.Millisecond {
		t.Errorf("ready %v, endpoints %s, age %s", to.Ready(), names(last), to.Age())
	}
	invalid, err := compress([]byte{0xc1})
	if err != nil {
		t.Fatal(err)
	}
	for _, body := range [][]byte{{0xc1}, invalid, nil} {
		if err := to.Apply(DocumentEndpoints, 0, body, 0, "other"); err == nil {
			t.Errorf("the invalid table %x was accepted", body)
		}
	}
}

// TestEncodedTableIsSmall: a table that 20 VMs request at once must not saturate the link of a
// small VM, which transmits 12 kB in 10 ms.
func TestEncodedTableIsSmall(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, _ := newTestState(c)
	e := traffic.Endpoints{Version: 7}
	for i := range 150 {
		e.List = append(e.List, traffic.Endpoint{
			ID: traffic.EndpointID{Name: fmt.Sprintf("i-%010x", 7919*i*i), StartedAt: int64(1_790_000_000_000 + 7717*i)}, Service: "wuse12a",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 4), 64, byte(i)}), 8181), DataCentre: fmt.Sprint("dc-", i%4), Slots: 64,
			Stage: traffic.Stage(1 + i%2), Version: uint64(1000 + i),
		})
	}
	st.ApplyEndpoints(e, c.now, "store")
	version, body, err := st.Encode(DocumentEndpoints)
	if err != nil || version.Number != 7 || len(body) > 10_000 {
		t.Errorf("version %v, %d bytes, error %v, want version 7 in 10 kB at most", version, len(body), err)
	}
	if _, again, err := st.Encode(DocumentEndpoints); err != nil || &again[0] != &body[0] {
		t.Error("the same version was encoded twice")
	}
}

// fakeSource counts reads and can be made unavailable.
type fakeSource struct {
	mu          sync.Mutex
	reads       int
	unavailable bool
	config      string
}

func (s *fakeSource) Endpoints(context.Context) (traffic.Endpoints, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.unavailable {
		return traffic.Endpoints{}, errors.New("unavailable")
	}
	return table(1, "a"), nil
}

// setUnavailable makes the store unavailable or available and resets the count of reads.
func (s *fakeSource) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable, s.reads = unavailable, 0
}

func (s *fakeSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Configuration fails with NotFound while no configuration is set.
func (s *fakeSource) Configuration(context.Context) ([]byte, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config == "" {
		return nil, 0, fault.New(fault.NotFound, "apply one", "no configuration")
	}
	return []byte(s.config), 0, nil
}

func (s *fakeSource) setConfiguration(raw string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = raw
}

// TestOneVMReads checks that of two VMs that can reach each other one reads the store, and that the
// other takes over when the first cannot reach the store.
func TestOneVMReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewMonotonic()
		a, _ := newTestState(now)
		b, _ := newTestState(now)
		sa, sb := &fakeSource{config: "1"}, &fakeSource{config: "1"}
		ctx, stop := context.WithCancel(t.Context())
		for rank, one := range []struct {
			st *State
			s  *fakeSource
		}{{a, sa}, {b, sb}} {
			r := &Refresher{State: one.st, Source: one.s, Rank: func() int { return rank }, Log: zap.NewNop()}
			go r.Run(ctx)
		}
		exchangeFor := func(d time.Duration) {
			for range d / (200 * time.Millisecond) {
				time.Sleep(200 * time.Millisecond)
				b.Confirm(a.Freshness())
				a.Confirm(b.Freshness())
			}
		}
		exchangeFor(10 * time.Second)
		if a, b := sa.count(), sb.count(); a < 10 || b > 2 {
			t.Errorf("the first VM read %d times, want at least 10; the second %d times, want 2 at most", a, b)
		}
		sa.setUnavailable(true)
		exchangeFor(5 * time.Second)
		if sb.count() < 4 {
			t.Errorf("while the first VM could not reach the store the second read %d times, want at least 4", sb.count())
		}
		if age := a.Age(); age > 2*time.Second {
			t.Errorf("the first VM has a table of age %s, want 2s at most", age)
		}
		stop()
		synctest.Wait()
	})
}

// TestCallsDuringOutage checks how often the VMs of a large data centre call an unavailable store,
// and that all have a fresh table soon after its recovery.
func TestCallsDuringOutage(t *testing.T) {
	const vms, outage, maxCalls = 21, 10 * time.Second, 100
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewMonotonic()
		ctx, stop := context.WithCancel(t.Context())
		s := &fakeSource{config: "1"}
		var states []*State
		for rank := range vms {
			st, _ := newTestState(now)
			states = append(states, st)
			r := &Refresher{State: st, Source: s, Rank: func() int { return rank }, Log: zap.NewNop()}
			go r.Run(ctx)
		}
		exchangeFor := func(d time.Duration) {
			for range d / (100 * time.Millisecond) {
				time.Sleep(100 * time.Millisecond)
				for _, from := range states {
					for _, to := range states {
						to.Confirm(from.Freshness())
					}
				}
			}
		}
		exchangeFor(5 * time.Second)
		s.setUnavailable(true)
		exchangeFor(outage)
		if reads := s.count(); reads > maxCalls {
			t.Errorf("%d VMs called an unavailable store %d times in %s, want %d at most", vms, reads, outage, maxCalls)
		}
		s.setUnavailable(false)
		exchangeFor(2 * time.Second)
		for rank, st := range states {
			if age := st.Age(); age > 2*time.Second {
				t.Errorf("VM %d has a table of age %s, want 2s at most", rank, age)
			}
		}
		stop()
		synctest.Wait()
	})
}

// TestStartWithoutConfiguration starts the VMs of a data centre together, before operators have
// applied a configuration and before they have heard from each other. One of them reads the store for
// all, and the configuration is in force soon after it was written.
func TestStartWithoutConfiguration(t *testing.T) {
	const vms, maxReads = 49, 30
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewMonotonic()
		ctx, stop := context.WithCancel(t.Context())
		s := &fakeSource{}
		var states []*State
		for rank := range vms {
			st, _ := newTestState(now)
			states = append(states, st)
			r := &Refresher{State: st, Source: s, FirstStart: true, Log: zap.NewNop()}
			r.Rank = func() int {
				if !st.hasEndpoints() { // nothing has been heard from the others
					return 0
				}
				return rank
			}
			r.ListedRank = func() (int, bool) { return rank, true }
			go r.Run(ctx)
		}
		exchangeFor := func(d time.Duration) {
			for range d / (100 * time.Millisecond) {
				time.Sleep(100 * time.Millisecond)
				for _, to := range states {
					receiveNewer(t, to, states[0])
				}
			}
		}
		exchangeFor(10 * time.Second)
		if reads := s.count(); reads > maxReads {
			t.Errorf("%d VMs read the store %d times in 10 s, want %d at most", vms, reads, maxReads)
		}
		s.setConfiguration("1")
		exchangeFor(2 * time.Second)
		for rank, st := range states {
			if !st.Ready() {
				t.Errorf("VM %d is not ready 2 s after the configuration was written", rank)
			}
		}
		stop()
		synctest.Wait()
	})
}

// receiveNewer lets a VM take the documents of another one that it needs, as after a heartbeat.
func receiveNewer(t rapid.TB, to, from *State) {
	fresh := from.Freshness()
	to.Confirm(fresh)
	for document, version := range fresh.Versions {
		if !to.NeedsVersion(document, version) {
			continue
		}
		version, body, err := from.Encode(document)
		if err == nil {
			err = to.Apply(document, version.Era, body, to.opts.Clock.Now().Add(-fresh.Age), "vm")
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}
