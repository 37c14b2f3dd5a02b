package exchange

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Registry is where VMs find each other.
type Registry interface {
	// Register enters this VM.
	Register(ctx context.Context, m Member) error
	// Members gives all entries; late ones may be seconds old, and cost less.
	Members(ctx context.Context, late bool) ([]Member, error)
	// Withdraw removes this VM's entry.
	Withdraw(ctx context.Context, m Member) error
}

// Work is told what other VMs hold, and tells what this one does.
type Work interface {
	HeardWork(vm ident.VM, seq uint64, id traffic.EndpointID, w schedule.Work)
	HeardAllWork(vm ident.VM, seq uint64, all map[traffic.EndpointID]schedule.Work)
	// HeardDataCentre is told what the VMs of another data centre hold together.
	HeardDataCentre(name string, seq uint64, all map[traffic.EndpointID]schedule.Work)
	ForgetDataCentre(name string)
	HeardFailure(id traffic.EndpointID, o schedule.Outcome)
	Forget(vm ident.VM)
	// Held gives what this VM holds, by data centre of the endpoints.
	Held() (seq uint64, byDataCentre map[string]map[traffic.EndpointID]schedule.Work)
	// HeldTogether gives what this VM and others hold in sum, but for endpoints of one data
	// centre.
	HeldTogether(others []ident.VM, except string) map[traffic.EndpointID]schedule.Work
	// SetOrder is told of the VMs that tell each other everything, in an order that is the same
	// at all, and of this one's place among them.
	SetOrder(order []ident.VM, self int)
	// SetFarLate is told whether VMs of other data centres tell late what they hold.
	SetFarLate(late bool)
}

// Plans is told what other VMs counted for plans and the retry budget, and tells what this one
// did.
type Plans interface {
	// Heard is told what another VM counted since it last told.
	Heard(c admission.Count, n int64)
	// Own gives what this VM counted since it started.
	Own() map[admission.Count]int64
	// HeardWindow is told what another VM knows to have been used in the window of plans.
	HeardWindow(tokens map[string]int64)
	// HeardFar is told what the VMs of another data centre admitted in the window of plans;
	// Window gives the same of those that tell each other everything, as far as this one knows,
	// and whether that is all.
	HeardFar(dataCentre string, tokens map[string]int64)
	Window() (tokens map[string]int64, whole bool)
	// Fleet is told which parts of the fleet and of plans are those of the VMs that this one hears.
	Fleet(p admission.Parts)
}

// Documents are numbered from 0, the same on all VMs.
type Documents interface {
	// Versions gives the version of each document, 0 for none.
	Versions() []uint64
	// Wants reports whether a newer version that another VM has is of use here.
	Wants(document int, version uint64) bool
	// Body encodes a document.
	Body(document int) (version uint64, body []byte, err error)
	// Offer takes a document that another VM has, of an age as that VM's Age.
	Offer(document int, body []byte, age time.Duration, from string) error
	// Age is the time since the documents are known to have been the store's newest.
	Age() time.Duration
	// Confirm takes over that the store held a version of the last document at an age.
	Confirm(version uint64, age time.Duration)
}

// Options configure a Service.
type Options struct {
	Self      Member
	Clock     clock.Clock
	Transport *peer.Transport
	Registry  Registry
	Work      Work
	Plans     Plans
	Documents Documents
	Log       *zap.Logger
}

// Service sends and takes the messages.
type Service struct {
	opts Options
	// changed wakes the teller of what is pending.
	changed  chan struct{}
	failures chan failure

	mu     sync.Mutex
	roster *roster
	// pending is work that changed and is not told yet, by data centre of the endpoints.
	pending map[string]map[traffic.EndpointID]schedule.Work
	// toldFar holds the data centres whose VMs were told of work there, and how often that is
	// still to be repeated once there is none.
	toldFar map[string]int
	seq     uint64
	counted map[admission.Count]int64
	lines   map[netip.AddrPort]*line
	leaving bool
	// fullAt is when all that this VM holds was last told, 0 if it is to be told next.
	fullAt clock.Instant
	// digests counts those that came, so that a later one takes the place of an earlier one.
	digests uint64
	asking  map[int]bool
	ctx     context.Context
	wg      sync.WaitGroup
}

const (
	// failureBacklog is the most failures that wait to be told; more are dropped, as each VM
	// finds out for itself.
	failureBacklog = 64
	// askTimeout bounds the fetching of a document from another VM.
	askTimeout = time.Second
	// registryRetry is the pause after a failed call to the registry.
	registryRetry = 500 * time.Millisecond
	// registryPeriod is the time between looks for VMs that no heartbeat made known.
	registryPeriod = 15 * time.Second
	// farRepeats is how often a VM repeats that it holds nothing in another data centre, as one
	// message may be lost.
	farRepeats = 3
	// gatherTime is how long changes of work are gathered into one message.
	gatherTime = time.Millisecond
)

// New makes a Service and registers its handlers.
func New(o Options) *Service {
	s := &Service{
		opts: o, changed: make(chan struct{}, 1), failures: make(chan failure, failureBacklog), roster: newRoster(o.Self),
		pending: map[string]map[traffic.EndpointID]schedule.Work{}, toldFar: map[string]int{}, counted: map[admission.Count]int64{},
		lines: map[netip.AddrPort]*line{}, asking: map[int]bool{},
	}
	peer.Handle(o.Transport, peer.KindHeartbeat, s.onBeat)
	peer.Handle(o.Transport, peer.KindWork, s.onChanges)
	peer.Handle(o.Transport, peer.KindEndpointFailure, s.onFailure)
	peer.Handle(o.Transport, peer.KindDocument, s.onAsk)
	peer.Handle(o.Transport, peer.KindDigest, s.onDigest)
	return s
}

// WorkChanged notes what this VM now holds at an endpoint, to be told to the others. A later
// change takes the place of one not told yet, so nothing grows while they cannot be reached.
func (s *Service) WorkChanged(seq uint64, id traffic.EndpointID, dataCentre string, w schedule.Work) {
	s.mu.Lock()
	s.seq = max(s.seq, seq)
	if s.pending[dataCentre] == nil {
		s.pending[dataCentre] = map[traffic.EndpointID]schedule.Work{}
	}
	s.pending[dataCentre][id] = w
	s.mu.Unlock()
	s.wake()
}

// Counted notes what this VM has counted since it started. Calls, and in a large fleet tokens
// too, are told with the next change of work or heartbeat.
func (s *Service) Counted(c admission.Count, total int64) {
	s.mu.Lock()
	s.counted[c] = total
	urgent := c.Of == admission.Extra || c.Of == admission.Tokens && !s.roster.large()
	s.mu.Unlock()
	if urgent {
		s.wake()
	}
}

func (s *Service) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Failed notes that an endpoint broke off or was found dead.
func (s *Service) Failed(id traffic.EndpointID, o schedule.Outcome) {
	select {
	case s.failures <- failure{Name: id.Name, Born: id.Born, Outcome: o}:
	default:
	}
}

// Run tells and finds the others until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.wg.Go(func() { s.find(ctx) })
	s.wg.Go(func() { s.tellChanges(ctx) })
	s.wg.Go(func() { s.digestLoop(ctx) })
	s.beatLoop(ctx)
	s.wg.Wait()
}

// Leave tells the others that this VM takes no more calls, and withdraws its entry.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.beat()
	if err := s.opts.Registry.Withdraw(ctx, s.opts.Self); err != nil {
		s.opts.Log.Warn("entry not withdrawn", zap.Error(err))
	}
}

// find enters this VM, then looks for others. As each VM enters before it looks, of any two
// the later one finds the earlier, and its heartbeat makes it known there.
func (s *Service) find(ctx context.Context) {
	registered, looked := false, false
	for {
		wait := registryPeriod
		if !registered {
			err := s.opts.Registry.Register(ctx, s.opts.Self)
			if registered = err == nil; !registered {
				s.opts.Log.Warn("not registered", zap.Error(err))
				wait = registryRetry
			}
		}
		if members, err := s.opts.Registry.Members(ctx, looked); err != nil {
			s.opts.Log.Warn("members not read", zap.Error(err))
			wait = registryRetry
		} else {
			s.take(members)
			looked = registered
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (s *Service) take(members []Member) {
	s.mu.Lock()
	fresh := s.roster.listed(s.opts.Clock.Now(), members)
	if len(fresh) > 0 {
		s.fullAt = 0
	}
	s.mu.Unlock()
	for _, m := range fresh {
		s.opts.Log.Info("vm listed", zap.String("vm", m.VM.Name), zap.Stringer("address", m.Address), zap.String("data_centre", m.DataCentre))
	}
	if len(fresh) > 0 {
		s.beat()
	}
}

// First reports whether this VM comes first of all that hear each other.
func (s *Service) First() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.first()
}

// Rank gives the number of VMs that come before this one, of those that tell each other
// everything.
func (s *Service) Rank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.rank()
}

func (s *Service) beatLoop(ctx context.Context) {
	for {
		s.mu.Lock()
		period := s.roster.period()
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(period):
		}
		s.watch()
		s.beat()
	}
}

// watch marks silent and gone VMs.
func (s *Service) watch() {
	s.mu.Lock()
	if s.leaving { // the others tell this VM nothing more
		s.mu.Unlock()
		return
	}
	silent, gone := s.roster.pass(s.opts.Clock.Now())
	known, heard := s.roster.counts()
	parts := s.roster.parts()
	order, self := s.roster.order()
	for _, m := range gone {
		s.hangUp(m.Address)
	}
	s.mu.Unlock()
	s.opts.Plans.Fleet(parts)
	s.opts.Work.SetOrder(order, self)
	s.opts.Work.SetFarLate(parts.Split < 1)
	for _, m := range silent {
		s.opts.Log.Warn("vm silent", zap.Stringer("vm", m.VM), zap.Int("known", known), zap.Int("heard", heard))
		s.opts.Work.Forget(m.VM)
	}
	s.forgetUnheard()
	for _, m := range gone {
		s.opts.Log.Warn("vm gone", zap.Stringer("vm", m.VM), zap.Int("known", known), zap.Int("heard", heard))
	}
}
