package statesync

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/notify"
	"github.com/fulmartide/fulmartide/internal/origin"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/quarantine"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Options configure a Service.
type Options struct {
	Self       Member
	Clock      clock.Clock
	Transport  *peer.Transport
	Registry   Registry
	Work       Work
	Plans      Plans
	Documents  Documents
	Quarantine Quarantine
	Origins    Origins
	Log        *zap.Logger
}

// Service sends and receives the messages.
type Service struct {
	opts Options
	// wakeup signals that there are pending changes to send.
	wakeup   chan struct{}
	failures chan endpointFailure
	limits   chan addressedLimit
	// quarantine holds news about prompts that crash engines.
	quarantine chan quarantine.State
	// origins holds records of where streams of this VM began.
	origins chan []origin.Record
	// membersAdded signals that VMs were added to the member table, storeRestored that the registry
	// may have lost the entry of this VM.
	membersAdded, storeRestored chan struct{}

	mu      sync.Mutex
	members *memberTable
	// startedAt is when the service was created.
	startedAt clock.Instant
	// changes is changed work that has not been sent yet.
	changes *changes
	// remoteRepeats holds the data centres to which updates about their endpoints were sent, each
	// with the number of empty snapshots still to be sent once this VM has no work there.
	remoteRepeats map[string]int
	seq           uint64
	counters      map[admission.CounterKey]int64
	// rankNewsAt is when counts of ranked calls were last told without waiting for other changes, rankNewsDue is set if
	// they are to be told now.
	rankNewsAt  clock.Instant
	rankNewsDue bool
	queues      map[netip.AddrPort]*sendQueue
	leaving     bool
	// listed is set once the registry has been listed.
	listed bool
	// lastFull is the time of the last full heartbeat, 0 if the next one has to be full.
	lastFull clock.Instant
	// lastRemoteRepeat is the time of the last repetition of the work at remote endpoints.
	lastRemoteRepeat clock.Instant
	// digestSeq numbers the received digests, so that a later one replaces an earlier one.
	digestSeq uint64
	fetching  map[int]bool
	// fetchingQuarantine is set while the state of another VM's quarantine is requested.
	fetchingQuarantine bool
	// refusedRetries holds the VMs that granted no retries, with the time.
	refusedRetries map[netip.AddrPort]clock.Instant
	ctx            context.Context
	wg             sync.WaitGroup
}

const (
	// failureQueueSize is the maximum number of failures waiting to be sent. Further ones are
	// dropped, as each VM also detects failures itself.
	failureQueueSize = 64
	// limitQueueSize is the maximum number of changed limits waiting to be sent. Further ones are dropped, as full
	// heartbeats repeat the limits in force.
	limitQueueSize = 64
	// fetchTimeout bounds the fetching of a document from another VM.
	fetchTimeout = time.Second
	// registryRetryPause is the pause after a failed call to the registry.
	registryRetryPause = 500 * time.Millisecond
	// registryPeriod is the time between reads of the registry, which find VMs from which no
	// heartbeat has come.
	registryPeriod = 15 * time.Second
	// remoteRepeatPeriod is the time between snapshots of the work at endpoints of another data
	// centre, which go to all its VMs and only correct the state after lost updates.
	remoteRepeatPeriod = 3 * time.Second
	// emptyRepeats is how many empty snapshots of its work a VM sends to another data centre, as
	// a message may be lost.
	emptyRepeats = 2
	// rankNewsPeriod is the time after which counts of ranked calls are told although no work has changed, as while calls
	// are refused.
	rankNewsPeriod = 200 * time.Millisecond
	// batchDelay is how long changes of work and counters are collected into one message.
	batchDelay = time.Millisecond
)

// New returns a Service and registers its handlers with the transport.
func New(o Options) *Service {
	s := &Service{
		opts: o, wakeup: make(chan struct{}, 1), failures: make(chan endpointFailure, failureQueueSize),
		limits: make(chan addressedLimit, limitQueueSize), startedAt: o.Clock.Now(),
		quarantine:   make(chan quarantine.State, quarantineQueueSize),
		origins:      make(chan []origin.Record, originQueueSize),
		membersAdded: make(chan struct{}, 1), storeRestored: make(chan struct{}, 1),
		members: newMemberTable(o.Self), changes: newChanges(), remoteRepeats: map[string]int{}, counters: map[admission.CounterKey]int64{},
		queues: map[netip.AddrPort]*sendQueue{}, fetching: map[int]bool{},
		refusedRetries: map[netip.AddrPort]clock.Instant{},
	}
	peer.HandleOneWay(o.Transport, peer.KindHeartbeat, s.onHeartbeat)
	peer.HandleOneWay(o.Transport, peer.KindWork, s.onUpdate)
	peer.HandleOneWay(o.Transport, peer.KindEndpointFailure, s.onFailure)
	peer.Handle(o.Transport, peer.KindDocument, s.onDocumentRequest)
	peer.Handle(o.Transport, peer.KindDigest, s.onDigest)
	peer.Handle(o.Transport, peer.KindPlanWindow, s.onWindowRequest)
	peer.HandleOneWay(o.Transport, peer.KindEndpointLimit, s.onLimit)
	peer.HandleOneWay(o.Transport, peer.KindQuarantine, s.onQuarantine)
	peer.Handle(o.Transport, peer.KindQuarantineState, s.onQuarantineRequest)
	peer.HandleOneWay(o.Transport, peer.KindStreamOrigins, s.onOrigins)
	peer.Handle(o.Transport, peer.KindStreamOrigin, s.onOriginQuery)
	peer.Handle(o.Transport, peer.KindStreamOriginState, s.onOriginStateQuery)
	peer.HandleOneWay(o.Transport, peer.KindOpenStreams, s.onOpenStreams)
	peer.Handle(o.Transport, peer.KindRetryGrant, s.onRetryRequest)
	return s
}

// WorkChanged queues the new work of this VM on an endpoint for sending to the other VMs. A later
// change replaces one that has not been sent, so the queue stays bounded while they are unreachable.
func (s *Service) WorkChanged(seq uint64, id traffic.EndpointID, dataCentre string, w schedule.Work) {
	s.mu.Lock()
	s.seq = max(s.seq, seq)
	s.changes.add(id, dataCentre, w)
	s.mu.Unlock()
	s.wake()
}

// CounterChanged records the new total of a counter of this VM. Calls, and in a large fleet also
// tokens, are not urgent: they are sent with the next update or full heartbeat. Counts of ranked calls are urgent from time
// to time.
func (s *Service) CounterChanged(c admission.CounterKey, total int64) {
	s.mu.Lock()
	s.counters[c] = total
	urgent := c.Kind == admission.ServiceRetries || c.Kind == admission.AdmittedTokens && !s.members.large()
	if now := s.opts.Clock.Now(); c.Kind == admission.RankedCalls && now.Sub(s.rankNewsAt) >= rankNewsPeriod {
		s.rankNewsAt, s.rankNewsDue, urgent = now, true, true
	}
	s.mu.Unlock()
	if urgent {
		s.wake()
	}
}

func (s *Service) wake() { notify.Signal(s.wakeup) }

// endpointFailure is a failure to report, with the data centre of the endpoint.
type endpointFailure struct {
	failure
	dataCentre string
}

// EndpointFailed reports to the VMs that place work at an endpoint that it aborted a call or was found
// dead.
func (s *Service) EndpointFailed(id traffic.EndpointID, dataCentre string, o schedule.Outcome) {
	select {
	case s.failures <- endpointFailure{failure{Name: id.Name, StartedAt: id.StartedAt, Outcome: o}, dataCentre}:
	default:
	}
}

// Run discovers the other VMs and exchanges state with them until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.wg.Go(func() { s.discover(ctx) })
	s.wg.Go(func() { s.sendUpdates(ctx) })
	s.wg.Go(func() { s.digestLoop(ctx) })
	s.wg.Go(func() { s.adoptWindow(ctx) })
	s.wg.Go(func() { s.adoptOrigins(ctx) })
	s.wg.Go(func() { s.borrowRetries(ctx) })
	s.heartbeatLoop(ctx)
	s.mu.Lock()
	s.leaving = true // what has seen ctx before its end, as a message of Leave, has started its goroutines by now
	s.mu.Unlock()
	s.wg.Wait()
}

// Leave announces that this VM accepts no more calls, and withdraws its registry entry unless the next process on this VM has to know of
// the start of this one.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.sendHeartbeat()
	if s.opts.Plans.StartMatters() {
		s.opts.Log.Info("registry entry kept")
		return
	}
	if err := s.opts.Registry.Deregister(ctx, s.opts.Self); err != nil {
		s.opts.Log.Warn("could not remove registry entry", zap.Error(err))
	}
}

// discover registers this VM, then lists the others. As each VM registers before it lists, of any
// two VMs the later one finds the earlier one, which in turn learns of it from its heartbeat.
func (s *Service) discover(ctx context.Context) {
	registered, listed := false, false
	var former admission.FormerStart
	for {
		wait := registryPeriod
		if !registered {
			var err error
			former, err = s.opts.Registry.Register(ctx, s.opts.Self)
			if registered = err == nil; !registered {
				s.opts.Log.Warn("could not register in the registry", zap.Error(err))
				wait = registryRetryPause
			}
		}
		if members, replaced, err := s.opts.Registry.Members(ctx, listed); err != nil {
			s.opts.Log.Warn("could not list registry members", zap.Error(err))
			wait = registryRetryPause
		} else {
			s.addMembers(members)
			if registered && !listed {
				former.OthersListed = replaced
				s.setFormerStart(former)
			}
			listed = registered
		}
		select {
		case <-ctx.Done():
			return
		case <-s.storeRestored:
			registered, listed = false, false
			clock.Sleep(ctx, rand.N(registryRetryPause)) // all VMs register again
		case <-time.After(wait):
		}
	}
}

// setFormerStart passes on what the registry tells of the process before.
func (s *Service) setFormerStart(f admission.FormerStart) {
	s.opts.Log.Info("registered", zap.Bool("former_listed", f.Listed), zap.Bool("former_lost", f.Lost), zap.Duration("former_age", f.Age),
		zap.Bool("others_listed", f.OthersListed))
	s.opts.Plans.SetFormerStart(f)
}

// StoreRestored makes this VM register again, because the registry was restored from a backup.
func (s *Service) StoreRestored() { notify.Signal(s.storeRestored) }

func (s *Service) addMembers(members []Member) {
	s.mu.Lock()
	s.listed = true
	added, lost := s.members.addListed(s.opts.Clock.Now(), members)
	if len(added) > 0 {
		s.lastFull = 0
	}
	shares := s.members.fleetShares(s.listed)
	s.mu.Unlock()
	s.opts.Plans.SetFleetShares(shares)
	for _, m := range added {
		s.opts.Log.Info("vm found in the registry", zap.String("vm", m.VM.Name), zap.Stringer("address", m.Address), zap.String("data_centre", m.DataCentre))
	}
	if len(added) > 0 {
		notify.Signal(s.membersAdded)
		s.sendHeartbeat()
	}
	if len(lost) > 0 { // after a long partition each side has removed the other one
		s.greet(lost)
	}
}

func (s *Service) heartbeatLoop(ctx context.Context) {
	for {
		s.mu.Lock()
		period := s.members.heartbeatPeriod()
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(period):
		}
		s.checkMembers()
		s.sendHeartbeat()
	}
}

// checkMembers detects VMs that have become unresponsive or are gone.
func (s *Service) checkMembers() {
	s.mu.Lock()
	if s.leaving { // the other VMs no longer send to this one
		s.mu.Unlock()
		return
	}
	unresponsive, removed := s.members.expire(s.opts.Clock.Now())
	known, live := s.members.size()
	shares := s.members.fleetShares(s.listed)
	order, self := s.members.directOrder()
	parts := s.members.subsets()
	fleet, complete := s.members.fleet(), s.listed || s.opts.Clock.Now().Sub(s.startedAt) > removeAfter
	for _, m := range removed {
		s.closeQueue(m.Address)
	}
	s.mu.Unlock()
	if complete {
		s.opts.Work.SetFleet(s.opts.Self.Address, fleet)
	}
	s.opts.Plans.SetFleetShares(shares)
	s.opts.Work.SetPeerOrder(order, self, parts)
	s.opts.Work.SetRemoteReportsDelayed(shares.RemainderShare < 1)
	for _, m := range unresponsive {
		s.opts.Log.Warn("vm silent", zap.Stringer("vm", m.VM), zap.Int("known", known), zap.Int("heard", live))
		s.opts.Work.ForgetVM(m.VM)
	}
	s.forgetUnreachable()
	for _, m := range removed {
		s.opts.Log.Warn("vm gone", zap.Stringer("vm", m.VM), zap.Int("known", known), zap.Int("heard", live))
	}
}
