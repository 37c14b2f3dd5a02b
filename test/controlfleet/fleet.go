package controlfleet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/keys"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// Fleet is a set of VMs with a shared platform.
type Fleet struct {
	Platform *Platform
	// Log receives the log entries of all VMs.
	Log *zap.Logger
	// OnFrameSent is called for each frame that a VM sends.
	OnFrameSent func(vm string, kind peer.Kind, bytes int)

	mu              sync.Mutex
	lastIncarnation uint64
	vms             map[string]*VM
}

// New returns a fleet without VMs.
func New(seed uint64) *Fleet {
	return &Fleet{
		Platform: NewPlatform(seed), Log: zap.NewNop(),
		OnFrameSent: func(string, peer.Kind, int) {}, vms: map[string]*VM{},
	}
}

// VM is a simulated VM with its membership, configuration and key services.
type VM struct {
	Member        membership.Member
	Membership    *membership.Service
	Configuration *configuration.Service
	Keys          *keys.Service

	transport *peer.Transport
	listener  net.Listener
	cancel    context.CancelFunc
	work      sync.WaitGroup
	stopped   atomic.Bool
}

// Start starts a VM, or a new incarnation of a stopped one. seeds are the addresses of other VMs.
func (f *Fleet) Start(name, dataCentre string, seeds ...netip.AddrPort) (*VM, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.lastIncarnation++
	incarnation := ident.Incarnation(f.lastIncarnation)
	f.mu.Unlock()
	addr := netip.MustParseAddrPort(ln.Addr().String())
	self := membership.Member{
		VM: ident.VM{Name: name, Incarnation: incarnation}, DataCentre: dataCentre, Region: "r", PeerAddress: addr,
	}
	f.Platform.SetListed(objectstore.VM{Name: name, DataCentre: dataCentre, Address: addr}, true)
	v := f.build(self, seeds)
	v.listener = ln
	f.mu.Lock()
	f.vms[name] = v
	f.mu.Unlock()
	v.run()
	return v, nil
}

func (f *Fleet) build(self membership.Member, seeds []netip.AddrPort) *VM {
	v := &VM{Member: self}
	log := f.Log.With(zap.String("at", self.VM.Name))
	client := f.Platform.ClientFor(self.DataCentre)
	v.transport = peer.New(peer.Options{Self: self.VM, Log: log, CountFrame: func(sent bool, kind peer.Kind, n int) {
		if sent {
			f.OnFrameSent(self.VM.Name, kind, n)
		}
	}})
	v.Membership = membership.New(membership.Options{
		Self: self, Clock: clock.BootTime{}, Transport: v.transport, Lister: client, Seeds: seeds, Log: log,
		Digest: func() (d membership.Digest) {
			v.Configuration.FillDigest(&d)
			v.Keys.FillDigest(&d)
			return d
		},
		OnDigest: func(from membership.Member, d membership.Digest) {
			v.Configuration.OnDigest(from, d)
			v.Keys.OnDigest(from, d)
		},
	})
	v.Configuration = configuration.NewService(configuration.Options{
		Store: client, Transport: v.transport, Directory: v.Membership, Clock: clock.BootTime{}, Log: log, Self: self,
	})
	v.Keys = keys.NewService(keys.Options{
		Store: client, Transport: v.transport, Directory: v.Membership, Clock: clock.BootTime{}, Log: log, Self: self,
		Configuration: v.Configuration.Current,
	})
	return v
}

func (v *VM) run() {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.work.Go(func() { _ = v.transport.Serve(v.listener) })
	v.work.Go(func() { v.Membership.Run(ctx) })
	v.work.Go(func() { v.Configuration.Run(ctx) })
	v.work.Go(func() { v.Keys.Run(ctx) })
}

// Kill stops a VM without notifying the others.
func (v *VM) Kill() {
	if v.stopped.Swap(true) {
		return
	}
	v.cancel()
	v.transport.Close()
	v.work.Wait()
}

// Stop announces to the other VMs that this VM is leaving, then stops it.
func (v *VM) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = v.Membership.Leave(ctx)
	if v.stopped.Swap(true) {
		return
	}
	v.cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.work.Wait()
	}()
	select {
	case <-done:
	case <-time.After(time.Second):
	}
	v.transport.Close()
	<-done
}

// Close kills all VMs.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var wg sync.WaitGroup
	for _, v := range f.vms {
		wg.Go(v.Kill)
	}
	wg.Wait()
}

// StartAll starts VMs in several data centres. VM i of data centre d is named vm-d-i, the data
// centre dc-d.
func (f *Fleet) StartAll(perDataCentre ...int) ([]*VM, error) {
	var out []*VM
	for d, n := range perDataCentre {
		for i := range n {
			v, err := f.Start(fmt.Sprintf("vm-%d-%d", d, i), fmt.Sprintf("dc-%d", d))
			if err != nil {
				return out, err
			}
			out = append(out, v)
		}
	}
	return out, nil
}

// Await polls condition until it returns true or the timeout has passed, and returns the result.
func Await(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}
