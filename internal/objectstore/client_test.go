package objectstore_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/test/standin"
	fake "github.com/fulmartide/fulmartide/test/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, o fake.Options) (*fake.Server, *objectstore.HTTPClient) {
	t.Helper()
	p := fake.New(o)
	s, err := standin.Serve(p.Handler())
	if err != nil {
		t.Fatal(err)
	}
	c := objectstore.NewHTTPClient(s.Addr(), time.Second)
	t.Cleanup(func() {
		c.Close()
		p.Close()
		s.Close()
	})
	return p, c
}

func wantKind(t *testing.T, err error, kind fault.Kind) {
	t.Helper()
	if !fault.Is(err, kind) {
		t.Fatalf("got error %v, want kind %s", err, kind)
	}
}

func TestObjects(t *testing.T) {
	p, c := start(t, fake.Options{})
	ctx := t.Context()
	const name = "ledger/shard 07?x=%2f"
	_, err := c.Get(ctx, name)
	wantKind(t, err, fault.NotFound)
	v1, err := c.Put(ctx, name, []byte("one"), 0)
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Put(ctx, name, []byte("other"), 0)
	wantKind(t, err, fault.Conflict)
	_, err = c.Put(ctx, name, make([]byte, objectstore.MaxValueBytes+1), v1)
	wantKind(t, err, fault.TooLarge)
	big := make([]byte, objectstore.MaxValueBytes)
	v2, err := c.Put(ctx, name, big, v1)
	if err != nil || v2 <= v1 {
		t.Fatalf("second write returned version %d after %d, error %v", v2, v1, err)
	}
	o, err := c.Get(ctx, name)
	if err != nil || o.Name != name || o.Version != v2 || len(o.Value) != len(big) {
		t.Fatalf("Get returned %q version %d with %d bytes, error %v", o.Name, o.Version, len(o.Value), err)
	}
	listed, err := c.List(ctx, "ledger/")
	if err != nil || len(listed) != 1 || listed[0].Version != v2 {
		t.Fatalf("List returned %v, error %v", listed, err)
	}
	if other, err := c.List(ctx, "led-"); err != nil || len(other) != 0 {
		t.Fatalf("List with another prefix returned %v, error %v", other, err)
	}
	if calls := p.Stats().Calls; calls["put"] != 3 || calls["get"] != 2 || calls["list"] != 2 {
		t.Fatalf("unexpected number of calls: %v", calls)
	}
}

func TestWatchReturnsNextVersion(t *testing.T) {
	p, c := start(t, fake.Options{})
	p.ForcePut("configuration", []byte("1"))
	got := make(chan objectstore.Object, 1)
	go func() {
		defer close(got)
		if o, err := c.Watch(context.Background(), "configuration", 1); err == nil {
			got <- o
		}
	}()
	for p.Stats().Calls["watch"] == 0 {
		time.Sleep(time.Millisecond)
	}
	p.ForcePut("configuration", []byte("2"))
	if o := <-got; o.Version != 2 || string(o.Value) != "2" {
		t.Fatalf("Watch returned %+v", o)
	}
}

// TestErrorKinds checks the error kind of each failure, and that a write whose response is lost takes effect.
func TestErrorKinds(t *testing.T) {
	p, c := start(t, fake.Options{ReadsPerSecond: 5})
	ctx := t.Context()
	p.DropWriteResponses(1)
	_, err := c.Put(ctx, "a", []byte("x"), 0)
	wantKind(t, err, fault.Unavailable)
	if o, ok := p.Object("a"); !ok || o.Version != 1 {
		t.Fatalf("after a write whose response was lost the object is %+v", o)
	}
	p.SetOutage(true)
	_, err = c.Get(ctx, "a")
	wantKind(t, err, fault.Unavailable)
	p.SetOutage(false)
	p.SetHang(true)
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	_, err = c.Get(short, "a")
	cancel()
	wantKind(t, err, fault.Timeout)
	p.SetHang(false)
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = c.Get(cancelled, "a")
	wantKind(t, err, fault.Cancelled)
	for err == nil || !fault.Is(err, fault.Overloaded) {
		if _, err = c.Get(ctx, "a"); err != nil {
			wantKind(t, err, fault.Overloaded)
		}
	}
}

func TestVMsReturnsDelayedList(t *testing.T) {
	p, c := start(t, fake.Options{ListLag: 100 * time.Millisecond})
	p.SetVMs([]objectstore.VM{{Name: "a", DataCentre: "porto-a"}})
	if vms, err := c.VMs(t.Context()); err != nil || len(vms) != 0 {
		t.Fatalf("VMs returned %v before the list lag passed, error %v", vms, err)
	}
	for {
		vms, err := c.VMs(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(vms) == 1 && vms[0].Name == "a" {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestStatusErrorKinds checks the error kind for each HTTP status. The empty body of a 200 response is invalid.
func TestStatusErrorKinds(t *testing.T) {
	want := map[int]fault.Kind{
		400: fault.Malformed, 404: fault.NotFound, 409: fault.Conflict, 412: fault.Conflict, 413: fault.TooLarge,
		429: fault.Overloaded, 408: fault.Timeout, 504: fault.Timeout, 500: fault.Unavailable, 502: fault.Unavailable,
		503: fault.Unavailable, 302: fault.Unavailable, 200: fault.Unavailable,
	}
	var status int
	s, err := standin.Serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := objectstore.NewHTTPClient(s.Addr(), time.Second)
	defer c.Close()
	for code, kind := range want {
		status = code
		_, err := c.Put(t.Context(), "a", nil, 0)
		wantKind(t, err, kind)
	}
}
