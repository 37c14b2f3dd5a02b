package membership

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/platform"
)

// Digest sums up what a VM holds. It rides on heartbeats, so that peers notice what they lack.
type Digest struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Configuration is the version of the configuration in force.
	Configuration uint64
	// Keys is the version of the key list in force.
	Keys uint64
	// Withdrawn is a hash of the withdrawals that the key list does not show yet.
	Withdrawn uint64
}

// Options configure a Service.
type Options struct {
	// Self is this VM.
	Self Member
	// Clock gives the time of decisions.
	Clock clock.Clock
	// Transport carries the messages; New registers the handler of KindMembership.
	Transport *peer.Transport
	// Lister reads the platform's list of VMs; nil means there is none.
	Lister platform.VMLister
	// Seeds are addresses asked for members at start.
	Seeds []netip.AddrPort
	// Log gets a line for each change of a member's state.
	Log *zap.Logger
	// Digest gives what this VM holds; nil means nothing.
	Digest func() Digest
	// OnDigest is told of what another VM holds; nil ignores it. It must not block.
	OnDigest func(from Member, d Digest)
}

// Service keeps this VM's view of the fleet.
type Service struct {
	opts Options
	view atomic.Pointer[View]

	mu       sync.Mutex
	members  map[string]Member
	onChange []func(*View)
}

type hello struct {
	Member Member
	Digest Digest
}

// New makes a Service and registers its handler with the transport.
func New(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Digest == nil {
		o.Digest = func() Digest { return Digest{} }
	}
	if o.OnDigest == nil {
		o.OnDigest = func(Member, Digest) {}
	}
	o.Self.State = Alive
	s := &Service{opts: o, members: map[string]Member{o.Self.VM.Name: o.Self}}
	s.publish()
	peer.Handle(o.Transport, peer.KindMembership, func(_ context.Context, _ ident.VM, req *hello) (*hello, error) {
		s.heard(*req)
		return s.hello(), nil
	})
	return s
}

func (s *Service) hello() *hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &hello{Member: s.members[s.opts.Self.VM.Name], Digest: s.opts.Digest()}
}

// View gives the present picture of the fleet.
func (s *Service) View() *View { return s.view.Load() }

// OnChange adds a function that is called after each change of the view.
func (s *Service) OnChange(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// Suspect reports that a call to a VM failed without an answer.
func (s *Service) Suspect(vm ident.VM) { s.setState(vm, Suspect) }

// Leave tells the other VMs of a planned stop.
func (s *Service) Leave(ctx context.Context) error {
	s.setState(s.opts.Self.VM, Leaving)
	s.beat(ctx)
	return nil
}

func (s *Service) setState(vm ident.VM, st State) {
	s.mu.Lock()
	m, ok := s.members[vm.Name]
	changed := ok && m.VM == vm && m.State != st && m.State != Gone
	if changed {
		m.State = st
		s.members[vm.Name] = m
	}
	s.mu.Unlock()
	if changed {
		s.publish()
	}
}

func (s *Service) heard(h hello) {
	s.mu.Lock()
	old := s.members[h.Member.VM.Name]
	changed := false
	if old.VM.Incarnation <= h.Member.VM.Incarnation && h.Member.VM.Name != s.opts.Self.VM.Name {
		if old.Peer.IsValid() {
			h.Member.Peer = old.Peer
		}
		changed = old != h.Member
		s.members[h.Member.VM.Name] = h.Member
	}
	s.mu.Unlock()
	if changed {
		s.publish()
	}
	s.opts.OnDigest(h.Member, h.Digest)
}

func (s *Service) publish() {
	s.mu.Lock()
	v := &View{Self: s.members[s.opts.Self.VM.Name]}
	for _, m := range s.members {
		if m.State != 0 {
			v.Members = append(v.Members, m)
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	s.view.Store(v)
	subs := slices.Clone(s.onChange)
	s.mu.Unlock()
	for _, f := range subs {
		f(v)
	}
}

// Run keeps the view until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		s.readList(ctx)
		s.beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Service) readList(ctx context.Context) {
	if s.opts.Lister == nil {
		return
	}
	vms, err := s.opts.Lister.VMs(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range vms {
		m := s.members[vm.Name]
		m.VM.Name, m.DataCentre, m.Peer = vm.Name, vm.DataCentre, vm.Address
		s.members[vm.Name] = m
	}
}

func (s *Service) beat(ctx context.Context) {
	s.mu.Lock()
	targets := map[netip.AddrPort]ident.VM{}
	for _, a := range s.opts.Seeds {
		targets[a] = ident.VM{}
	}
	for _, m := range s.members {
		if m.VM.Name != s.opts.Self.VM.Name {
			targets[m.Peer] = m.VM
		}
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for addr, vm := range targets {
		wg.Go(func() {
			cctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
			defer cancel()
			h, err := peer.Call[hello, hello](cctx, s.opts.Transport, addr, peer.KindMembership, s.hello())
			if err != nil {
				s.Suspect(vm)
				return
			}
			s.heard(*h)
		})
	}
	wg.Wait()
}
