package limiter

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/platform"
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

// Options configure a Service.
type Options struct {
	Self      membership.Member
	Directory membership.Directory
	Store     platform.Store
	Lister    platform.VMLister
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
	Rate       int64  `json:"rate"`
	Burst      int64  `json:"burst"`
	Balance    int64  `json:"balance"`
	// Held is the number of reservations that are not settled.
	Held int `json:"held"`
}

// Service is the limiter of one VM.
type Service struct {
	opts    Options
	mu      sync.Mutex
	buckets map[string]*bucket
	seq     uint64
}

// New makes a Service and registers its message handlers with the transport.
func New(o Options) *Service {
	return &Service{opts: o, buckets: map[string]*bucket{}}
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) { <-ctx.Done() }

// Stop hands this VM's shares over.
func (s *Service) Stop(context.Context) {}

// Status gives the shares that this VM holds.
func (s *Service) Status() []ShareStatus { return nil }

// Reserve implements Limiter.
func (s *Service) Reserve(_ context.Context, workspace string, tokens int64) (Reservation, error) {
	snap := s.opts.Configuration()
	if snap == nil {
		return nil, fault.New(fault.Unavailable, "retry shortly or ask another VM", "no configuration yet")
	}
	plan, ok := planOf(&snap.Document, workspace)
	if !ok {
		return nil, fault.New(fault.Forbidden, "ask the operator for a plan", "workspace has no plan")
	}
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[workspace]
	if b == nil {
		b = newBucket(now, plan, true)
		s.buckets[workspace] = b
	}
	if have := b.available(now); have < tokens {
		wait := time.Duration((tokens - have) * unit / max(1, b.rate))
		return nil, fault.New(fault.OverPlan, "wait or ask for a larger plan", "workspace is over its plan", fault.WithRetryAfter(wait))
	}
	s.seq++
	id := partID{vm: s.opts.Self.VM, seq: s.seq}
	b.debit(now, id, tokens, false)
	return &localReservation{s: s, b: b, id: id}, nil
}

type localReservation struct {
	s  *Service
	b  *bucket
	id partID
}

// Settle implements Reservation.
func (r *localReservation) Settle(used int64) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.b.settle(r.s.opts.Clock.Now(), r.id, used)
}

var _ Limiter = (*Service)(nil)
