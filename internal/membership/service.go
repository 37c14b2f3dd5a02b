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
	"github.com/fulmartide/fulmartide/internal/eventloop"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// Digest summarizes a VM's versions. It is attached to heartbeats so that peers detect what they
// lack.
type Digest struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Configuration is the version of the current configuration.
	Configuration uint64
	// Keys is the version of the current key list.
	Keys uint64
	// WithdrawnHash is a hash of the key withdrawals that the key list does not yet contain.
	WithdrawnHash uint64
	// ConfirmedAge is 1 plus the age in milliseconds of the latest time at which the sender's data
	// centre had all withdrawals known elsewhere, or 0 if there was none.
	ConfirmedAge uint32
	// RequestedAt is set by the receiver to the time of its request, or 0 if the digest was not
	// requested. The content of the digest was valid at that time or later.
	RequestedAt clock.Instant `msgpack:"-"`
}

// Options configures a Service.
type Options struct {
	// Self is this VM.
	Self Member
	// Clock is the time source.
	Clock clock.Clock
	// Transport carries the messages; New registers the handler of KindMembership.
	Transport *peer.Transport
	// Lister reads the platform's list of VMs; nil means that there is none.
	Lister objectstore.VMLister
	// Seeds are addresses of VMs that are contacted at startup.
	Seeds []netip.AddrPort
	// Log receives a line for each change of a member's state.
	Log *zap.Logger
	// Digest returns this VM's digest; nil means an empty one.
	Digest func() Digest
	// OnDigest is called with the digests of other VMs. It must not block and may be nil.
	OnDigest func(from Member, d Digest)
}

// inboxCapacity is the maximum number of inputs queued for the machine. When the queue is full,
// reports of failed calls are dropped, as the next failed call repeats them; other inputs block.
const inboxCapacity = 1024

// leaveTimeout is the timeout of the messages that announce the end of this process.
const leaveTimeout = 300 * time.Millisecond

// listTimeout is the timeout of a read of the platform's list.
const listTimeout = time.Second

// Service maintains this VM's view of the fleet.
type Service struct {
	opts    Options
	loop    *eventloop.Loop[input, action]
	view    atomic.Pointer[View]
	tasks   sync.WaitGroup
	ctx     context.Context
	running chan struct{}
	nextID  atomic.Uint64
	leaving atomic.Bool

	mu             sync.Mutex
	pendingReplies map[uint64]chan *Message
	onChange       []func(*View)
}

var _ Directory = (*Service)(nil)

// New returns a Service and registers its handler with the transport.
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
	s := &Service{opts: o, running: make(chan struct{}), pendingReplies: map[uint64]chan *Message{}}
	m := newMachine(o.Self, o.Seeds)
	s.view.Store(m.view)
	s.loop = eventloop.NewLoop(eventloop.Options[input, action]{
		Machine:  m,
		Clock:    o.Clock,
		Capacity: inboxCapacity,
		Tick:     func() input { return tick{} },
		Period:   TickPeriod,
		Perform:  s.perform,
	})
	peer.Handle(o.Transport, peer.KindMembership, s.handle)
	return s
}

// View returns the current view of the fleet.
func (s *Service) View() *View { return s.view.Load() }

// OnChange registers a function that is called after each change of the view. It must not block.
func (s *Service) OnChange(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// ReportUnreachable reports that a call to a VM failed without an answer. The VM is probed
// immediately.
func (s *Service) ReportUnreachable(vm ident.VM) { s.loop.TryPut(callFailed{vm}) }

// Run updates the view until ctx ends. If Leave was called, it then announces to the other VMs
// that this incarnation has ended.
func (s *Service) Run(ctx context.Context) {
	s.ctx = ctx
	close(s.running)
	s.loop.Run(ctx)
	s.tasks.Wait()
	if s.leaving.Load() {
		s.announceGone()
	}
}

// Leave announces a graceful shutdown, after which this VM is not assigned new ownership.
func (s *Service) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	if err := s.loop.Put(ctx, leave{}); err != nil {
		return fault.Wrap(err, fault.Timeout, "stop anyway: the other VMs will detect it", "leave")
	}
	return nil
}

// announceGone notifies the members of this data centre and the bridges of the others that this
// incarnation has ended.
func (s *Service) announceGone() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	v := s.View()
	rec := Record{VM: v.Self.VM, DataCentre: v.Self.DataCentre, Region: v.Self.Region, PeerAddress: v.Self.PeerAddress, Flags: FlagGone | FlagLeaving}
	msg := &Message{Op: OpUpdate, Records: []Record{rec}}
	var wg sync.WaitGroup
	for _, m := range v.Members {
		bridge := slices.ContainsFunc(v.Bridges(m.DataCentre), func(b Member) bool { return b.VM == m.VM })
		if m.VM == v.Self.VM || m.State == Gone || m.DataCentre != v.Self.DataCentre && !bridge {
			continue
		}
		wg.Go(func() {
			_, _ = peer.Call[Message, Message](ctx, s.opts.Transport, m.PeerAddress, peer.KindMembership, msg)
		})
	}
	wg.Wait()
}

func (s *Service) handle(ctx context.Context, from ident.VM, msg *Message) (*Message, error) {
	select {
	case <-s.running:
	default:
		return nil, fault.New(fault.Unavailable, "retry in a second", "this VM is starting")
	}
	id := s.nextID.Add(1)
	replies := make(chan *Message, 1)
	if msg.Op != OpUpdate {
		s.mu.Lock()
		s.pendingReplies[id] = replies
		s.mu.Unlock()
		defer s.removePendingReply(id)
	}
	if err := s.loop.Put(ctx, request{id: id, from: from, msg: msg}); err != nil {
		return nil, fault.Wrap(err, fault.Timeout, "retry", "membership message")
	}
	if msg.Op == OpUpdate {
		return &Message{}, nil
	}
	select {
	case out := <-replies:
		return out, nil
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Timeout, "retry", "membership message")
	}
}

func (s *Service) removePendingReply(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingReplies, id)
}
