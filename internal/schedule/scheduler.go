package schedule

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/prefixcache"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Options configure a Scheduler.
type Options struct {
	Clock clock.Clock
	// DataCentre is the data centre of this VM.
	DataCentre string
	// Seed seeds the random choice between equal endpoints.
	Seed uint64
	// OnWorkChange is called with this VM's new work at an endpoint of a data centre. It must not
	// block. It may be nil.
	OnWorkChange func(seq uint64, id traffic.EndpointID, dataCentre string, w Work)
	// OnFailure is called if an endpoint of a data centre aborted a call, was found dead by this VM,
	// was ordered to change its stage, or said to this VM that it leaves. It must not block. It may be nil.
	OnFailure func(id traffic.EndpointID, dataCentre string, o Outcome)
	// OnHold is called when this VM begins or ends to hold back calls because of what an endpoint said. It must
	// not block. It may be nil.
	OnHold func(Hold)
	// OnLimit is called if a response to this VM changed what is known of the rate limit of an endpoint of a data
	// centre. It must not block. It may be nil.
	OnLimit func(id traffic.EndpointID, dataCentre string, l Limit)
	// OnPaceChange is called if an endpoint reported a pace to this VM that differs much from what the VMs know. The
	// scheduler is locked: it must neither block nor call the scheduler. It may be nil.
	OnPaceChange func(PaceChange)
	// OnPath is called when this VM has lost its path to an endpoint, or regained it. It must not block. It may be nil.
	OnPath func(PathChange)
	// OnCold is called when an endpoint begins or ceases to count as cold for a reason. The scheduler is locked: it must
	// neither block nor call the scheduler. It may be nil.
	OnCold func(Cold)
	// ColdBound is what cold endpoints bear beyond their rate; without a factor they have no limit.
	ColdBound ColdBound
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	// WallTime reads the wall clock, by which VMs divide rate limits; time.Now if nil.
	WallTime func() time.Time
	// DrainTime is how long endpoints that leave take calls.
	DrainTime time.Duration
}

// ColdBound is how many requests reach a cold endpoint in any second at most: Factor times its rate, and Slack more.
type ColdBound struct{ Factor, Slack float64 }

// Scheduler makes a table of endpoints safe for concurrent use.
type Scheduler struct {
	opts Options

	mu    sync.Mutex
	table *table
	seq   uint64
	// capacityFreed is closed and replaced when capacity may have become available.
	capacityFreed chan struct{}
	// queues holds the calls of this VM that wait for capacity, in the order of Enqueue.
	queues map[queueKey][]*QueueEntry
	// holds is the mean time for which calls of this VM occupy engines.
	holds map[pool]time.Duration
	// peers lists this VM and its direct peers, in the given number of subsets. This VM has the index
	// self.
	peers         []ident.VM
	self, subsets int
}

// New returns a Scheduler without endpoints.
func New(o Options) *Scheduler {
	if o.OnWorkChange == nil {
		o.OnWorkChange = func(uint64, traffic.EndpointID, string, Work) {}
	}
	if o.OnFailure == nil {
		o.OnFailure = func(traffic.EndpointID, string, Outcome) {}
	}
	if o.OnHold == nil {
		o.OnHold = func(Hold) {}
	}
	if o.OnLimit == nil {
		o.OnLimit = func(traffic.EndpointID, string, Limit) {}
	}
	if o.OnPaceChange == nil {
		o.OnPaceChange = func(PaceChange) {}
	}
	if o.OnPath == nil {
		o.OnPath = func(PathChange) {}
	}
	if o.WallTime == nil {
		o.WallTime = time.Now
	}
	s := &Scheduler{
		opts:          o,
		table:         newTable(o.DataCentre, o.DrainTime, rand.NewPCG(o.Seed, 0)),
		capacityFreed: make(chan struct{}),
		queues:        map[queueKey][]*QueueEntry{},
		holds:         map[pool]time.Duration{},
	}
	s.table.cold = newColdTable(o)
	s.table.epoch = o.Clock.Now().Add(-time.Duration(o.WallTime().UnixNano()))
	return s
}

// UpdateEndpoints replaces the endpoints and the engine parameters of their services.
func (s *Scheduler) UpdateEndpoints(eps traffic.Endpoints, services map[string]*traffic.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.update(s.opts.Clock.Now(), eps, services)
	s.wakeLocked()
}

// HasStage reports whether a service has endpoints in a stage that are not leaving, in data centres of the given regions,
// nil for any, that are not evacuated.
func (s *Scheduler) HasStage(service string, stage traffic.Stage, regions []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.table.byService[service], func(e *endpointState) bool {
		return e.Stage == stage && e.staying() && s.table.open(e, regions)
	})
}

// HasOtherVersion reports whether a service has endpoints in a stage that are not leaving and run another software version
// than the given one.
func (s *Scheduler) HasOtherVersion(service string, stage traffic.Stage, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.table.byService[service], func(e *endpointState) bool {
		return e.Stage == stage && e.staying() && e.SoftwareVersion != version
	})
}

// ListsStage reports whether a service has endpoints in a stage, be they leaving or not.
func (s *Scheduler) ListsStage(service string, stage traffic.Stage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.table.byService[service], func(e *endpointState) bool { return e.Stage == stage })
}

// Claim reserves the capacity for one call at one endpoint until Release.
type Claim struct {
	Choice
	scheduler *Scheduler
	work      Work
	claimedAt clock.Instant
	released  bool
	// prefix is the parts of the prompt that the engine holds after it has prefilled it.
	prefix prefixcache.Chain
	// probe is the notice of the endpoint if the call finds out whether its pause is over, else nil.
	probe *notice
	// limited is the notice of the endpoint if a permit of its rate limit is set aside for the call, else nil.
	limited *notice
	// cold is the state of the endpoint if a permit is set aside for the call because the endpoint is cold, else nil.
	cold *coldState
	// used is the permits that StartSend has used up, until they are given back.
	used permits
	// slowness is what the endpoint said about its pace in its last response to the call, 0 if nothing.
	slowness float64
	// bytes is the size of the request.
	bytes int64
}

// Errors of Place. The dispatcher distinguishes them by kind.
var (
	errNoEndpoint  = fault.New(fault.Unavailable, "retry after the stated time; operators: check the service's endpoints", "no usable endpoint", fault.WithRetryAfter(noEndpointRetryAfter))
	errVersionGone = fault.New(fault.Unavailable, "begin the stream anew", "no endpoint of the software version that began the stream is left", fault.WithRetryAfter(noEndpointRetryAfter))
	errAllFull     = fault.New(fault.Overloaded, "retry after the stated time", "all endpoints are full", fault.WithRetryAfter(allFullRetryAfter))
)

const (
	noEndpointRetryAfter = 500 * time.Millisecond
	allFullRetryAfter    = 300 * time.Millisecond
)

// Place chooses an endpoint and claims capacity there. entry is the call's queue entry, nil if it
// is not queued. Place fails with Overloaded if all endpoints are full or other calls are queued
// before this one, and with Unavailable if there is no usable endpoint.
func (s *Scheduler) Place(req *Request, entry *QueueEntry) (*Claim, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mustWait(req, entry) {
		return nil, errAllFull
	}
	now := s.opts.Clock.Now()
	e, c, err := s.table.choose(now, req, nil)
	if err != nil {
		return nil, err
	}
	claim := &Claim{Choice: c, scheduler: s, work: req.work(), claimedAt: now, prefix: req.Prefix, bytes: int64(req.BodyBytes)}
	if e.notice.reopening(now) {
		claim.probe = e.notice
		claim.probe.probing = true
	}
	if e.notice.rateLimited() {
		claim.limited = e.notice
		claim.limited.placed++
	}
	claim.cold = e.cold.setAside(now)
	e.inFlight += claim.bytes
	e.speed.shareOwn() // with the grown work
	e.cached.Take(claim.work.Tokens - c.SavedTokens)
	s.setOwnWork(e, e.own.plus(claim.work))
	s.countPassed(req)
	return claim, nil
}

func (s *Scheduler) setOwnWork(e *endpointState, w Work) {
	e.own = w
	s.seq++
	if e.engine != nil { // plain endpoints report their load with each answer
		s.opts.OnWorkChange(s.seq, e.ID, e.DataCentre, w)
	}
}

// Release frees the claimed capacity. It may be called more than once.
func (c *Claim) Release() {
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.released {
		return
	}
	c.released = true
	if c.probe != nil {
		c.probe.probing = false
	}
	c.returnPermit()
	s.recordHold(pool{c.Endpoint.Service, c.Endpoint.Stage}, s.opts.Clock.Now().Sub(c.claimedAt))
	if e := s.table.states[c.Endpoint.ID]; e != nil {
		e.inFlight -= c.bytes
		s.setOwnWork(e, e.own.minus(c.work))
	}
	if e := s.table.departed[c.Endpoint.ID]; e != nil {
		e.inFlight -= c.bytes
		if e.own = e.own.minus(c.work); e.own.Calls == 0 {
			delete(s.table.departed, c.Endpoint.ID)
		}
	}
	s.wakeLocked()
}

// RecordOutcome records the outcome of an attempt at the claim's endpoint.
func (c *Claim) RecordOutcome(o Outcome) {
	s := c.scheduler
	known, pauseEnded := s.recordOutcome(c.Endpoint.ID, o, c.Via == nil)
	if pauseEnded {
		s.opts.OnHold(Hold{Endpoint: c.Endpoint.ID})
	}
	if known && o >= Failed {
		s.opts.OnFailure(c.Endpoint.ID, c.Endpoint.DataCentre, o)
	}
}

// RecordSilence records that the claim's endpoint left a request without an answer for a time. That is a failure, and the
// endpoint is dead once it has been silent for MaxPause.
func (c *Claim) RecordSilence(silent time.Duration) {
	c.RecordOutcome(c.scheduler.recordSilence(c.Endpoint.ID, silent))
}

func (s *Scheduler) recordSilence(id traffic.EndpointID, silent time.Duration) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	if e := s.table.states[id]; e != nil {
		return e.health.silent(now, now.Add(-silent))
	}
	return Failed
}

// recordOutcome records an outcome of this VM's; direct is set if the request went over a connection of its own. It reports whether the endpoint is known, and whether the outcome
// ended a pause of it.
func (s *Scheduler) recordOutcome(id traffic.EndpointID, o Outcome, direct bool) (known, pauseEnded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.states[id]
	if e == nil {
		return false, false
	}
	now := s.opts.Clock.Now()
	s.table.recordHealth(now, e, o)
	if direct && o <= Errored {
		e.path.answeredAt = now
	}
	return true, o <= Errored && e.endPause(now)
}

// RecordRefusal records that the claim's endpoint refused the call for lack of capacity.
func (c *Claim) RecordRefusal() {
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.states[c.Endpoint.ID]
	switch {
	case e == nil:
	case c.Endpoint.Stage == traffic.Prefill:
		e.recordPrefillRefusal(s.opts.Clock.Now())
	default:
		e.recordRefusal(s.opts.Clock.Now())
	}
}

// MarkChangingStage marks an engine that was ordered to change its stage, and notifies the other
// VMs.
func (s *Scheduler) MarkChangingStage(e traffic.Endpoint) {
	s.RecordPeerOutcome(e.ID, ChangingStage)
	s.opts.OnFailure(e.ID, e.DataCentre, ChangingStage)
}

// RecordLoad records the load that the claim's endpoint reported.
func (c *Claim) RecordLoad(l *backend.Load) {
	if l == nil {
		return
	}
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table.states[c.Endpoint.ID]; e != nil {
		e.reportedCalls, e.reportedAt = max(0, l.Running)+max(0, l.Waiting), s.opts.Clock.Now()
		if c.Via == nil {
			e.path.answeredAt = e.reportedAt
		}
		c.recordPace(e.reportedAt, e, l.Slowness)
	}
}

// RecordPrefill records that the claim's endpoint prefilled a prompt, and how long that took.
func (c *Claim) RecordPrefill(prompt int64, took time.Duration) {
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.states[c.Endpoint.ID]
	if e == nil || took <= 0 {
		return
	}
	e.refusals = 0
	s.table.recordPrefill(e, &c.Choice, prompt, took)
}

// RecordPeerOutcome records the outcome of another VM's attempt at, or order to, an endpoint.
func (s *Scheduler) RecordPeerOutcome(id traffic.EndpointID, o Outcome) {
	if o == Leaving {
		s.recordLeaving(id, false)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.states[id]
	switch {
	case e == nil:
	case o == ChangingStage:
		e.closedUntil = s.opts.Clock.Now().Add(stageChangeTime)
	default:
		s.table.recordHealth(s.opts.Clock.Now(), e, o)
	}
}

// UpdateWork applies a report of another VM's work at an endpoint. seq increases with each report.
func (s *Scheduler) UpdateWork(vm ident.VM, seq uint64, id traffic.EndpointID, w Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.updateWork(vm, seq, id, w)
	if delay := s.wakeDelay(vm); delay > 0 && len(s.queues) > 0 {
		time.AfterFunc(delay, s.wake)
		return
	}
	s.wakeLocked()
}

// ReplaceWork applies a report of all work of another VM.
func (s *Scheduler) ReplaceWork(vm ident.VM, seq uint64, all map[traffic.EndpointID]Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.replaceWork(vm, seq, all)
}

// ReplaceDataCentreWork applies a report of the total work of the VMs of another data centre. seq
// increases with each report.
func (s *Scheduler) ReplaceDataCentreWork(name string, seq uint64, all map[traffic.EndpointID]Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.replaceDataCentreWork(name, seq, all)
	s.wakeLocked()
}

// ForgetDataCentre removes the reported work of a data centre without reachable VMs.
func (s *Scheduler) ForgetDataCentre(name string) { s.ForgetVM(dataCentreVM(name)) }

// SetRemoteReportsDelayed sets whether VMs of other data centres report their work with a delay.
func (s *Scheduler) SetRemoteReportsDelayed(delayed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.remoteReportsDelayed = delayed
}

// ForgetVM removes the work of a VM that is gone, and sends no more calls through it.
func (s *Scheduler) ForgetVM(vm ident.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.removeVM(vm)
	s.wakeLocked()
}

// OwnWork returns this VM's work at engines, by the data centre of the engine.
func (s *Scheduler) OwnWork() (seq uint64, byDataCentre map[string]map[traffic.EndpointID]Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]map[traffic.EndpointID]Work{}
	for id, e := range s.table.states {
		if e.own.Calls == 0 || e.engine == nil {
			continue
		}
		if out[e.DataCentre] == nil {
			out[e.DataCentre] = map[traffic.EndpointID]Work{}
		}
		out[e.DataCentre][id] = e.own
	}
	return s.seq, out
}

// CombinedWork returns the total work of this VM and others at engines, except those of one data
// centre.
func (s *Scheduler) CombinedWork(others []ident.VM, except string) map[traffic.EndpointID]Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.combinedWork(others, except)
}
