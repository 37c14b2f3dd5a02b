package sweep_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/sweep"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// engine is a fake that keeps allocations until they are cancelled.
type engine struct {
	endpoint.Engine
	mu        sync.Mutex
	allocated map[string]bool
	cancelled chan string
	// cancelLost contains the requests whose first cancel was dropped.
	cancelLost map[string]bool
}

func (e *engine) Allocations(context.Context) ([]endpoint.Allocation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []endpoint.Allocation
	for r := range e.allocated {
		out = append(out, endpoint.Allocation{Attempt: endpoint.Attempt{RequestID: r, Number: 1}, AgeMillis: 1000})
	}
	return out, nil
}

func (e *engine) Cancel(_ context.Context, request string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cancelLost[request] {
		e.cancelLost[request] = true
		return context.DeadlineExceeded
	}
	if e.allocated[request] {
		delete(e.allocated, request)
		e.cancelled <- request
	}
	return nil
}

// dialer returns the same engine for every address.
type dialer struct{ engine *engine }

func (d dialer) Engine(netip.AddrPort) endpoint.Engine { return d.engine }

type directory struct{ view *membership.View }

func (d directory) View() *membership.View     { return d.view }
func (d directory) ReportUnreachable(ident.VM) {}

func listen(t *testing.T, vm ident.VM) (*peer.Transport, net.Listener) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return peer.New(peer.Options{Self: vm}), ln
}

// TestServicesFreeOrphanedAllocations runs the services of two of three VMs of a data centre. VM b was restarted
// and VM c does not respond.
func TestServicesFreeOrphanedAllocations(t *testing.T) {
	a, b := ident.VM{Name: "a", Incarnation: 5}, ident.VM{Name: "b", Incarnation: 5}
	previous, unreachable := ident.VM{Name: "b", Incarnation: 4}, ident.VM{Name: "c", Incarnation: 5}
	name := func(vm ident.VM, seq uint64) string { return ident.RequestID{VM: vm, Seq: seq}.String() }
	live := map[string]bool{name(a, 1): true, name(b, 1): true}
	orphaned := []string{name(a, 2), name(b, 2), name(previous, 1), name(unreachable, 1)}
	e := &engine{allocated: map[string]bool{"other-system": true}, cancelLost: map[string]bool{}, cancelled: make(chan string, 10)}
	for r := range live {
		e.allocated[r] = true
	}
	for _, r := range orphaned {
		e.allocated[r] = true
	}
	snapshot := &configuration.Snapshot{Version: 1, Document: configuration.Document{
		DataCentres: map[string]configuration.DataCentre{"dc": {Region: "r"}},
		Endpoints:   map[string]configuration.Endpoint{"e": {Model: "m", Role: configuration.RoleDecode, DataCentre: "dc", Address: "127.0.0.1:1"}},
	}}
	closed, ln := listen(t, unreachable)
	_ = ln.Close()
	closed.Close()
	members := []membership.Member{{VM: unreachable, DataCentre: "dc", Region: "r", State: membership.Suspect, PeerAddress: netip.MustParseAddrPort(ln.Addr().String())}}
	transports := map[string]*peer.Transport{}
	listeners := map[string]net.Listener{}
	for _, vm := range []ident.VM{a, b} {
		transports[vm.Name], listeners[vm.Name] = listen(t, vm)
		addr := netip.MustParseAddrPort(listeners[vm.Name].Addr().String())
		members = append(members, membership.Member{VM: vm, DataCentre: "dc", Region: "r", State: membership.Alive, PeerAddress: addr})
	}
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, self := range members[1:] {
		tr := transports[self.VM.Name]
		s := sweep.New(sweep.Options{
			Self:          self,
			Directory:     directory{&membership.View{Self: self, Members: members}},
			Transport:     tr,
			Dialer:        dialer{e},
			Configuration: func() *configuration.Snapshot { return snapshot },
			Clock:         clock.BootTime{},
			IsLive:        func(r string) bool { return live[r] },
		})
		wg.Go(func() { _ = tr.Serve(listeners[self.VM.Name]) })
		wg.Go(func() { s.Run(ctx) })
	}
	freed := map[string]bool{}
	for range orphaned {
		freed[<-e.cancelled] = true
	}
	stop()
	for _, tr := range transports {
		tr.Close()
	}
	wg.Wait()
	for _, r := range orphaned {
		if !freed[r] {
			t.Errorf("allocation of %s was not freed", r)
		}
	}
	for r := range live {
		if e.cancelLost[r] {
			t.Errorf("live request %s was cancelled", r)
		}
	}
	if !e.allocated["other-system"] {
		t.Error("allocation of another system was cancelled")
	}
}
