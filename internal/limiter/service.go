package limiter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/duty"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// Policies of the limiter.
const (
	// PolicyPooled draws on the shares of all data centres.
	PolicyPooled = "pooled"
	// PolicyStatic gives each live VM an equal part; a baseline.
	PolicyStatic = "static"
	// PolicyHome holds each workspace's whole plan at one VM; a baseline.
	PolicyHome = "home"
)

const (
	// callTimeout bounds one call to a share holder.
	callTimeout = 150 * time.Millisecond
	// inboxCapacity is the most inputs that wait for the holder machine; beyond it a
	// reserve request fails as Overloaded and a Settlement is lost.
	inboxCapacity = 8192
	// stopPoll is the time between looks at the shards left during a planned stop.
	stopPoll = 20 * time.Millisecond
)

// Options configure a Service.
type Options struct {
	Self      membership.Member
	Directory membership.Directory
	Store     objectstore.Store
	Lister    objectstore.VMLister
	Transport *peer.Transport
	Clock     clock.Clock
	// Configuration gives the snapshot in force, nil while there is none.
	Configuration func() *configuration.Snapshot
	// Policy is pooled, static or home; empty means pooled.
	Policy string
	Log    *zap.Logger
}

// ShareStatus is one workspace's share as its holder sees it.
type ShareStatus struct {
	Workspace  string `json:"workspace"`
	DataCentre string `json:"data_centre"`
	Shard      int    `json:"shard"`
	Term       uint64 `json:"term"`
	// Rate is in tokens a second, Burst and Balance are in tokens.
	Rate    int64 `json:"rate"`
	Burst   int64 `json:"burst"`
	Balance int64 `json:"balance"`
	// Held is the number of reservations that are not settled.
	Held int `json:"held"`
}

// Service is the limiter of one VM.
type Service struct {
	opts     Options
	loop     *duty.Loop[Input, Action]
	worker   *worker
	settler  *settler
	records  *records
	baseline *baseline
	calls    calls
	seq      atomic.Uint64
	waited   atomic.Bool // no record of the own data centre for bootstrapLimit

	mu    sync.Mutex
	hints Hints
}

// New makes a Service and registers its message handlers with the transport.
func New(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Policy == "" {
		o.Policy = PolicyPooled
	}
	s := &Service{opts: o, hints: Hints{}, baseline: newBaseline(), calls: newCalls()}
	s.worker = newWorker(s)
	s.records = newRecords(o.Store, o.Self.DataCentre)
	s.records.ask = s.askRecord
	s.settler = newSettler(s.sendSettlements)
	s.loop = duty.NewLoop(duty.Options[Input, Action]{
		Machine:  NewHolder(o.Self.VM, o.Self.DataCentre),
		Clock:    o.Clock,
		Capacity: inboxCapacity,
		Tick:     func() Input { return TickIn{View: s.view(), Snapshot: o.Configuration()} },
		Period:   tickPeriod,
		Perform:  s.worker.perform,
	})
	if o.Transport != nil {
		s.register(o.Transport)
	}
	return s
}

// Ready reports whether requests can be admitted: the holders of the own data centre's shares
// are known, or could not be learnt for a while, so that only other shares can serve.
func (s *Service) Ready() bool {
	if s.opts.Policy != PolicyPooled {
		return true
	}
	return s.waited.Load() || s.records.get(s.opts.Self.DataCentre) != nil
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, part := range []func(context.Context){s.worker.run, s.settler.run} {
		wg.Go(func() { part(ctx) })
	}
	if s.opts.Policy == PolicyPooled {
		wg.Go(func() { s.bootstrap(ctx) })
		s.loop.Run(ctx)
	}
	wg.Wait()
}

// Stop hands this VM's shares to other VMs of its data centre, and returns when all are
// handed over, when nobody can take them, or when ctx ends. Run must still be running.
func (s *Service) Stop(ctx context.Context) {
	if s.opts.Policy != PolicyPooled || s.loop.Put(ctx, StopIn{}) != nil {
		return
	}
	for {
		out, err := s.status(ctx)
		if err != nil || out.Leaving == 0 {
			s.settler.flush()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(stopPoll):
		}
	}
}

// Status gives the shares that this VM holds.
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
	defer s.calls.drop(call)
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

// view gives the directory's view with this VM in it.
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

// member finds a VM that may be called.
func (s *Service) member(vm ident.VM) (membership.Member, bool) {
	m, ok := s.known(vm)
	return m, ok && (m.State == membership.Alive || m.State == membership.Leaving)
}

// known finds a VM of the view in any state.
func (s *Service) known(vm ident.VM) (membership.Member, bool) {
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
	plan, ok := PlanOf(&snap.Document, workspace)
	if !ok {
		return nil, fault.New(fault.Forbidden, "ask the operator for a plan", "workspace has no plan")
	}
	if tokens > plan.Burst {
		return nil, fault.New(fault.TooLarge, "send a shorter prompt or a smaller max_tokens, or ask for a plan with a larger burst", "request is larger than the burst of the plan")
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
