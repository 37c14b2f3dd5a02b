package dispatch

import (
	"context"
	"errors"
	"io"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/quarantine"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// checkQuarantine fails with Quarantined if this request, or calls with a part of its prompt, crash endpoints. A call
// that is let through as a trial is sent once.
func (f *inflightCall) checkQuarantine() error {
	if f.trialPart != "" && f.sends == 0 {
		return nil
	}
	q := f.dispatcher.opts.Quarantine
	parts := f.call.PromptParts
	if q.SuspectsRequests() {
		parts = append(slices.Clip(parts), f.call.RequestKey())
	}
	d := q.Check(parts)
	if d.Part == "" {
		return nil
	}
	f.log.Info("call is quarantined", zap.String("part", d.Part), zap.Bool("trial", d.Trial), zap.Duration("wait", d.RetryAfter))
	if !d.Refused() {
		f.trialPart = d.Part
		return nil
	}
	message := "calls with a part of this prompt crash engines"
	if traffic.IsRequestKey(d.Part) {
		message = "this request crashes endpoints"
	}
	return fault.New(fault.Quarantined, "send another request; operators: look for the endpoints' crashes in the log", message,
		fault.WithRetryAfter(d.RetryAfter))
}

// crashed reports whether an endpoint aborted a response, as one does that crashes. It does not if this side ended
// the request, the endpoint failed it with a status, or nothing came in time.
func crashed(ctx context.Context, err error) bool {
	if ctx.Err() != nil || callerGone(ctx, err) || !backend.MayHaveRun(err) {
		return false
	}
	for _, aborted := range []error{io.ErrUnexpectedEOF, io.EOF, syscall.ECONNRESET, syscall.EPIPE, errStreamTruncated, errStreamEmpty} {
		if errors.Is(err, aborted) {
			return true
		}
	}
	return false
}

// abortedSend is a request whose connection the endpoint closed before it had answered.
type abortedSend struct {
	endpoint traffic.Endpoint
	call     string
	key      string
	sentAt   clock.Instant
	at       clock.Instant
}

// maxAbortedSends is the capacity of the queue of aborted sends. Further ones are not examined.
const maxAbortedSends = 256

// examineAbort queues an aborted send, to find out whether the endpoint has crashed.
func (f *inflightCall) examineAbort(ctx context.Context, claim *schedule.Claim, err error) {
	if !crashed(ctx, err) {
		return
	}
	a := abortedSend{
		endpoint: claim.Endpoint, call: f.call.ID, key: f.call.RequestKey(), sentAt: f.sentAt, at: f.dispatcher.opts.Clock.Now(),
	}
	select {
	case f.dispatcher.aborted <- a:
	default:
		f.log.Warn("aborted request not examined", zap.String("endpoint", a.endpoint.ID.Name), zap.String("why", "queue full"))
	}
}

// recordAnswer tells the quarantine that an endpoint survived this request.
func (f *inflightCall) recordAnswer() {
	if q := f.dispatcher.opts.Quarantine; q.SuspectsRequests() {
		q.RecordAnswer(f.call.RequestKey())
	}
}

// examination is the result of a connection to an endpoint that has aborted requests.
type examination struct {
	endpoint traffic.EndpointID
	at       clock.Instant
	refuses  bool
}

// examineTimeout limits the examination of an endpoint that has aborted a request.
const examineTimeout = 600 * time.Millisecond

// examineAborts records the aborted sends whose endpoints refuse connections, and so have crashed, until ctx ends.
func (d *Dispatcher) examineAborts(ctx context.Context) {
	var last examination
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-d.aborted:
			if last.endpoint != a.endpoint.ID || last.at.Before(a.at) {
				last = d.examine(ctx, a.endpoint)
			}
			d.opts.Log.Info("aborted request examined", zap.String("request", a.call), zap.String("request_key", a.key),
				zap.String("endpoint", a.endpoint.ID.Name), zap.Bool("crashed", last.refuses))
			if last.refuses {
				d.opts.Quarantine.RecordCrash(quarantine.Crash{
					Endpoint: a.endpoint.ID, Call: a.call, Parts: []string{a.key}, Ran: a.at.Sub(a.sentAt), Age: last.at.Sub(a.at),
				})
			}
		}
	}
}

func (d *Dispatcher) examine(ctx context.Context, e traffic.Endpoint) examination {
	if d.opts.Scheduler.Evacuated(e.DataCentre) { // an endpoint there is not connected to
		return examination{endpoint: e.ID, at: d.opts.Clock.Now()}
	}
	ctx, cancel := context.WithTimeout(ctx, examineTimeout)
	defer cancel()
	err := d.opts.Backend.Connect(ctx, e)
	at := d.opts.Clock.Now()
	// A connection that is refused to this VM alone says nothing about the endpoint.
	refuses := errors.Is(err, syscall.ECONNREFUSED) && !d.opts.ReachedElsewhere(ctx, e)
	return examination{endpoint: e.ID, at: at, refuses: refuses}
}
