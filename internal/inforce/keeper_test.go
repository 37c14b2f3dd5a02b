package inforce

import (
	"context"
	"errors"
	"strconv"
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
		if err := to.Offer(i, body, "other"); err != nil {
			t.Fatal(err)
		}
		if to.Wants(i, version) {
			t.Errorf("document %d is wanted again", i)
		}
	}
	if !to.Ready() || names(last) != "a" || to.Age() != 300*time.Millisecond {
		t.Errorf("ready %v, endpoints %s, age %s", to.Ready(), names(last), to.Age())
	}
	if err := to.Offer(DocumentEndpoints, []byte{0xc1}, "other"); err == nil {
		t.Error("a table that cannot be read was taken")
	}
}

// source counts reads, and may be away.
type source struct {
	reads  int
	away   bool
	config string
}

func (s *source) Endpoints(context.Context) (traffic.Endpoints, error) {
	s.reads++
	if s.away {
		return traffic.Endpoints{}, errors.New("away")
	}
	return table(1, "a"), nil
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
		if sa.reads < 10 || sb.reads > 2 {
			t.Errorf("the first read %d times, the second %d times", sa.reads, sb.reads)
		}
		sa.away = true
		beats(5 * time.Second)
		if sb.reads < 4 {
			t.Errorf("with the first cut off the second read %d times", sb.reads)
		}
		if age := a.Age(); age > 2*time.Second {
			t.Errorf("the VM that is cut off has a table of age %s", age)
		}
		stop()
		synctest.Wait()
	})
}
