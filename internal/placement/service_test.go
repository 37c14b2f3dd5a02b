package placement_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/placement"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEngine reports no load and no cache events.
type fakeEngine struct{ endpoint.Engine }

func (fakeEngine) Load(context.Context) (endpoint.Load, error) { return endpoint.Load{}, nil }

func (fakeEngine) Events(ctx context.Context, _ uint64) ([]endpoint.CacheEvent, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

type fakeDialer struct{}

func (fakeDialer) Engine(netip.AddrPort) endpoint.Engine { return fakeEngine{} }

// fakeDirectory is shared by all VMs of a test. A suspect VM is removed from the view
// immediately.
type fakeDirectory struct {
	self membership.Member
	view *atomic.Pointer[membership.View]
}

func (d fakeDirectory) View() *membership.View { return d.view.Load() }

func (d fakeDirectory) ReportUnreachable(vm ident.VM) {
	old := d.view.Load()
	next := &membership.View{}
	for _, m := range old.Members {
		if m.VM == vm {
			m.State = membership.Suspect
		}
		next.Members = append(next.Members, m)
	}
	d.view.Store(next)
}

// node is one VM of a test.
type node struct {
	member    membership.Member
	service   *placement.Service
	transport *peer.Transport
	stop      context.CancelFunc
	wg        sync.WaitGroup
}

func (n *node) kill() {
	n.stop()
	n.transport.Close()
	n.wg.Wait()
}

// startFleet starts VMs in one region with one prefill endpoint and two decode endpoints of the
// given number of slots.
func startFleet(t *testing.T, slots int, names ...string) map[string]*node {
	t.Helper()
	link := int64(10_000_000_000)
	snap := &configuration.Snapshot{Version: 1, Document: configuration.Document{
		DataCentres: map[string]configuration.DataCentre{"dc": {Region: "r"}},
		Models: map[string]configuration.Model{"m": {
			KVBytesPerToken: 1000, PrefillTokensPerSecond: 1_000_000, GapBaseMicros: 10_000, GapPerSlotMicros: 1000, PrefillTTLMillis: 800,
		}},
		Endpoints: map[string]configuration.Endpoint{
			"p0": {Role: configuration.RolePrefill, Model: "m", DataCentre: "dc", Address: "127.0.0.1:1", LinkBytesPerSecond: link},
			"d0": {Role: configuration.RoleDecode, Model: "m", DataCentre: "dc", Address: "127.0.0.1:2", Slots: slots, LinkBytesPerSecond: link},
			"d1": {Role: configuration.RoleDecode, Model: "m", DataCentre: "dc", Address: "127.0.0.1:3", Slots: slots, LinkBytesPerSecond: link},
		},
	}}
	view := &atomic.Pointer[membership.View]{}
	nodes := map[string]*node{}
	listeners := map[string]net.Listener{}
	first := &membership.View{}
	for _, name := range names {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[name] = ln
		vm := ident.VM{Name: name, Incarnation: 1}
		m := membership.Member{VM: vm, DataCentre: "dc", Region: "r", State: membership.Alive, PeerAddress: netip.MustParseAddrPort(ln.Addr().String())}
		nodes[name] = &node{member: m, transport: peer.New(peer.Options{Self: vm})}
		first.Members = append(first.Members, m)
	}
	view.Store(first)
	for _, n := range nodes {
		n.service = placement.New(placement.Options{
			Self:          n.member,
			Directory:     fakeDirectory{n.member, view},
			Transport:     n.transport,
			Dialer:        fakeDialer{},
			Configuration: func() *configuration.Snapshot { return snap },
			Clock:         clock.BootTime{},
			Policy:        placement.PolicyPredictive,
		})
		ctx, stop := context.WithCancel(t.Context())
		n.stop = stop
		n.wg.Go(func() { _ = n.transport.Serve(listeners[n.member.VM.Name]) })
		n.wg.Go(func() { n.service.Run(ctx) })
		t.Cleanup(n.kill)
	}
	return nodes
}

// ownerAndNext returns the cell's owner and the VM that succeeds it.
func ownerAndNext(nodes map[string]*node) (owner, next *node) {
	view := &membership.View{}
	for _, n := range nodes {
		view.Members = append(view.Members, n.member)
	}
	m, _ := view.Owner("m@r", func(membership.Member) bool { return true })
	second, _ := view.Owner("m@r", func(o membership.Member) bool { return o.VM != m.VM })
	return nodes[m.VM.Name], nodes[second.VM.Name]
}

func request(n *node, seq uint64) placement.Request {
	return placement.Request{
		ID:              ident.RequestID{VM: n.member.VM, Seq: seq},
		Workspace:       "w",
		Model:           "m",
		Class:           configuration.Urgent,
		PromptTokens:    100,
		MaxOutputTokens: 300,
		FirstToken:      5 * time.Second,
		Gap:             time.Second,
		Deadline:        30 * time.Second,
		NeedPrefill:     true,
	}
}

// waitFor polls condition until it holds or the test ends.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-t.Context().Done():
			t.Fatal("condition not reached: " + what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func running(n *node) int {
	total := 0
	for _, s := range n.service.Summary() {
		total += s.Running
	}
	return total
}

func TestOwnerCountsPlacementsOfAllVMs(t *testing.T) {
	nodes := startFleet(t, 1, "a", "b", "c")
	owner, _ := ownerAndNext(nodes)
	var leases []placement.Lease
	chosen := map[string]bool{}
	for _, n := range nodes {
		if n == owner {
			continue
		}
		l, err := n.service.Place(t.Context(), request(n, 1))
		if err != nil {
			t.Fatal(err)
		}
		leases = append(leases, l)
		chosen[l.Assignment().Decode] = true
	}
	if len(chosen) != 2 {
		t.Fatalf("two VMs were assigned %v, want one slot of each decode endpoint", chosen)
	}
	waitFor(t, "owner counts both claims", func() bool { return running(owner) == 2 })
	waiting := make(chan placement.Lease)
	go func() {
		l, err := owner.service.Place(t.Context(), request(owner, 1))
		if err != nil {
			t.Error(err)
		}
		waiting <- l
	}()
	leases[0].Progress(placement.StagePrefillDone)
	leases[0].Progress(placement.StageTransferDone)
	leases[0].Release()
	leases[0].Release()
	third := <-waiting
	if got, want := third.Assignment().Decode, leases[0].Assignment().Decode; got != want {
		t.Fatalf("placed at %s, want the released slot of %s", got, want)
	}
	third.Release()
	leases[1].Release()
	waitFor(t, "all claims are released", func() bool { return running(owner) == 0 })
}

func TestPlaceKeepsWaitingUntilContextEnds(t *testing.T) {
	nodes := startFleet(t, 1, "a", "b")
	owner, other := ownerAndNext(nodes)
	var leases []placement.Lease
	for seq := range uint64(2) {
		l, err := other.service.Place(t.Context(), request(other, seq+1))
		if err != nil {
			t.Fatal(err)
		}
		leases = append(leases, l)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	_, err := other.service.Place(ctx, request(other, 3))
	if d := fault.DetailOf(err); d.Kind != fault.Timeout || d.Execution != fault.NotExecuted {
		t.Fatalf("got %+v, want a timeout marked as not executed", d)
	}
	for _, l := range leases {
		l.Release()
	}
	l, err := other.service.Place(t.Context(), request(other, 4))
	if err != nil {
		t.Fatal(err)
	}
	l.Release()
	waitFor(t, "all claims are released", func() bool { return running(owner) == 0 })
}

// lateContext has a deadline, but its timer fires only after the test.
type lateContext struct {
	context.Context
	deadline time.Time
}

func (c lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

// TestOwnDeadlineIsNotAnOwnerFailure guards against a takeover of the cell at the end of a request:
// the owner answers that the request's time is over before the timer of the sender has fired.
func TestOwnDeadlineIsNotAnOwnerFailure(t *testing.T) {
	nodes := startFleet(t, 1, "a", "b")
	owner, other := ownerAndNext(nodes)
	for seq := range uint64(2) {
		l, err := other.service.Place(t.Context(), request(other, seq+1))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Release()
	}
	ctx := lateContext{t.Context(), time.Now().Add(50 * time.Millisecond)}
	if l, err := other.service.Place(ctx, request(other, 3)); !fault.Is(err, fault.Timeout) {
		t.Fatalf("got %v, %v; want a timeout: both slots are taken", l, err)
	}
	waitFor(t, "the owner counts both claims", func() bool { return running(owner) == 2 })
}

func TestNextOwnerRestoresLiveLeases(t *testing.T) {
	nodes := startFleet(t, 2, "a", "b", "c")
	owner, next := ownerAndNext(nodes)
	var third *node
	for _, n := range nodes {
		if n != owner && n != next {
			third = n
		}
	}
	old, err := third.service.Place(t.Context(), request(third, 1))
	if err != nil {
		t.Fatal(err)
	}
	old.Progress(placement.StagePrefillDone)
	owner.kill()
	l, err := third.service.Place(t.Context(), request(third, 2))
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "next owner has both claims", func() bool { return running(next) == 2 })
	old.Release()
	l.Release()
	waitFor(t, "all claims are released", func() bool { return running(next) == 0 })
}

func TestReassignAvoidsFailedEndpoints(t *testing.T) {
	nodes := startFleet(t, 2, "a", "b")
	owner, other := ownerAndNext(nodes)
	l, err := other.service.Place(t.Context(), request(other, 1))
	if err != nil {
		t.Fatal(err)
	}
	l.Progress(placement.StagePrefillDone)
	failed := l.Assignment()
	moved, err := l.Reassign(t.Context(), failed.Decode, false)
	if err != nil || moved.Decode == failed.Decode || moved.Prefill != failed.Prefill {
		t.Fatalf("reassigned from %+v to %+v, error %v", failed, moved, err)
	}
	if _, err = l.Reassign(t.Context(), moved.Decode, true); !fault.Is(err, fault.Unavailable) {
		t.Fatalf("got %v, want unavailable because both decode endpoints failed", err)
	}
	l.Release()
	waitFor(t, "all claims are released", func() bool { return running(owner) == 0 })
}

func TestPlaceWithoutEndpointsIsUnavailable(t *testing.T) {
	nodes := startFleet(t, 1, "a")
	r := request(nodes["a"], 1)
	r.Model = "unknown"
	_, err := nodes["a"].service.Place(t.Context(), r)
	if d := fault.DetailOf(err); d.Kind != fault.Unavailable || d.Execution != fault.NotExecuted {
		t.Fatalf("got %+v, want unavailable marked as not run", d)
	}
}
