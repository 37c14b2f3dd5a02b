package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// baseline contains the buckets of the policies static and home, which serve as baselines for
// measurements. Neither enforces the plan when a VM fails or VMs disagree on which are live.
type baseline struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

func newBaseline() *baseline { return &baseline{buckets: map[string]*bucket{}} }

// reserve takes tokens from a 1/vms fraction of a plan.
func (b *baseline) reserve(now clock.Instant, snap *configuration.Snapshot, id grantID, req *ReserveRequest, vms int) ReserveReply {
	if snap == nil {
		return ReserveReply{Status: StatusNoPlan}
	}
	plan, ok := PlanLimit(&snap.Document, req.Workspace)
	if !ok {
		return ReserveReply{Status: StatusNoPlan}
	}
	l := Limit{Rate: plan.Rate / int64(vms), Burst: plan.Burst / int64(vms)}
	b.mu.Lock()
	defer b.mu.Unlock()
	bkt := b.buckets[req.Workspace]
	if bkt == nil {
		bkt = newBucket(now, l, true)
		b.buckets[req.Workspace] = bkt
	}
	bkt.setLimit(now, l)
	if _, ok := bkt.find(id); !ok {
		if balance := bkt.available(now); balance < req.Tokens {
			return ReserveReply{Status: statusInsufficient, Balance: balance}
		}
		bkt.debit(now, id, req.Tokens, false)
	}
	return ReserveReply{Status: statusGranted, Granted: req.Tokens, Balance: bkt.available(now)}
}

func (b *baseline) settle(now clock.Instant, id grantID, item Settlement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bkt := b.buckets[item.Workspace]; bkt != nil {
		bkt.settle(now, id, item.Used)
	}
}

// baselineReservation implements Reservation for the baseline policies.
type baselineReservation struct {
	s      *Service
	holder ident.VM
	item   Settlement
	once   sync.Once
}

// Settle implements Reservation.
func (r *baselineReservation) Settle(used int64) {
	r.once.Do(func() {
		r.item.Used = used
		if r.holder == r.s.opts.Self.VM {
			r.s.baseline.settle(r.s.opts.Clock.Now(), grantID{r.holder, r.item.Seq}, r.item)
			return
		}
		r.s.settlements.add(r.holder, r.item, false)
	})
}

func (s *Service) reserveBaseline(ctx context.Context, snap *configuration.Snapshot, workspace string, plan Limit, tokens int64) (Reservation, error) {
	view := s.view()
	owner, vms := s.opts.Self, 1
	if s.opts.Policy == PolicyStatic {
		vms = liveVMs(view)
	} else if m, ok := view.Owner(workspace, func(membership.Member) bool { return true }); ok {
		owner = m
	}
	req := &ReserveRequest{Workspace: workspace, Seq: s.seq.Add(1), Tokens: tokens, Mode: modeAllOrNothing}
	reply, err := s.requestBaseline(ctx, snap, owner, req, vms)
	if err != nil {
		return nil, err
	}
	if reply.Status != statusGranted {
		rate := max(1, plan.Rate/int64(vms))
		wait := time.Duration((tokens-reply.Balance)*unitsPerToken/rate + 1)
		return nil, fault.New(fault.PlanExceeded, "retry after the stated time or ask for a larger plan", "workspace exceeds the rate and burst of its plan", fault.WithRetryAfter(wait))
	}
	return &baselineReservation{s: s, holder: owner.VM, item: Settlement{Workspace: workspace, Seq: req.Seq}}, nil
}

func (s *Service) requestBaseline(ctx context.Context, snap *configuration.Snapshot, owner membership.Member, req *ReserveRequest, vms int) (ReserveReply, error) {
	if owner.VM == s.opts.Self.VM {
		return s.baseline.reserve(s.opts.Clock.Now(), snap, grantID{owner.VM, req.Seq}, req, vms), nil
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := peer.Call[ReserveRequest, ReserveReply](call, s.opts.Transport, owner.PeerAddress, peer.KindLimiterReserve, req)
	if err != nil {
		return ReserveReply{}, fault.Wrap(err, fault.Unavailable, "retry shortly or ask another VM", "the workspace's home VM did not reply")
	}
	return *reply, nil
}

func liveVMs(v *membership.View) int {
	n := 0
	for _, m := range v.Members {
		if m.State == membership.Alive {
			n++
		}
	}
	return max(1, n)
}
