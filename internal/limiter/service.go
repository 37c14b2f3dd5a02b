package limiter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/eventloop"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// Limiter policies.
const (
	// PolicyPooled takes tokens from the shares of all data centres.
	PolicyPooled = "pooled"
	// PolicyStatic gives each live VM an equal fraction of the plan. It is a baseline for
	// measurements.
	PolicyStatic = "static"
	// PolicyHome keeps each workspace's entire plan on one VM. It is a baseline for measurements.
	PolicyHome = "home"
)

const (
	// callTimeout bounds one call to a shard holder.
	callTimeout = 150 * time.Millisecond
	// inboxCapacity is the maximum number of inputs queued for the holder state machine. When it
	// is full, reserve requests fail with Overloaded and settlements are dropped.
	inboxCapacity = 8192
	// stopPollInterval is how often Stop checks for shards that still have to be handed over.
	stopPollInterval = 20 * time.Millisecond
)

// Options configures a Service.
type Options struct {
	Self      membership.Member
	Directory membership.Directory
	Store     objectstore.Store
	Lister    objectstore.VMLister
	Transport *peer.Transport
	Clock     clock.Clock
	// Configuration returns the snapshot in force, or nil if there is none yet.
	Configuration func() *configuration.Snapshot
	// Policy is pooled, static or home. The default is pooled.
	Policy string
	Log    *zap.Logger
}

// ShareStatus describes one workspace's share as seen by its holder.
type ShareStatus struct {
	Workspace  string `json:"workspace"`
	DataCentre string `json:"data_centre"`
	Shard      int    `json:"shard"`
	Term       uint64 `json:"term"`
	// Rate is in tokens per second; Burst and Balance are in tokens.
	Rate    int64 `json:"rate"`
	Burst   int64 `json:"burst"`
	Balance int64 `json:"balance"`
	// Held is the number of unsettled reservations.
	Held int `json:"held"`
}

// Service is the limiter of one VM.
type Service struct {
	opts              Options
	loop              *eventloop.Loop[Input, Action]
	worker            *worker
	settlements       *settlementBatcher
	records           *recordCache
	baselineBuckets   *baselineBuckets
	calls             pendingCalls
	seq               atomic.Uint64
	bootstrapTimedOut atomic.Bool // no record of the local data centre was obtained within bootstrapTimeout

	mu    sync.Mutex
	hints Hints
}

// New returns a Service and registers its message handlers with the transport.
func New(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Policy == "" {
		o.Policy = PolicyPooled
	}
	s := &Service{opts: o, hints: Hints{}, baselineBuckets: newBaselineBuckets(), calls: newPendingCalls()}
	s.worker = newWorker(s)
	s.records = newRecordCache(o.Store, o.Self.DataCentre)
	s.records.fetch = s.fetchRecord
	s.settlements = newSettlementBatcher(s.sendSettlements)
	s.loop = eventloop.NewLoop(eventloop.Options[Input, Action]{
		Machine:  NewHolder(o.Self.VM, o.Self.DataCentre),
		Clock:    o.Clock,
		Capacity: inboxCapacity,
		Tick:     func() Input { return TickIn{View: s.view(), Snapshot: o.Configuration()} },
		Period:   tickPeriod,
		Perform:  s.worker.perform,
	})
	if o.Transport != nil {
		s.registerHandlers(o.Transport)
	}
	return s
}

// Ready reports whether requests can be admitted: either the holders of the local shares are
// known, or bootstrapTimeout has passed and only the shares of other data centres can be used.
func (s *Service) Ready() bool {
	if s.opts.Policy != PolicyPooled {
		return true
	}
	return s.bootstrapTimedOut.Load() || s.records.get(s.opts.Self.DataCentre) != nil
}

// Run runs the limiter until ctx is cancelled.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){s.worker.run, s.settlements.run} {
		wg.Go(func() { run(ctx) })
	}
	if s.opts.Policy == PolicyPooled {
		wg.Go(func() { s.bootstrap(ctx) })
		s.loop.Run(ctx)
	}
	wg.Wait()
}

// Stop hands over this VM's shards to other VMs of its data centre. It returns when all are
// handed over, when no other VM can take them, or when ctx is cancelled. Run must still be
// running.
func (s *Service) Stop(ctx context.Context) {
	if s.opts.Policy != PolicyPooled || s.loop.Put(ctx, StopIn{}) != nil {
		return
	}
	for {
		out, err := s.status(ctx)
		if err != nil || out.HandoversPending == 0 {
			s.settlements.flush()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(stopPollInterval):
		}
	}
}

// Status returns the shares held by this VM.
func (s *Service) Status() []ShareStatus {
	if s.opts.Policy != PolicyPooled {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	out, err := s.status(ctx)
	if err != nil {
		return nil
	}
	return out.Shares
}

func (s *Service) status(ctx context.Context) (StatusOut, error) {
	call, reply := s.calls.open()
	defer s.calls.cancel(call)
	if err := s.loop.Put(ctx, StatusIn{Call: call}); err != nil {
		return StatusOut{}, err
	}
	select {
	case out := <-reply:
		return out.(StatusOut), nil
	case <-ctx.Done():
		return StatusOut{}, ctx.Err()
	}
}

// view returns the directory's view, with this VM added if it is not listed.
func (s *Service) view() *membership.View {
	v := s.opts.Directory.View()
	if v == nil {
		v = &membership.View{Self: s.opts.Self}
	}
	for _, m := range v.Members {
		if m.VM == s.opts.Self.VM {
			return v
		}
	}
	self := s.opts.Self
	self.State = membership.Alive
	return &membership.View{Self: self, Members: append([]membership.Member{self}, v.Members...)}
}

// callableMember looks up a VM and reports whether it is in a state in which it can be called.
func (s *Service) callableMember(vm ident.VM) (membership.Member, bool) {
	m, ok := s.memberByVM(vm)
	return m, ok && (m.State == membership.Alive || m.State == membership.Leaving)
}

// memberByVM looks up a VM in the view regardless of its state.
func (s *Service) memberByVM(vm ident.VM) (membership.Member, bool) {
	for _, m := range s.view().Members {
		if m.VM == vm {
			return m, true
		}
	}
	return membership.Member{}, false
}

// Reserve implements Limiter.
func (s *Service) Reserve(ctx context.Context, workspace string, tokens int64) (Reservation, error) {
	snap := s.opts.Configuration()
	if snap == nil {
		return nil, fault.New(fault.Unavailable, "retry shortly or ask another VM", "this VM has no configuration yet")
	}
	plan, ok := PlanLimit(&snap.Document, workspace)
	if !ok {
		return nil, fault.New(fault.Forbidden, "ask the operator for a plan", "workspace has no plan")
	}
	if tokens > plan.Burst {
		return nil, fault.New(fault.TooLarge, "send a shorter prompt or a smaller max_tokens, or ask for a plan with a larger burst", "request exceeds the burst of the plan")
	}
	if tokens <= 0 {
		return &reservation{s: s}, nil
	}
	if s.opts.Policy != PolicyPooled {
		return s.reserveBaseline(ctx, snap, workspace, plan, tokens)
	}
	return s.reservePooled(ctx, snap, workspace, plan, tokens)
}

var _ Limiter = (*Service)(nil)
