package inforce

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

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

type manual struct{ now clock.Instant }

func (m *manual) Now() clock.Instant { return m.now }

const (
	testLapse = 2 * time.Second
	testBack  = 2 * time.Second
)

func newTestKeeper(c clock.Clock) (*Keeper, *traffic.Endpoints) {
	var last traffic.Endpoints
	k := New(Options{
		Clock: c, Log: zap.NewNop(), Lapse: testLapse, Back: testBack,
		Decode: func(raw []byte) (*traffic.Configuration, error) {
			v, err := strconv.ParseUint(string(raw), 10, 64)
			return traffic.NewConfiguration(v, nil, nil, nil, traffic.Limits{}), err
		},
		Changed: func(_ *traffic.Configuration, e traffic.Endpoints) { last = e },
	})
	return k, &last
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

func TestAConfigurationNeverGoesBack(t *testing.T) {
	k, _ := newTestKeeper(&manual{})
	for _, raw := range []string{"3", "5", "4", "broken"} {
		if err := k.OfferConfiguration([]byte(raw), "test"); (err != nil) != (raw == "broken") {
			t.Errorf("%s: error %v", raw, err)
		}
	}
	if v := k.Configuration().Version; v != 5 {
		t.Errorf("version %d is in force", v)
	}
}

func TestATableNeverGoesBack(t *testing.T) {
	c := &manual{now: clock.Instant(time.Hour)}
	k, last := newTestKeeper(c)
	k.OfferEndpoints(table(7, "a", "b"), c.now, "store")
	k.OfferEndpoints(table(6, "a"), c.now, "store")
	if got := names(last); got != "ab" {
		t.Errorf("endpoints %s", got)
	}
}

// TestEndpointsThatLapsedInAnOutage shows that they are kept for a while after the store's
// return, and then are gone.
func TestEndpointsThatLapsedInAnOutage(t *testing.T) {
	c := &manual{now: clock.Instant(time.Hour)}
	k, last := newTestKeeper(c)
	k.OfferEndpoints(table(7, "a", "b", "c"), c.now, "store")
	c.now = c.now.Add(5 * time.Second)
	k.OfferEndpoints(table(9, "a"), c.now, "store")
	if got := names(last); got != "abc" {
		t.Errorf("right after the outage endpoints are %s", got)
	}
	c.now = c.now.Add(time.Second)
	k.OfferEndpoints(table(10, "a", "b"), c.now, "store")
	if got := names(last); got != "abc" {
		t.Errorf("one second later endpoints are %s", got)
	}
	c.now = c.now.Add(testBack)
	k.OfferEndpoints(table(10, "a", "b"), c.now, "store")
	if got := names(last); got != "ab" {
		t.Errorf("in the end endpoints are %s", got)
	}
}

// TestARemovalCountsAtOnce shows that without an outage what the store lacks is gone.
func TestARemovalCountsAtOnce(t *testing.T) {
	c := &manual{now: clock.Instant(time.Hour)}
	k, last := newTestKeeper(c)
	k.OfferEndpoints(table(7, "a", "b"), c.now, "store")
	c.now = c.now.Add(time.Second)
	k.OfferEndpoints(table(8, "a"), c.now, "store")
	if got := names(last); got != "a" {
		t.Errorf("endpoints %s", got)
	}
}

// TestOtherObjectsOfTheStoreMoveNoTable shows that a table that only bears a newer version is
// known to be fresh and is not handed on.
func TestOtherObjectsOfTheStoreMoveNoTable(t *testing.T) {
	c := &manual{now: clock.Instant(time.Hour)}
	k, _ := newTestKeeper(c)
	k.OfferEndpoints(table(7, "a", "b"), c.now, "store")
	c.now = c.now.Add(time.Second)
	k.OfferEndpoints(table(9, "a", "b"), c.now, "store")
	if v := k.Versions()[DocumentEndpoints]; v != 7 || k.Age() != 0 {
		t.Errorf("version %d, age %s", v, k.Age())
	}
	leaving := table(10, "a", "b")
	leaving.List[1].Leaving = true
	k.OfferEndpoints(leaving, c.now, "store")
	if v := k.Versions()[DocumentEndpoints]; v != 10 {
		t.Errorf("version %d after an endpoint began to leave", v)
	}
}

func TestDocumentsPassBetweenVMs(t *testing.T) {
	c := &manual{now: clock.Instant(time.Hour)}
	from, _ := newTestKeeper(c)
	to, last := newTestKeeper(c)
	if err := from.OfferConfiguration([]byte("4"), "store"); err != nil {
		t.Fatal(err)
	}
	from.OfferEndpoints(table(9, "a"), c.now.Add(-300*time.Millisecond), "store")
	for i, version := range from.Versions() {
		if !to.Wants(i, version) {
			t.Errorf("document %d is not wanted", i)
		}
		_, body, err := from.Body(i)
		if err != nil {
			t.Fatal(err)
		}
		if err := to.Offer(i, body, from.Age(), "other"); err != nil {
			t.Fatal(err)
		}
		if to.Wants(i, version) {
			t.Errorf("document %d is wanted again", i)
		}
	}
	if !to.Ready() || names(last) != "a" || to.Age() != 300*time.Millisecond {
		t.Errorf("ready %v, endpoints %s, age %s", to.Ready(), names(last), to.Age())
	}
	odd, err := pack([]byte{0xc1})
	if err != nil {
		t.Fatal(err)
	}
	for _, body := range [][]byte{{0xc1}, odd, nil} {
		if err := to.Offer(DocumentEndpoints, body, 0, "other"); err == nil {
			t.Errorf("the table %x was taken", body)
		}
	}
}

// TestATableIsHandedOnInLittleSpace: with 20 VMs that ask at once a table must not fill the link
// of a small VM, which takes 12 kB in 10 ms.
func TestATableIsHandedOnInLittleSpace(t *testing.T) {
	c := &manual{now: clock.Instant(time.Hour)}
	k, _ := newTestKeeper(c)
	e := traffic.Endpoints{Version: 7}
	for i := range 150 {
		e.List = append(e.List, traffic.Endpoint{
			ID: traffic.EndpointID{Name: fmt.Sprintf("i-%010x", 7919*i*i), Born: int64(1_790_000_000_000 + 7717*i)}, Service: "wuse12a",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 4), 64, byte(i)}), 8181), DataCentre: fmt.Sprint("dc-", i%4), Slots: 64,
			Stage: traffic.Stage(1 + i%2), Version: uint64(1000 + i),
		})
	}
	k.OfferEndpoints(e, c.now, "store")
	version, body, err := k.Body(DocumentEndpoints)
	if err != nil || version != 7 || len(body) > 10_000 {
		t.Errorf("version %d, %d bytes, error %v", version, len(body), err)
	}
	if _, again, err := k.Body(DocumentEndpoints); err != nil || &again[0] != &body[0] {
		t.Error("the same version is packed twice")
	}
}

// source counts reads, and may be away.
type source struct {
	mu     sync.Mutex
	reads  int
	away   bool
	config string
}

func (s *source) Endpoints(context.Context) (traffic.Endpoints, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.away {
		return traffic.Endpoints{}, errors.New("away")
	}
	return table(1, "a"), nil
}

// set has the store go away or return, and counts anew.
func (s *source) set(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.reads = away, 0
}

func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *source) Configuration(context.Context) ([]byte, error) { return []byte(s.config), nil }

// TestOneVMReads shows that of two VMs that hear each other one reads, and that the other reads
// when the first is cut off from the store.
func TestOneVMReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewProcess()
		a, _ := newTestKeeper(now)
		b, _ := newTestKeeper(now)
		sa, sb := &source{config: "1"}, &source{config: "1"}
		ctx, stop := context.WithCancel(t.Context())
		for rank, one := range []struct {
			k *Keeper
			s *source
		}{{a, sa}, {b, sb}} {
			f := &Follower{Keeper: one.k, Source: one.s, Rank: func() int { return rank }, Log: zap.NewNop()}
			go f.Run(ctx)
		}
		beats := func(d time.Duration) {
			for range d / (200 * time.Millisecond) {
				time.Sleep(200 * time.Millisecond)
				b.Confirm(a.Versions()[DocumentEndpoints], a.Age())
				a.Confirm(b.Versions()[DocumentEndpoints], b.Age())
			}
		}
		beats(10 * time.Second)
		if a, b := sa.count(), sb.count(); a < 10 || b > 2 {
			t.Errorf("the first read %d times, the second %d times", a, b)
		}
		sa.set(true)
		beats(5 * time.Second)
		if sb.count() < 4 {
			t.Errorf("with the first cut off the second read %d times", sb.count())
		}
		if age := a.Age(); age > 2*time.Second {
			t.Errorf("the VM that is cut off has a table of age %s", age)
		}
		stop()
		synctest.Wait()
	})
}

// TestAnOutageCostsFewCalls shows how often the VMs of a large data centre call a store that is
// away, and that they go by a new table soon after its return.
func TestAnOutageCostsFewCalls(t *testing.T) {
	const vms, outage, most = 21, 10 * time.Second, 100
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewProcess()
		ctx, stop := context.WithCancel(t.Context())
		s := &source{config: "1"}
		var keepers []*Keeper
		for rank := range vms {
			k, _ := newTestKeeper(now)
			keepers = append(keepers, k)
			f := &Follower{Keeper: k, Source: s, Rank: func() int { return rank }, Log: zap.NewNop()}
			go f.Run(ctx)
		}
		beats := func(d time.Duration) {
			for range d / (100 * time.Millisecond) {
				time.Sleep(100 * time.Millisecond)
				for _, from := range keepers {
					for _, to := range keepers {
						to.Confirm(from.Versions()[DocumentEndpoints], from.Age())
					}
				}
			}
		}
		beats(5 * time.Second)
		s.set(true)
		beats(outage)
		if reads := s.count(); reads > most {
			t.Errorf("%d VMs called a store that is away %d times in %s, want %d at the most", vms, reads, outage, most)
		}
		s.set(false)
		beats(2 * time.Second)
		for rank, k := range keepers {
			if age := k.Age(); age > 2*time.Second {
				t.Errorf("VM %d has a table of age %s", rank, age)
			}
		}
		stop()
		synctest.Wait()
	})
}
