// Package reach finds out to which endpoints this VM has lost its network path, and which other VMs reach them.
//
// A path is lost when a connection fails: one that a call needed, or one that is made because an endpoint is silent.
// Then other VMs are asked, the nearest first. One that had an answer of the endpoint since, or gets a connection,
// sends calls there for this VM until a connection of this VM succeeds again.
package reach

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/notify"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// probePeriod is the time between two attempts to regain a lost path.
	probePeriod = time.Second
	// maxProbes is the maximum number of connections that are attempted at a time. Once one succeeds, all others follow.
	maxProbes = 8
	// The time between two questions to other VMs about a path that stays lost doubles from minAskPause to maxAskPause.
	minAskPause = time.Second
	maxAskPause = 8 * time.Second
	// askTimeout bounds such a question.
	askTimeout = 350 * time.Millisecond
	// probeTimeout bounds one attempt to connect.
	probeTimeout = 250 * time.Millisecond
	// localSources and remoteSources are how many VMs of this data centre, and of others, are asked at once.
	localSources  = 2
	remoteSources = 3
	// maxAsked is the maximum number of endpoints in one question. In a large fleet that is enough to serve calls at.
	maxAsked = 24
	// silentPause is the minimum time between two connections to endpoints that are silent.
	silentPause = time.Second
	// maxLateness is how much later than its timeout a connection may fail and still count. A VM that is slower does not
	// know whether an answer came in time.
	maxLateness = 100 * time.Millisecond
	// quietTime is how long an endpoint must not have answered to be examined when the VM may have lost all its paths.
	// The number that is examined grows from minQuiet as long as half of them fail.
	quietTime = 500 * time.Millisecond
	minQuiet  = 4
)

// Paths is what is known of the paths of this VM.
type Paths interface {
	PathLost(id traffic.EndpointID)
	PathRestored(id traffic.EndpointID)
	SetVia(id traffic.EndpointID, via []traffic.Via)
	LostPaths() []schedule.LostPath
	Quiet(n int, since time.Duration) []traffic.Endpoint
	PathEvidence(id traffic.EndpointID) schedule.Evidence
	Evacuated(dataCentre string) bool
}

var _ Paths = (*schedule.Scheduler)(nil)

// Options configure a Service.
type Options struct {
	Paths   Paths
	Backend backend.Client
	// DataCentre is that of this VM.
	DataCentre string
	// Others returns up to the given numbers of live VMs of this data centre and of others, chosen at random.
	Others    func(local, remote int) []traffic.Via
	Transport *peer.Transport
	// Room returns the number of requests that this VM can send for others now.
	Room func() int
	Log  *zap.Logger
}

// Service examines paths.
type Service struct {
	opts Options
	// changed signals that a path was lost.
	changed chan struct{}
	// silent holds an endpoint that is silent, several signals that several paths were lost.
	silent  chan traffic.Endpoint
	several chan struct{}
	// asked says when to ask again about lost paths. Only the goroutine that asks uses it.
	asked map[traffic.EndpointID]askTime
}

// askTime is when to ask about a lost path again, and the pause before that. reached is set while other VMs are known to
// reach the endpoint.
type askTime struct {
	next    time.Time
	pause   time.Duration
	reached bool
}

// NewService returns a Service and registers it with the transport.
func NewService(o Options) *Service {
	s := &Service{opts: o, changed: make(chan struct{}, 1), silent: make(chan traffic.Endpoint, 1), several: make(chan struct{}, 1), asked: map[traffic.EndpointID]askTime{}}
	peer.Handle(o.Transport, peer.KindReach, s.onQuestion)
	return s
}

// PathChanged logs that a path was lost or regained. It does not block.
func (s *Service) PathChanged(c schedule.PathChange) {
	if c.Regained {
		s.opts.Log.Info("path to endpoint regained", zap.String("endpoint", c.Endpoint.Name))
		return
	}
	s.opts.Log.Info("path to endpoint lost", zap.String("endpoint", c.Endpoint.Name), zap.Bool("several", c.Several))
	notify.Signal(s.changed)
	if c.Several { // this VM may have lost all its paths
		notify.Signal(s.several)
	}
}

// Silent records that an endpoint does not answer. It does not block; while another one is examined it does nothing.
func (s *Service) Silent(e traffic.Endpoint) {
	select {
	case s.silent <- e:
	default:
	}
}

// Run examines paths until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.examine(ctx) })
	wg.Go(func() { s.probeLost(ctx) })
	s.askForLost(ctx)
	wg.Wait()
}

// examine connects to endpoints that are silent, and to others when several paths were lost.
func (s *Service) examine(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.silent:
			if s.opts.Paths.Evacuated(e.DataCentre) {
				continue
			}
			if err := s.connect(ctx, e); timedOut(err) {
				s.examineQuiet(ctx)
			}
		case <-s.several:
			s.examineQuiet(ctx)
		}
		clock.Sleep(ctx, silentPause)
	}
}

// timedOut reports whether nothing came back from an endpoint. One whose process has ended refuses connections.
func timedOut(err error) bool { return err != nil && !errors.Is(err, syscall.ECONNREFUSED) }

// connect connects to an endpoint and records whether that succeeds.
func (s *Service) connect(ctx context.Context, e traffic.Endpoint) error {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := time.Now()
	err := s.opts.Backend.Connect(probeCtx, e)
	late := time.Since(began) - probeTimeout
	switch {
	case err == nil:
		s.opts.Paths.PathRestored(e.ID)
	case ctx.Err() == nil && late < maxLateness:
		s.opts.Paths.PathLost(e.ID)
	}
	return err
}

// examineQuiet connects to endpoints that have not answered lately, to more of them as long as half of them fail.
func (s *Service) examineQuiet(ctx context.Context) {
	for n := minQuiet; ctx.Err() == nil; n *= 4 {
		quiet := s.opts.Paths.Quiet(n, quietTime)
		lost := countTrue(quiet, func(e traffic.Endpoint) bool { return s.connect(ctx, e) != nil })
		if lost == 0 || 2*lost < len(quiet) {
			return
		}
	}
}

// countTrue calls f for all endpoints at once and returns how often it returned true.
func countTrue(list []traffic.Endpoint, f func(traffic.Endpoint) bool) int {
	var wg sync.WaitGroup
	results := make([]bool, len(list))
	for i, e := range list {
		wg.Go(func() { results[i] = f(e) })
	}
	wg.Wait()
	n := 0
	for _, ok := range results {
		if ok {
			n++
		}
	}
	return n
}

// probeLost connects to endpoints to which the path is lost, until it succeeds.
func (s *Service) probeLost(ctx context.Context) {
	for clock.Sleep(ctx, probePeriod) {
		lost := s.opts.Paths.LostPaths()
		rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
		n := min(len(lost), maxProbes)
		if s.probe(ctx, lost[:n]) == 0 {
			continue
		}
		for rest := lost[n:]; len(rest) > 0; rest = rest[min(len(rest), maxProbes):] {
			s.probe(ctx, rest[:min(len(rest), maxProbes)])
		}
	}
}

// probe connects to endpoints and returns how many paths were regained.
func (s *Service) probe(ctx context.Context, lost []schedule.LostPath) int {
	var list []traffic.Endpoint
	for _, l := range lost {
		list = append(list, l.Endpoint)
	}
	return countTrue(list, func(e traffic.Endpoint) bool { return s.connect(ctx, e) == nil })
}

// askForLost asks other VMs whether they reach the endpoints to which this VM has lost its path: at once, and from time
// to time while it stays lost.
func (s *Service) askForLost(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		case <-time.After(minAskPause):
		}
		if due := s.due(time.Now(), s.opts.Paths.LostPaths()); len(due) > 0 {
			s.ask(ctx, due)
		}
	}
}

// due returns the lost paths to ask about now, at most maxAsked, those first that nobody is known to reach.
func (s *Service) due(now time.Time, lost []schedule.LostPath) []schedule.LostPath {
	slices.SortFunc(lost, func(a, b schedule.LostPath) int { return cmp.Compare(a.Via, b.Via) })
	asked := map[traffic.EndpointID]askTime{}
	var due []schedule.LostPath
	for _, l := range lost {
		id := l.Endpoint.ID
		at := s.asked[id]
		if now.Sub(at.next.Add(-at.pause)) > l.For { // it was regained since, and lost again
			at = askTime{}
		}
		if at.reached && l.Via == 0 { // the VMs that reached it have left, or failed to send
			at = askTime{}
		}
		at.reached = l.Via > 0
		if len(due) < maxAsked && !now.Before(at.next) {
			at.pause = min(max(2*at.pause, minAskPause), maxAskPause)
			at.next = now.Add(at.pause)
			due = append(due, l)
		}
		if at.pause > 0 {
			asked[id] = at
		}
	}
	s.asked = asked // paths that were regained are forgotten
	return due
}
