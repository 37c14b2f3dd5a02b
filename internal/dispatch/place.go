package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// viaName returns the name of the VM through which a call is sent, empty for directly.
func viaName(via *traffic.Via) string {
	if via == nil {
		return ""
	}
	return via.VM
}

// newRequest returns the request that runs the call at a claimed endpoint.
func (f *inflightCall) newRequest(claim *schedule.Claim) backend.Request {
	return backend.Request{
		Call: f.call, Endpoint: claim.Endpoint, Via: claim.Via, Timeout: f.remaining(),
		Priority: f.call.Rank(), Ranked: f.call.Ranked(), LastEventID: f.call.LastEventID, Continues: f.origin != nil,
		LastLook: f.lastLook(claim),
	}
}

// place claims an endpoint. If all endpoints are full or none is available, it waits until maxElapsed
// has passed since the call arrived. It does not wait if every available endpoint has been tried
// already, or if it is known that none takes calls by then. If other VMs have been asked whether they reach the endpoints, it waits
// for their answers also beyond maxElapsed. While the ranks of the service's calls differ, capacity that
// is short is divided by rank, and calls wait only if that is of use.
func (f *inflightCall) place(ctx context.Context, request *schedule.Request, maxElapsed time.Duration) (*schedule.Claim, error) {
	claim, err := f.findPlace(ctx, request, maxElapsed)
	f.notPlaced = err
	return claim, err
}

// findPlace does the work of place.
func (f *inflightCall) findPlace(ctx context.Context, request *schedule.Request, maxElapsed time.Duration) (*schedule.Claim, error) {
	s := f.dispatcher.opts.Scheduler
	f.setRank(request)
	if err := f.shed(request); err != nil {
		f.logNotPlaced(request, false, err)
		return nil, err
	}
	var entry *schedule.QueueEntry
	var turn *turn
	waited, awaitsVMs := false, false
	for {
		freed := s.CapacityFreed()
		claim, err := s.Place(request, entry)
		if err == nil {
			turn.end(true)
			f.countPlaced(request)
			f.countCold(claim, waited)
			f.countSaved(claim)
			f.logPlaced(request, claim, waited)
			return claim, nil
		}
		if turn == nil && fault.Is(err, fault.Overloaded) && schedule.MayWait(err, maxElapsed-f.elapsed()) {
			if turn = f.beginWait(request, maxElapsed-f.elapsed()); turn != nil {
				maxElapsed = f.elapsed() + turn.wait.Limit
			}
		}
		if schedule.AwaitsVMs(err) && !awaitsVMs {
			awaitsVMs = true
			maxElapsed = max(maxElapsed, f.elapsed()+vmAnswerTime)
		}
		if wait := maxElapsed - f.elapsed(); !f.mayWait(request, err, wait) {
			turn.end(false)
			if turn != nil && fault.Is(err, fault.Overloaded) {
				err = turn.refuse(err)
			}
			f.logNotPlaced(request, waited, err)
			f.countColdRefusal(err)
			return nil, err
		}
		waited = true
		if entry == nil && request.Tokens != nil && fault.Is(err, fault.Overloaded) {
			entry = s.Enqueue(request)
			defer entry.Leave()
		}
		if err := waitForCapacity(ctx, freed, min(maxElapsed-f.elapsed(), capacityRecheckInterval)); err != nil {
			turn.abandon()
			return nil, err
		}
	}
}

// mayWait reports whether a call that could not be placed may be placed by waiting for a time.
func (f *inflightCall) mayWait(request *schedule.Request, err error, wait time.Duration) bool {
	triedAll := fault.Is(err, fault.Unavailable) && len(request.Exclude)+len(request.Unsent) > 0 && !schedule.AwaitsVMs(err)
	return wait > 0 && !triedAll && (fault.Is(err, fault.Overloaded) || fault.Is(err, fault.Unavailable)) && schedule.MayWait(err, wait)
}

func (f *inflightCall) logPlaced(request *schedule.Request, claim *schedule.Claim, waited bool) {
	f.log.With(f.shedding.fields(request.Rank)...).Info("placed", placedFields(request, claim, waited)...)
}

// placedFields returns the log fields of a claim.
func placedFields(request *schedule.Request, claim *schedule.Claim, waited bool) []zap.Field {
	return []zap.Field{
		zap.Stringer("stage", request.Stage), zap.String("endpoint", claim.Endpoint.ID.Name),
		zap.String("software", claim.Endpoint.SoftwareVersion), zap.Uint64("table_version", claim.TableVersion), zap.Duration("predicted_cost", claim.Score), zap.Int("among", claim.Candidates),
		zap.Int("calls", claim.EndpointWork.Calls), zap.Int64("tokens", claim.EndpointWork.Tokens),
		zap.Float64("slowness", claim.Slowness), zap.Duration("slowness_age", claim.SlownessAge),
		zap.String("via", viaName(claim.Via)), zap.Bool("ejected", claim.Ejected), zap.Bool("cold", claim.Cold),
		zap.Int("parts_expected", claim.Held.Parts), zap.Int64("tokens_saved", claim.SavedTokens), zap.Bool("waited", waited),
	}
}

func (f *inflightCall) logNotPlaced(request *schedule.Request, waited bool, err error) {
	f.log.With(f.shedding.fields(request.Rank)...).Info("not placed", zap.Stringer("stage", request.Stage), zap.String("service", request.Service),
		zap.Bool("waited", waited), zap.Duration("retry_after", fault.DetailOf(err).RetryAfter), zap.Error(err))
}

// vmAnswerTime is how long a call waits for other VMs to say whether they reach its endpoints. It is a little more than they are given.
const vmAnswerTime = 400 * time.Millisecond

// capacityRecheckInterval limits one wait for a release, because capacity can also become available
// as time passes, which is not signalled.
const capacityRecheckInterval = 50 * time.Millisecond

func waitForCapacity(ctx context.Context, freed <-chan struct{}, maxWait time.Duration) error {
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-freed:
	case <-t.C:
	}
	return nil
}
