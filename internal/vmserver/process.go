// Package vmserver runs the daemon of one VM: it wires its components to the platform of the
// installation, serves until it is stopped, and shuts the components down in order.
package vmserver

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/activeconfig"
	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/bodybuffer"
	"github.com/fulmartide/fulmartide/internal/callerconn"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/connbudget"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/forward"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/origin"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/quarantine"
	"github.com/fulmartide/fulmartide/internal/reach"
	"github.com/fulmartide/fulmartide/internal/rebalance"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/statesync"
	"github.com/fulmartide/fulmartide/internal/storekeeper"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Process is one run of the daemon.
type Process struct {
	// State holds the configuration and endpoint table in force. Handler serves callers.
	State   *activeconfig.State
	Handler CallerHandler

	settings Settings
	platform Platform
	log      *zap.Logger
	set      *metrics.Set

	clock      clock.BootTime
	admission  *admission.Controller
	scheduler  *schedule.Scheduler
	transport  *peer.Transport
	stateSync  *statesync.Service
	dispatch   *dispatch.Dispatcher
	refresher  *activeconfig.Refresher
	rebalancer *rebalance.Rebalancer
	quarantine *quarantine.Controller
	origins    *origin.Controller
	reach      *reach.Service
	forwarded  *forward.Server
	callers    *callerconn.Server
	// quarantineKeeper, versionKeeper and streamKeeper keep records in the store.
	quarantineKeeper, versionKeeper *storekeeper.Keeper
	streamKeeper                    *origin.StreamKeeper

	// connections bounds what the connections hold that others open to this process.
	connections *connbudget.Budget

	recorder *admission.Recorder
	// regions checks the home regions of configurations.
	regions regionCheck

	stopping atomic.Bool
	// running notes when this process had processor time.
	running clock.Running
	wg      sync.WaitGroup
}

const (
	// memoryFraction is the fraction of the memory limit above which the garbage collector runs
	// more often.
	memoryFraction = 0.6
	// bodyMemoryFraction is the part of the memory limit that request and response bodies may take, as its inverse.
	bodyMemoryFraction = 4
	// gcPercent is the growth of the heap between two collections, in percent. The live heap is a few
	// MiB, so that the default would collect every second on an idle VM.
	gcPercent = 300
	// missedHeartbeats is the number of missed heartbeats after which the store may remove an
	// endpoint.
	missedHeartbeats = 2
	// reregisterTime is the time that endpoints may take to register again after an outage of
	// the store.
	reregisterTime = 2 * time.Second
	// initialVMs is the fleet size assumed before heartbeats of other VMs arrive.
	initialVMs = 8
)

// New returns a Process whose components are not running yet.
func New(s Settings, platform Platform, log *zap.Logger, set *metrics.Set) *Process {
	p := &Process{settings: s, platform: platform, log: log, set: set, regions: newRegionCheck(s.Regions)}
	p.connections = p.newConnectionBudget()
	incarnation := ident.Incarnation(time.Now().UnixNano())
	self := statesync.Member{VM: ident.VM{Name: s.VMName, Incarnation: incarnation}, Address: s.Peers, DataCentre: s.DataCentre}
	p.transport = peer.New(peer.Options{
		Self: self.VM, Advertise: s.Peers, Log: log.Named("peer"), Metrics: set,
		Limits: peer.LimitsFor(s.MemoryBytes, connbudget.Connections(s.Descriptors)),
	})
	p.admission = admission.NewController(p.clock, s.RetryBudget, s.Plans, initialVMs,
		func(c admission.CounterKey, total int64) { p.stateSync.CounterChanged(c, total) })
	if s.FirstStart {
		p.admission.SetFirstStart()
	}
	p.observeRetryGrants()
	p.scheduler = schedule.New(schedule.Options{
		Clock: p.clock, DataCentre: s.DataCentre, Seed: uint64(incarnation),
		OnWorkChange: func(seq uint64, id traffic.EndpointID, dataCentre string, w schedule.Work) {
			p.stateSync.WorkChanged(seq, id, dataCentre, w)
		},
		OnFailure: func(id traffic.EndpointID, dataCentre string, o schedule.Outcome) {
			p.stateSync.EndpointFailed(id, dataCentre, o)
		},
		OnLimit: func(id traffic.EndpointID, dataCentre string, l schedule.Limit) {
			p.stateSync.LimitChanged(id, dataCentre, l)
		},
		OnPaceChange: p.sendPace,
		OnPath:       func(c schedule.PathChange) { p.reach.PathChanged(c) },
		OnHold:       p.logHold, DrainTime: s.DrainTime,
		OnCold: p.logCold, ColdBound: s.ColdBound, FirstStart: s.FirstStart,
	})
	p.scheduler.SetRegions(s.Regions)
	set.GetOrCreateGauge(`fulmartide_evacuated_data_centres`, func() float64 { return float64(p.scheduler.EvacuatedDataCentres()) })
	set.NewGauge(`fulmartide_slow_endpoints`, func() float64 { return float64(p.scheduler.SlowEndpoints()) })
	if platform.ObserveNotices != nil {
		platform.ObserveNotices(p.scheduler.RecordNotice)
	}
	p.quarantine = quarantine.NewController(quarantine.Options{
		Clock: p.clock, Log: log.Named("quarantine"), Metrics: set,
		OnChange: func(s quarantine.State) { p.stateSync.QuarantineChanged(s) }, OnQuarantine: func() { p.quarantineKeeper.Changed() },
		MayTry: func() bool { return p.stateSync.HasLowestAddress() },
	})
	p.quarantineKeeper = quarantine.NewKeeper(p.quarantine, platform.Quarantine, s.FirstStart, log.Named("quarantine"))
	p.buildOrigins(self.VM)
	p.State = activeconfig.New(activeconfig.Options{
		Self: self.VM, Clock: p.clock, Log: log.Named("inforce"), Decode: platform.Decode, OnChange: p.applyChange,
		EndpointTTL: missedHeartbeats * s.HeartbeatPeriod, ReregisterTime: reregisterTime, OnEra: p.enterEra,
		OnEvacuation: p.countEvacuation, LateBy: func() time.Duration { return p.running.LateBy(p.clock.Now()) },
	})
	if platform.SetTable != nil {
		platform.SetTable(p.State)
	}
	set.NewGauge(`fulmartide_store_age_seconds`, func() float64 { return p.State.Age().Seconds() })
	p.stateSync = statesync.New(statesync.Options{
		Self: self, Clock: p.clock, Transport: p.transport, Registry: platform.Registry,
		Work: p.scheduler, Plans: p.admission, Documents: p.State, Quarantine: p.quarantine, Origins: p.origins,
		Log: log.Named("exchange"),
	})
	bodies := bodybuffer.NewBudget(s.MemoryBytes/bodyMemoryFraction, set)
	p.buildForwarding(bodies)
	p.dispatch = dispatch.New(dispatch.Options{
		Clock: p.clock, Configuration: p.State.Configuration, ConfigurationAge: p.State.ConfigurationAge, Scheduler: p.scheduler, Backend: platform.Backend, Admission: p.admission,
		Quarantine: p.quarantine, Origins: p.origins, Bodies: bodies,
		ReachedElsewhere: p.reach.ReachedElsewhere, OnSilent: p.reach.Silent, Log: log.Named("dispatch"), Metrics: set, Seed: uint64(incarnation),
	})
	p.Handler = platform.NewHandler(p.dispatch, p.State.Configuration, bodies)
	p.buildBackgroundTasks()
	return p
}

// buildOrigins creates the components that remember where streams began.
func (p *Process) buildOrigins(self ident.VM) {
	log := p.log.Named("origin")
	p.origins = origin.NewController(origin.Options{
		Clock: p.clock, Log: log, Metrics: p.set, FirstStart: p.settings.FirstStart,
		Share: func(list []origin.Record) { p.stateSync.ShareOrigins(list) },
		Ask: func(ctx context.Context, k origin.Key) (traffic.StreamOrigin, bool) {
			return p.stateSync.AskOrigin(ctx, k)
		},
		Evidence:   p.platform.LifetimeEvidence,
		Reread:     func(ctx context.Context) bool { return p.State.Reread(ctx) },
		StoreAway:  func() bool { return p.State.StoreAway() },
		OnVersions: func() { p.versionKeeper.Changed() },
		OnOpen:     func() { p.streamKeeper.Changed() },
		Reload:     func(ctx context.Context) { p.streamKeeper.Reload(ctx) },
	})
	lowest := func() bool { return p.stateSync.HasLowestAddress() }
	p.versionKeeper = origin.NewKeeper(p.origins, p.platform.Versions, lowest, func() bool { return p.stateSync.IsFirstListed() }, p.settings.FirstStart, log)
	p.streamKeeper = origin.NewStreamKeeper(origin.StreamKeeperOptions{
		Self: self, Controller: p.origins, Store: p.platform.Streams, MayClean: lowest,
		Recorder:   func() (origin.Recorder, bool) { return p.stateSync.Recorder() },
		Send:       func(to netip.AddrPort, s *origin.Snapshot) { p.stateSync.SendOpenStreams(to, s) },
		FirstStart: p.settings.FirstStart, Clock: p.clock, Log: log, Metrics: p.set,
	})
}

// buildForwarding creates the components by which VMs send requests for each other.
func (p *Process) buildForwarding(bodies *bodybuffer.Budget) {
	p.forwarded = forward.NewServer(p.transport, forward.ServerOptions{
		Start: p.scheduler.StartForwarded, LastLook: p.scheduler.LastLook, Send: p.platform.SendForwarded, Bodies: bodies, Log: p.log.Named("forward"), Metrics: p.set,
	})
	if p.platform.SetForwarder != nil {
		p.platform.SetForwarder(&forward.Client{Opener: p.transport})
	}
	p.reach = reach.NewService(reach.Options{
		Paths: p.scheduler, Backend: p.platform.Backend, DataCentre: p.settings.DataCentre, Others: p.stateSync.Others,
		Transport: p.transport, Room: p.forwarded.Room, Log: p.log.Named("reach"),
	})
}

// logHold logs that this VM begins or ends to hold back calls from an endpoint.
func (p *Process) logHold(h schedule.Hold) {
	message, reason := "endpoint taken back", "answered"
	switch {
	case h.Leaving:
		message, reason = "endpoint held back", "leaving"
	case h.Pause > 0:
		message, reason = "endpoint held back", "pause"
	case h.Limited:
		message, reason = "endpoint held back", "limit"
	}
	p.set.GetOrCreateCounter(`fulmartide_endpoint_holds_total{reason="` + reason + `"}`).Inc()
	p.log.Named("schedule").Info(message, zap.String("endpoint", h.Endpoint.Name), zap.Int64("born", h.Endpoint.StartedAt),
		zap.String("reason", reason), zap.Duration("pause", h.Pause), zap.Float64("limit", h.RateLimit))
}

// logCold logs that an endpoint begins or ceases to count as cold.
func (p *Process) logCold(c schedule.Cold) {
	message, change := "endpoint cold", "cold"
	if c.For == 0 {
		message, change = "endpoint not cold", "not_cold"
	}
	p.set.GetOrCreateCounter(`fulmartide_cold_endpoints_total{reason="` + c.Reason.String() + `",change="` + change + `"}`).Inc()
	p.log.Named("schedule").Info(message, zap.String("endpoint", c.Endpoint.Name), zap.Int64("born", c.Endpoint.StartedAt),
		zap.Stringer("reason", c.Reason), zap.Duration("for", c.For), zap.Float64("rate", c.Rate), zap.Uint64("table_version", c.TableVersion))
}

// sendPace sends the pace of an endpoint to the other VMs.
func (p *Process) sendPace(c schedule.PaceChange) {
	p.set.GetOrCreateCounter(`fulmartide_pace_messages_total`).Inc()
	p.stateSync.PaceChanged(c)
	p.log.Named("schedule").Info("endpoint pace sent", zap.String("endpoint", c.Endpoint.Name), zap.Float64("slowness", c.Slowness),
		zap.Float64("previous", c.Told), zap.Duration("previous_age", c.ToldAge))
}

// applyChange passes a changed configuration or endpoint table to the components that decide by it.
func (p *Process) applyChange(c *traffic.Configuration, e traffic.Endpoints) {
	if c != nil {
		p.regions.check(c, p.log)
		p.admission.SetWorkspaces(c.Workspaces)
		p.scheduler.UpdateEndpoints(e, c.Services)
		p.origins.SetEndpoints(e.List)
	}
}

// enterEra makes the components that keep state in the store check it again.
func (p *Process) enterEra(era uint64, restored bool) {
	p.rebalancer.SetStoreEra(era)
	if restored {
		p.stateSync.StoreRestored()
		if p.stateSync.HasLowestAddress() {
			p.quarantineKeeper.Changed()
		}
		p.versionKeeper.Changed()
		p.streamKeeper.StoreRestored()
	}
}

// buildBackgroundTasks creates the tasks that run independently of calls.
func (p *Process) buildBackgroundTasks() {
	p.refresher = &activeconfig.Refresher{
		State: p.State, Rank: p.stateSync.Rank, OnRead: p.stateSync.SendHeartbeat, Log: p.log.Named("follower"),
		Source: p.platform.Source, FirstStart: p.settings.FirstStart, ListedRank: p.stateSync.ListedRank,
	}
	p.recorder = &admission.Recorder{
		Controller: p.admission, Store: p.platform.Usage, Group: p.stateSync.Group, Rank: p.stateSync.Rank,
		ListedRank: p.stateSync.ListedRank, FirstStart: p.settings.FirstStart, Log: p.log.Named("usage"),
	}
	p.rebalancer = &rebalance.Rebalancer{
		Self: p.settings.VMName, Clock: p.clock, Store: p.platform.Leases, Engines: p.platform.Engines, Pools: p.scheduler,
		IsLeader: func() bool { return p.stateSync.HasLowestAddress() && !p.stopping.Load() }, LeaseDuration: p.settings.LeaseDuration, Log: p.log.Named("layout"),
	}
}
