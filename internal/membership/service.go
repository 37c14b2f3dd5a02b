package membership

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/duty"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
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
	// Confirmed is 1 + the age in milliseconds of the latest moment at which the sender's data
	// centre knew all withdrawals known elsewhere; 0 is never.
	Confirmed uint32
	// Asked is set by the receiver: when it asked for this digest, 0 for one that came unasked.
	// What the digest states was true at that instant or later.
	Asked clock.Instant `msgpack:"-"`
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
	Lister objectstore.VMLister
	// Seeds are addresses asked for members at start.
	Seeds []netip.AddrPort
	// Log gets a line for each change of a member's state.
	Log *zap.Logger
	// Digest gives what this VM holds; nil means nothing.
	Digest func() Digest
	// OnDigest is told of what another VM holds; nil ignores it. It must not block.
	OnDigest func(from Member, d Digest)
}

// inboxInputs is the most inputs that wait for the machine. When it is full a call's evidence is
// dropped, as the next failed call repeats it; all else waits.
const inboxInputs = 1024

// goodbyeTimeout bounds the messages of the last moment.
const goodbyeTimeout = 300 * time.Millisecond

// listTimeout bounds one read of the platform's list.
const listTimeout = time.Second

// Service keeps this VM's view of the fleet.
type Service struct {
	opts    Options
	loop    *duty.Loop[input, action]
	view    atomic.Pointer[View]
	work    sync.WaitGroup
	ctx     context.Context
	running chan struct{}
	nextID  atomic.Uint64
	left    atomic.Bool

	mu       sync.Mutex
	waiting  map[uint64]chan *Message
	onChange []func(*View)
}

var _ Directory = (*Service)(nil)

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
	s := &Service{opts: o, running: make(chan struct{}), waiting: map[uint64]chan *Message{}}
	m := newMachine(o.Self, o.Seeds)
	s.view.Store(m.view)
	s.loop = duty.NewLoop(duty.Options[input, action]{
		Machine:  m,
		Clock:    o.Clock,
		Capacity: inboxInputs,
		Tick:     func() input { return tick{} },
		Period:   TickPeriod,
		Perform:  s.perform,
	})
	peer.Handle(o.Transport, peer.KindMembership, s.handle)
	return s
}

// View gives the present picture of the fleet.
func (s *Service) View() *View { return s.view.Load() }

// OnChange adds a function that is called after each change of the view. It must not block.
func (s *Service) OnChange(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// Suspect reports that a call to a VM failed without an answer. The VM is probed at once.
func (s *Service) Suspect(vm ident.VM) { s.loop.Offer(evidence{vm}) }

// Run keeps the view until ctx ends. After Leave it then tells the others goodbye.
func (s *Service) Run(ctx context.Context) {
	s.ctx = ctx
	close(s.running)
	s.loop.Run(ctx)
	s.work.Wait()
	if s.left.Load() {
		s.sayGoodbye()
	}
}

// Leave tells the other VMs of a planned stop: this VM is to own nothing new.
func (s *Service) Leave(ctx context.Context) error {
	s.left.Store(true)
	if err := s.loop.Put(ctx, leave{}); err != nil {
		return fault.Wrap(err, fault.Timeout, "stop anyway: the other VMs find out by themselves", "leave")
	}
	return nil
}

// sayGoodbye tells the other VMs directly that this life is over.
func (s *Service) sayGoodbye() {
	ctx, cancel := context.WithTimeout(context.Background(), goodbyeTimeout)
	defer cancel()
	v := s.View()
	rec := Record{VM: v.Self.VM, DataCentre: v.Self.DataCentre, Region: v.Self.Region, Peer: v.Self.Peer, Flags: FlagGone | FlagLeaving}
	msg := &Message{Op: OpUpdate, Records: []Record{rec}}
	var wg sync.WaitGroup
	for _, m := range v.Members {
		bridge := slices.ContainsFunc(v.Bridges(m.DataCentre), func(b Member) bool { return b.VM == m.VM })
		if m.VM == v.Self.VM || m.State == Gone || m.DataCentre != v.Self.DataCentre && !bridge {
			continue
		}
		wg.Go(func() {
			_, _ = peer.Call[Message, Message](ctx, s.opts.Transport, m.Peer, peer.KindMembership, msg)
		})
	}
	wg.Wait()
}

func (s *Service) handle(ctx context.Context, from ident.VM, msg *Message) (*Message, error) {
	select {
	case <-s.running:
	default:
		return nil, fault.New(fault.Unavailable, "try again in a second", "this VM is starting")
	}
	id := s.nextID.Add(1)
	answer := make(chan *Message, 1)
	if msg.Op != OpUpdate {
		s.mu.Lock()
		s.waiting[id] = answer
		s.mu.Unlock()
		defer s.forget(id)
	}
	if err := s.loop.Put(ctx, request{id: id, from: from, msg: msg}); err != nil {
		return nil, fault.Wrap(err, fault.Timeout, "try again", "membership message")
	}
	if msg.Op == OpUpdate {
		return &Message{}, nil
	}
	select {
	case out := <-answer:
		return out, nil
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Timeout, "try again", "membership message")
	}
}

func (s *Service) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}
