package replication_test

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/replication"
	"github.com/fulmartide/fulmartide/test/controlfleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type staticDirectory struct{ view *membership.View }

func (d staticDirectory) View() *membership.View     { return d.view }
func (d staticDirectory) ReportUnreachable(ident.VM) {}

type testReplica struct {
	replica *replication.Replica
	member  membership.Member
	adopted chan *replication.Table
}

// startReplica starts a replica whose directory contains the other members.
func startReplica(t *testing.T, name string, store *controlfleet.Client, attached []string, onAttached func([]string), others ...membership.Member) *testReplica {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(ln.Addr().String())
	self := membership.Member{VM: ident.VM{Name: name, Incarnation: 1}, DataCentre: name, PeerAddress: addr, State: membership.Alive}
	tr := peer.New(peer.Options{Self: self.VM})
	r := &testReplica{member: self, adopted: make(chan *replication.Table, 64)}
	r.replica = replication.New(replication.Options{
		Object: "object", Kind: peer.KindKeys, Store: store, Transport: tr, Clock: clock.BootTime{}, Log: zap.NewNop(),
		Directory: staticDirectory{&membership.View{Self: self, Members: append(others, self)}},
		Decode: func(value []byte) (entries map[string]string, err error) {
			return entries, json.Unmarshal(value, &entries)
		},
		OnAdopt:         func(t *replication.Table, _ replication.Origin) { r.adopted <- t },
		AttachedNames:   func() []string { return attached },
		OnAttachedNames: onAttached,
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = tr.Serve(ln) })
	wg.Go(func() { r.replica.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tr.Close()
		wg.Wait()
	})
	return r
}

func putObject(t *testing.T, p *controlfleet.Platform, value string, base uint64) uint64 {
	t.Helper()
	v, err := p.ClientFor("").Put(t.Context(), "object", []byte(value), base)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func TestAttachedNamesAreDeliveredBeforeTable(t *testing.T) {
	p := controlfleet.NewPlatform(1)
	v := putObject(t, p, `{"a":"1"}`, 0)
	a := startReplica(t, "a", p.ClientFor("a"), []string{"withdrawn"}, func([]string) {})
	for (<-a.adopted).Version < v {
	}
	p.SetUnavailableFor("b", true)
	var deliveredFirst bool
	ready := make(chan struct{})
	var b *testReplica
	b = startReplica(t, "b", p.ClientFor("b"), nil, func(names []string) {
		<-ready
		deliveredFirst = len(names) == 1 && names[0] == "withdrawn" && len(b.adopted) == 0
	}, a.member)
	close(ready)
	b.replica.ObserveVersion(a.member.VM, v)
	if got := <-b.adopted; got.Version != v || got.Entries["a"] != "1" {
		t.Fatalf("pulled table is %+v", got)
	}
	if !deliveredFirst {
		t.Fatal("attached names were not delivered before the table")
	}
}

// TestLargeObjectIsPolledByVersion checks that a watcher does not read a large object repeatedly,
// and that it reads a change that no peer has pushed.
func TestLargeObjectIsPolledByVersion(t *testing.T) {
	p := controlfleet.NewPlatform(1)
	large := strings.Repeat("x", replication.MaxWatchedBytes)
	v := putObject(t, p, `{"a":"`+large+`"}`, 0)
	a := startReplica(t, "a", p.ClientFor("a"), nil, nil)
	for (<-a.adopted).Version < v {
	}
	p.TakeCalls()
	polled := func() bool { return p.CallCount("list") >= 3 }
	if !controlfleet.Await(10*time.Second, polled) {
		t.Fatal("the version was not polled")
	}
	if calls := p.TakeCalls(); calls["get"]+calls["watch"] > 1 {
		t.Fatalf("calls without a change of the object: %v", calls)
	}
	v = putObject(t, p, `{"a":"2"}`, v)
	if got := <-a.adopted; got.Version != v {
		t.Fatalf("adopted version %d, want %d", got.Version, v)
	}
}
