package dispatch

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/overload"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// shedding is what was decided about a call while its service has calls of different ranks.
type shedding struct {
	decision overload.Decision
	room     schedule.Room
}

// fields returns the log fields of the decision, none if there was none.
func (s *shedding) fields(rank int) []zap.Field {
	if s == nil {
		return nil
	}
	return []zap.Field{
		zap.Int("rank", rank), zap.Float64("reserve", s.decision.Reserve), zap.Int("free", s.room.Free), zap.Float64("share", s.decision.Share),
		zap.String("reason", s.decision.Reason),
	}
}

// returnedMargin is by how much the deadline of a caller that has come back is shorter than the route's timeout, at least.
// The margin allows for the way of a request that comes for the first time.
const returnedMargin = 100 * time.Millisecond

// returned reports whether the caller was refused before and has come back: it has less time than callers have at first.
func (f *inflightCall) returned() bool {
	return f.call.Deadline.Sub(f.call.ArrivedAt) < f.call.Route.Timeout-returnedMargin
}

// setRank sets the fields of a request by which calls are ordered, if the ranks of the service's calls differ.
func (f *inflightCall) setRank(request *schedule.Request) {
	if f.call.Ranked() {
		request.Rank, request.Workspace, request.Returned, request.PlanUse = f.call.Rank(), f.workspaceName(), f.returned(), f.planUse
	}
}

// mayBeShed reports whether a call may be refused in favour of others: one that neither has run nor continues a stream.
func (f *inflightCall) mayBeShed(request *schedule.Request) bool {
	return f.call.Ranked() && !request.SkipQueue && !f.responseStarted && !f.resumesStream() && f.runs == 0
}

// shed decides whether a call is placed, and returns the error if it is not. It is decided once for each call.
func (f *inflightCall) shed(request *schedule.Request) error {
	if f.shedding != nil || request.Stage != traffic.Decode || !f.mayBeShed(request) {
		return nil
	}
	room := f.dispatcher.opts.Scheduler.Room(request)
	if room.Engines == 0 {
		return nil // the cause is not the load, and Place reports it
	}
	call := overload.Call{Class: f.class(request), TimeLeft: f.remaining()}
	capacity := overload.Capacity{Free: float64(room.Free), Running: float64(room.Running), Hold: room.Hold}
	decision := f.dispatcher.opts.Admission.Overload().Arrive(call, capacity)
	f.shedding = &shedding{decision, room}
	if decision.Place {
		return nil
	}
	f.countShed(decision.Reason, decision.RetryAfter)
	return fault.New(fault.Overloaded, "retry after the stated time", "the service is short of capacity for calls of this rank",
		fault.WithRetryAfter(decision.RetryAfter))
}

func (f *inflightCall) class(request *schedule.Request) overload.Class {
	return overload.Class{Service: request.Service, Rank: request.Rank, Workspace: request.Workspace, Returned: request.Returned}
}

// countPlaced counts a call that was placed, once.
func (f *inflightCall) countPlaced(request *schedule.Request) {
	if f.shedding == nil || request.Stage != traffic.Decode || f.countedPlaced {
		return
	}
	f.countedPlaced = true
	f.dispatcher.opts.Admission.Overload().Placed(f.class(request))
	f.dispatcher.opts.Metrics.GetOrCreateCounter(`fulmartide_ranked_calls_total{` + f.rankLabels() + `,result="placed"}`).Inc()
}

// countRejected counts a call that its engine rejected for lack of capacity.
func (f *inflightCall) countRejected(claim *schedule.Claim) {
	if f.shedding != nil && claim.Endpoint.Stage == traffic.Decode {
		f.dispatcher.opts.Admission.Overload().Rejected(f.call.Service.Name)
	}
}

// countShed counts a call that was refused for lack of capacity.
func (f *inflightCall) countShed(reason string, retryAfter time.Duration) {
	set := f.dispatcher.opts.Metrics
	set.GetOrCreateCounter(`fulmartide_ranked_calls_total{` + f.rankLabels() + `,result="refused"}`).Inc()
	set.GetOrCreateCounter(`fulmartide_shed_calls_total{` + f.rankLabels() + `,workspace=` + strconv.Quote(f.workspaceName()) + `,reason="` + reason + `"}`).Inc()
	set.GetOrCreateHistogram(`fulmartide_shed_retry_seconds{` + f.rankLabels() + `}`).Update(retryAfter.Seconds())
}

func (f *inflightCall) rankLabels() string {
	return `service=` + strconv.Quote(f.call.Service.Name) + `,rank="` + strconv.Itoa(f.call.Rank()) + `"`
}

// turn is a call's wait for capacity while the ranks of its service's calls differ. A nil turn does nothing.
type turn struct {
	call *inflightCall
	wait overload.Wait
}

// beginWait returns the turn of a call that finds no capacity, nil if it may wait as long as any other one, which is at
// most full.
func (f *inflightCall) beginWait(request *schedule.Request, full time.Duration) *turn {
	if !f.mayBeShed(request) {
		return nil
	}
	w := f.dispatcher.opts.Admission.Overload().BeginWait(request.Service, uint8(request.Stage), request.Rank, f.call.Route.LatencyTarget, full)
	f.countWaiting(1)
	return &turn{call: f, wait: w}
}

func (f *inflightCall) countWaiting(n int) {
	f.dispatcher.opts.Metrics.GetOrCreateCounter(`fulmartide_ranked_calls_waiting{` + f.rankLabels() + `}`).Add(n)
}

// end ends the wait of a call that was placed or refused.
func (t *turn) end(placed bool) {
	if t == nil {
		return
	}
	t.call.dispatcher.opts.Admission.Overload().EndWait(&t.wait, placed)
	t.call.countWaiting(-1)
}

// abandon ends the wait of a call whose caller has gone.
func (t *turn) abandon() {
	if t == nil {
		return
	}
	t.call.dispatcher.opts.Admission.Overload().AbandonWait(&t.wait)
	t.call.countWaiting(-1)
}

// refuse returns the error for a call that found no capacity in its time.
func (t *turn) refuse(err error) error {
	f := t.call
	d := overload.Decision{Share: 1}
	if f.shedding != nil {
		d = f.shedding.decision
		f.shedding.decision.Reason = overload.ReasonWait
	}
	retryAfter := f.dispatcher.opts.Admission.Overload().RetryAfter(d, f.remaining())
	f.countShed(overload.ReasonWait, retryAfter)
	return fault.Wrap(err, fault.Overloaded, "retry after the stated time", "no capacity was found in the call's time", fault.WithRetryAfter(retryAfter))
}
