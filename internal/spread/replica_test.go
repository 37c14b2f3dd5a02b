package spread_test

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
	"github.com/fulmartide/fulmartide/internal/spread"
	"github.com/fulmartide/fulmartide/test/spreadfleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixed struct{ view *membership.View }

func (f fixed) View() *membership.View { return f.view }
func (f fixed) Suspect(ident.VM)       {}

type site struct {
	replica *spread.Replica
	member  membership.Member
	adopted chan *spread.Table
}

// start starts a replica whose directory names the other members.
func start(t *testing.T, name string, store *spreadfleet.Port, beside []string, onBeside func([]string), others ...membership.Member) *site {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(ln.Addr().String())
	self := membership.Member{VM: ident.VM{Name: name, Incarnation: 1}, DataCentre: name, Peer: addr, State: membership.Alive}
	tr := peer.New(peer.Options{Self: self.VM})
	s := &site{member: self, adopted: make(chan *spread.Table, 64)}
	s.replica = spread.New(spread.Options{
		Object: "object", Kind: peer.KindKeys, Store: store, Transport: tr, Clock: clock.Boot{}, Log: zap.NewNop(),
		Directory: fixed{&membership.View{Self: self, Members: append(others, self)}},
		Decode: func(value []byte) (entries map[string]string, err error) {
			return entries, json.Unmarshal(value, &entries)
		},
		OnAdopt:  func(t *spread.Table, _ spread.Origin) { s.adopted <- t },
		Beside:   func() []string { return beside },
		OnBeside: onBeside,
	})
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	work.Go(func() { _ = tr.Serve(ln) })
	work.Go(func() { s.replica.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tr.Close()
		work.Wait()
	})
	return s
}

func put(t *testing.T, p *spreadfleet.Platform, value string, base uint64) uint64 {
	t.Helper()
	v, err := p.For("").Put(t.Context(), "object", []byte(value), base)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func TestNamesBesideATableComeBeforeIt(t *testing.T) {
	p := spreadfleet.NewPlatform(1)
	v := put(t, p, `{"a":"1"}`, 0)
	a := start(t, "a", p.For("a"), []string{"withdrawn"}, func([]string) {})
	for (<-a.adopted).Version < v {
	}
	p.SetAwayFor("b", true)
	var early bool
	ready := make(chan struct{})
	var b *site
	b = start(t, "b", p.For("b"), nil, func(names []string) {
		<-ready
		early = len(names) == 1 && names[0] == "withdrawn" && len(b.adopted) == 0
	}, a.member)
	close(ready)
	b.replica.OnDigest(a.member.VM, v)
	if got := <-b.adopted; got.Version != v || got.Entries["a"] != "1" {
		t.Fatalf("pulled %+v", got)
	}
	if !early {
		t.Fatal("the names beside the table did not come before it")
	}
}

// TestLargeObjectIsLookedAtByVersion checks that a watcher does not read a large object again
// and again, and reads a change of it that no peer brings.
func TestLargeObjectIsLookedAtByVersion(t *testing.T) {
	p := spreadfleet.NewPlatform(1)
	large := strings.Repeat("x", spread.MaxWatchedBytes)
	v := put(t, p, `{"a":"`+large+`"}`, 0)
	a := start(t, "a", p.For("a"), nil, nil)
	for (<-a.adopted).Version < v {
	}
	p.TakeCalls()
	looked := func() bool { return p.CallsOf("list") >= 3 }
	if !spreadfleet.Await(10*time.Second, looked) {
		t.Fatal("no looks at the version")
	}
	if calls := p.TakeCalls(); calls["get"]+calls["watch"] > 1 {
		t.Fatalf("calls without changes: %v", calls)
	}
	v = put(t, p, `{"a":"2"}`, v)
	if got := <-a.adopted; got.Version != v {
		t.Fatalf("adopted %d, want %d", got.Version, v)
	}
}
