// Package resident joins the duties of one VM on an installation whose edge gives the ports: it
// makes them, serves until it is told to stop, and stops them in order.
package resident

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/exchange"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/inforce"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/rebalance"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Process is one life of a VM.
type Process struct {
	// Keeper holds what is in force, Front answers callers.
	Keeper *inforce.Keeper
	Front  Front

	settings Settings
	edge     Edge
	log      *zap.Logger
	set      *metrics.Set

	clock     clock.Boot
	gate      *admission.Controller
	scheduler *schedule.Scheduler
	transport *peer.Transport
	exchange  *exchange.Service
	dispatch  *dispatch.Dispatcher
	follower  *inforce.Follower
	layout    *rebalance.Rebalancer

	stopping atomic.Bool
	wg       sync.WaitGroup
}

const (
	// memoryPart is the part of the memory limit at which garbage is collected more often.
	memoryPart = 0.6
	// missedBeats is the number of heartbeats from which the store may drop an endpoint that
	// could not reach it.
	missedBeats = 2
	// entriesBack is how long after an outage of the store entries may take to come back.
	entriesBack = 2 * time.Second
	// initialVMs stands for the size of the fleet until others are heard.
	initialVMs = 8
)

// New makes a Process; no duty of it runs yet.
func New(s Settings, e Edge, log *zap.Logger, set *metrics.Set) *Process {
	p := &Process{settings: s, edge: e, log: log, set: set}
	incarnation := ident.Incarnation(time.Now().UnixNano())
	self := exchange.Member{VM: ident.VM{Name: s.VMName, Incarnation: incarnation}, Address: s.Peers, DataCentre: s.DataCentre}
	p.transport = peer.New(peer.Options{Self: self.VM, Log: log.Named("peer")})
	p.gate = admission.NewController(p.clock, s.Retries, s.Plans, initialVMs,
		func(c admission.CounterKey, total int64) { p.exchange.Counted(c, total) })
	p.scheduler = schedule.New(schedule.Options{
		Clock: p.clock, DataCentre: s.DataCentre, Seed: uint64(incarnation),
		OnWorkChange: func(seq uint64, id traffic.EndpointID, dataCentre string, w schedule.Work) {
			p.exchange.WorkChanged(seq, id, dataCentre, w)
		},
		OnFailure: func(id traffic.EndpointID, o schedule.Outcome) { p.exchange.Failed(id, o) },
	})
	p.Keeper = inforce.New(inforce.Options{
		Clock: p.clock, Log: log.Named("inforce"), Decode: e.Decode, Changed: p.changed,
		Lapse: missedBeats * s.HeartbeatPeriod, Back: entriesBack,
	})
	p.exchange = exchange.New(exchange.Options{
		Self: self, Clock: p.clock, Transport: p.transport, Registry: e.Registry,
		Work: p.scheduler, Plans: p.gate, Documents: p.Keeper, Log: log.Named("exchange"),
	})
	p.dispatch = dispatch.New(dispatch.Options{
		Clock: p.clock, Configuration: p.Keeper.Configuration, Scheduler: p.scheduler, Backend: e.Backend, Gate: p.gate,
		Log: log.Named("dispatch"), Metrics: set, Seed: uint64(incarnation),
	})
	p.Front = e.Front(p.dispatch, p.Keeper.Configuration)
	p.buildDuties()
	return p
}

// changed hands what is in force to the scheduler.
func (p *Process) changed(c *traffic.Configuration, e traffic.Endpoints) {
	if c != nil {
		p.scheduler.UpdateEndpoints(e, c.Services)
	}
}

// buildDuties makes what goes on beside calls.
func (p *Process) buildDuties() {
	p.follower = &inforce.Follower{
		Keeper: p.Keeper, Rank: p.exchange.Rank, Read: p.exchange.Tell, Log: p.log.Named("follower"),
		Source: p.edge.Source,
	}
	p.layout = &rebalance.Rebalancer{
		Self: p.settings.VMName, Clock: p.clock, Store: p.edge.Leases, Engines: p.edge.Engines, Pools: p.scheduler,
		IsLeader: func() bool { return p.exchange.First() && !p.stopping.Load() }, LeaseDuration: p.settings.LeaseTime, Log: p.log.Named("layout"),
	}
}
