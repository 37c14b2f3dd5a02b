package callerconn

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// phase is a step of a server's life. A later phase ends further connections.
type phase int32

const (
	// phaseServing ends connections by their idle timeout only.
	phaseServing phase = iota
	// phaseEndingIdle ends connections that wait for another request.
	phaseEndingIdle
	// phaseEndingNew also ends connections whose first request has not begun to arrive.
	phaseEndingNew
	// phaseGivingUp also ends connections whose request has arrived in part.
	phaseGivingUp
	// phaseClosing closes all connections.
	phaseClosing
)

// String implements fmt.Stringer.
func (p phase) String() string {
	return [...]string{"serving", "ending idle", "ending new", "giving up", "closing"}[p]
}

func (s *Server) phaseNow() phase { return phase(s.phase.Load()) }

// setPhase begins a phase and interrupts the connections that it ends.
func (s *Server) setPhase(p phase) {
	s.phase.Store(int32(p))
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		c.interruptIfDue()
	}
}

// Calls are the calls that a server's handler serves.
type Calls interface {
	// Active returns the number of calls in progress.
	Active() int64
	// RefuseNew makes the handler refuse further calls.
	RefuseNew()
	// End makes the handler answer the calls in progress now, as far as their answers have not begun.
	End()
}

const (
	// arrivalTime is how long requests on new connections may take to arrive once no more connections are accepted. A request
	// that arrives later may not end within the grace time, and is refused.
	arrivalTime = 600 * time.Millisecond
	// idleBeforeGivingUp is how long no call must be in progress before requests that have arrived in part are given up.
	idleBeforeGivingUp = time.Second
	// answerTime is how long the answers of calls that are ended may take to be written.
	answerTime = 200 * time.Millisecond
	// drainCheckPeriod is the time between two checks of the connections that remain.
	drainCheckPeriod = 100 * time.Millisecond
)

// ErrCut is returned by Drain if connections with a request in progress were closed.
var ErrCut = errors.New("connections with a request in progress were closed")

// Drain accepts the connections that are established and no others, ends each connection once it waits for a request, and
// waits for the calls in progress. Requests on new connections have arrivalTime to arrive; those that arrive later are refused.
// The calls that are still in progress answerTime before ctx ends are ended with an answer, and the connections that remain when
// it ends are closed.
func (s *Server) Drain(ctx context.Context, calls Calls) error {
	began := time.Now()
	if err := s.stopListener(ctx); err != nil {
		s.opts.Log.Warn("listener not closed in order", zap.Error(err))
	}
	s.setPhase(phaseEndingIdle)
	s.awaitArrivals(ctx)
	calls.RefuseNew()
	s.setPhase(phaseEndingNew)
	if err := s.endInTime(ctx, calls); err != nil {
		s.endCalls(ctx, calls)
	}
	err := s.close()
	s.opts.Log.Info("callers drained", zap.Duration("took", time.Since(began)), zap.Error(err))
	return err
}

// stopListener accepts the connections that are established, also where Serve is about to begin, and no others.
func (s *Server) stopListener(ctx context.Context) error {
	select {
	case <-s.served:
		return s.activeListener().stop(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitArrivals waits until no connection is without a request, for at most arrivalTime.
func (s *Server) awaitArrivals(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, arrivalTime)
	defer cancel()
	for s.count(func(c *conn) bool { return c.state != serving }) > 0 && clock.Sleep(ctx, arrivalTime/20) {
		continue
	}
}

// endInTime waits until no connection is left. It fails if answerTime before the end of ctx some are. Connections of HTTP/2 are
// ended by net/http, once no others are left: it drops requests of HTTP/1 that arrive from then on.
func (s *Server) endInTime(ctx context.Context, calls Calls) error {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-answerTime))
		defer cancel()
	}
	if err := s.awaitEnd(ctx, calls); err != nil {
		return err
	}
	return s.http.Shutdown(ctx)
}

// awaitEnd waits until no connection of HTTP/1 is left or ctx ends.
func (s *Server) awaitEnd(ctx context.Context, calls Calls) error {
	check := time.NewTicker(drainCheckPeriod)
	defer check.Stop()
	idleSince := time.Now()
	for s.count(func(c *conn) bool { return !c.multiplexed }) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.ended:
		case now := <-check.C:
			if calls.Active() > 0 {
				idleSince = now
			} else if now.Sub(idleSince) >= idleBeforeGivingUp && s.phaseNow() < phaseGivingUp {
				s.setPhase(phaseGivingUp)
			}
		}
	}
	return nil
}

// endCalls ends the calls in progress with an answer, and waits until their connections have ended or ctx ends.
func (s *Server) endCalls(ctx context.Context, calls Calls) {
	s.opts.Log.Warn("calls ended by the stop", zap.Int64("calls", calls.Active()))
	s.setPhase(phaseGivingUp)
	calls.End()
	for s.count(func(*conn) bool { return true }) > 0 && clock.Sleep(ctx, answerTime/20) {
		continue
	}
}

// close closes the connections that remain.
func (s *Server) close() error {
	cut := s.count(func(c *conn) bool { return c.state == serving })
	if err := s.Close(); err != nil || cut == 0 {
		return err
	}
	return ErrCut
}

// count returns the number of connections with a property.
func (s *Server) count(has func(*conn) bool) (n int) {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		if has(c) {
			n++
		}
		c.mu.Unlock()
	}
	return n
}
