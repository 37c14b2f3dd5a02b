package dispatch

import (
	"errors"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// successor is an attempt that replaces one whose endpoint is silent: its places are claimed, and its retry is deducted
// from the retry budget.
type successor struct {
	// decode is where the call runs. prefill is nil if the prompt is not prefilled at another endpoint before.
	decode, prefill *schedule.Claim
	// spentAt is when the retry was deducted.
	spentAt clock.Instant
	// silence is how long the endpoint of the replaced attempt had been silent.
	silence time.Duration
}

func (s *successor) release() {
	for _, c := range []*schedule.Claim{s.decode, s.prefill} {
		if c != nil {
			c.Release()
		}
	}
}

// replacement is the steps after which an attempt at a silent endpoint is ended in favour of another one.
type replacement struct {
	// obstacle returns why no other attempt may follow now, as far as that is known without taking anything, or nil.
	obstacle func() error
	// claim claims the places of the other attempt.
	claim func() (*successor, error)
	// commit deducts the retry and ends the silent attempt, unless that went on meanwhile or no retry is left.
	commit func(*successor) error
}

// replace replaces the attempt. If a step fails it goes on, and nothing stays claimed or deducted.
func (r *replacement) replace() error {
	if err := r.obstacle(); err != nil {
		return err
	}
	s, err := r.claim()
	if err != nil {
		return err
	}
	if err := r.commit(s); err != nil {
		s.release()
		return err
	}
	return nil
}

// Reasons for which an attempt is not replaced.
var (
	errNoRetryLeft    = errors.New("the retry budget is used up")
	errWentOn         = errors.New("the attempt went on or ended")
	errQuarantined    = errors.New("the request or a part of its prompt is quarantined")
	errPrefillFull    = errors.New("the prefill engines are full")
	errTimeNearlyOver = errors.New("the call ends before another attempt could")
)

// successorObstacle returns why no other attempt of the call may follow now, or nil.
func (f *inflightCall) successorObstacle() error {
	o := &f.dispatcher.opts
	if !o.Admission.RetryLeft(f.call.Service.Name) {
		return errNoRetryLeft
	}
	parts := f.call.PromptParts
	if o.Quarantine.SuspectsRequests() {
		parts = append(slices.Clip(parts), f.call.RequestKey())
	}
	if o.Quarantine.Suspects(parts) {
		return errQuarantined
	}
	return nil
}

// claimNow claims an endpoint for a successor if one has capacity now. It reads nothing of the call that attempts change, as
// an attempt is in progress.
func (f *inflightCall) claimNow(request schedule.Request) (*schedule.Claim, error) {
	f.setRank(&request)
	claim, err := f.dispatcher.opts.Scheduler.Place(&request, nil)
	if err != nil {
		return nil, err
	}
	f.countCold(claim, false)
	f.countSaved(claim)
	f.log.Info("placed", placedFields(&request, claim, false)...)
	return claim, nil
}

// takeNext returns the successor that is prepared, nil if there is none.
func (f *inflightCall) takeNext() *successor {
	next := f.next
	f.next = nil
	if next != nil {
		f.returnRetry() // of an attempt that was not sent
		f.retryAt = next.spentAt
	}
	return next
}

// dropNext gives back what is held for a successor that is not used.
func (f *inflightCall) dropNext() {
	if next := f.takeNext(); next != nil {
		next.release()
		f.returnRetry()
	}
}

// claimEngines claims the engines that continue a generation. request is that of its decode engine.
func (g *generation) claimEngines(request schedule.Request) (*successor, error) {
	prefills := g.dispatcher.opts.Scheduler.HasStage(request.Service, traffic.Prefill, request.Regions)
	if prefills && g.prefillFull(request) {
		return nil, errPrefillFull
	}
	decode, err := g.claimNow(request)
	if err != nil {
		return nil, err
	}
	s := &successor{decode: decode}
	if !prefills {
		return s, nil
	}
	s.prefill, err = g.claimNow(g.prefillRequest(request, decode.Endpoint))
	if err != nil && !g.leftToDecode(decode.Endpoint, err) {
		decode.Release()
		return nil, err
	}
	return s, nil
}

// prefillFull reports whether no prefill engine has capacity for a generation. It is asked first, as a decode engine that is
// claimed in vain counts as used to other VMs, the prefix cache and queued calls.
func (g *generation) prefillFull(request schedule.Request) bool {
	request.Stage, request.NotRetryable = traffic.Prefill, false
	room := g.dispatcher.opts.Scheduler.Room(&request)
	return room.Engines > 0 && room.Free == 0
}

// prefillRequest returns the request for a prefill engine of a decode engine's software version.
func (g *generation) prefillRequest(request schedule.Request, decode traffic.Endpoint) schedule.Request {
	request.Stage, request.NotRetryable = traffic.Prefill, false
	request.PreferredDataCentre, request.Version = decode.DataCentre, &decode.SoftwareVersion
	request.MaxPrefillTime = time.Duration(PrefillFraction * float64(g.call.Route.LatencyTarget))
	return request
}
