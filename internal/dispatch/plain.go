package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

const (
	// maxAnswer is the most of an answer that is held before it is handed on.
	maxAnswer = 8 << 20
	// maxUnsent is the most endpoints that may take no connection before a call is refused.
	maxUnsent = 4
	// tryPart is the part of the latency objective after which a repeatable call is sent again.
	tryPart = 0.6
	// minTry is the least time of a try that will be followed by another.
	minTry = 50 * time.Millisecond
	// waitPart is the part of the latency objective for which a call waits for room.
	waitPart = 0.5
)

// answer is an endpoint's answer, read to its end.
type answer struct {
	reply *backend.Reply
	body  []byte
}

// plain serves a call whose answer is handed on once it is whole.
func (f *flight) plain(ctx context.Context) error {
	var kept *answer // an answer with an error of the endpoint's own
	unsent := 0
	for {
		a, err := f.try(ctx)
		if err == nil && (a.reply.Status < http.StatusInternalServerError || !f.c.Route.Retryable()) {
			return f.deliver(ctx, a)
		}
		if err == nil {
			kept = a
		}
		if err != nil && !backend.Arrived(err) {
			unsent++
		}
		if !f.mayTryAgain(ctx, err, unsent) {
			if kept != nil {
				return f.deliver(ctx, kept)
			}
			return f.outcome(ctx, err)
		}
	}
}

// mayTryAgain decides whether the call goes to another endpoint after a failed try.
func (f *flight) mayTryAgain(ctx context.Context, err error, unsent int) bool {
	r := f.c.Route
	switch {
	case ctx.Err() != nil || unsent >= maxUnsent:
		return false
	case fault.Is(err, fault.Overloaded) || fault.Is(err, fault.Unavailable):
		return false // nothing could be placed
	case err != nil && !backend.Arrived(err):
		return true
	case err != nil && backend.WasRejected(err):
		return f.spend("rejected")
	default:
		return r.Retryable() && f.runs < max(1, r.MaxAttempts) && f.spend("failed")
	}
}

// try sends the call to one endpoint and reads the answer.
func (f *flight) try(ctx context.Context) (*answer, error) {
	ask := &schedule.Ask{Service: f.c.Service.Name, Avoid: f.tried, Once: !f.c.Route.Retryable()}
	claim, err := f.place(ctx, ask, time.Duration(waitPart*float64(f.c.Route.LatencyTarget)))
	if err != nil {
		return nil, err
	}
	defer claim.Release()
	f.tried = append(f.tried, claim.Endpoint.ID)
	if limit, ok := f.tryLimit(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, limit, errTryOver)
		defer cancel()
	}
	a, err := f.ask(ctx, claim)
	f.judge(ctx, claim, a, err)
	return a, err
}

// errTryOver is the cause of a context whose try gave no answer in time.
var errTryOver = errors.New("the endpoint gave no answer in the time of one try")

// tryLimit bounds one try, if another may follow.
func (f *flight) tryLimit() (time.Duration, bool) {
	r := f.c.Route
	limit := max(minTry, time.Duration(tryPart*float64(r.LatencyTarget)))
	return limit, r.Retryable() && f.runs+1 < r.MaxAttempts && limit < f.left()
}

// ask sends the call and reads the whole answer.
func (f *flight) ask(ctx context.Context, claim *schedule.Claim) (*answer, error) {
	reply, err := f.d.opts.Backend.Run(ctx, f.order(claim.Endpoint))
	if err != nil {
		f.countSend(err)
		return nil, err
	}
	defer func() { _ = reply.Body.Close() }()
	claim.Reported(reply.Load)
	if reply.NotRun {
		err = &backend.SendError{Sent: true, Rejected: true, Err: errRejected}
		f.countSend(err)
		return nil, err
	}
	f.countSend(nil)
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLong
	}
	if err != nil {
		return nil, &backend.SendError{Sent: true, Err: err}
	}
	return &answer{reply: reply, body: body}, nil
}

var (
	errRejected = errors.New("the endpoint rejected the call")
	errTooLong  = errors.New("the endpoint's answer is too long")
)

// countSend counts a send by what is known of its outcome; err is nil for an answer.
func (f *flight) countSend(err error) {
	if err == nil || backend.Arrived(err) {
		f.sends++
	}
	if err == nil || backend.MayHaveRun(err) {
		f.runs++
		f.ran = true
	}
}

// judge tells the scheduler how a try went, and logs it.
func (f *flight) judge(ctx context.Context, claim *schedule.Claim, a *answer, err error) {
	status := 0
	if a != nil {
		status = a.reply.Status
	}
	f.log.Info("tried", zap.String("endpoint", claim.Endpoint.ID.Name), zap.Int("status", status),
		zap.Bool("may_have_run", err == nil || backend.MayHaveRun(err)), zap.Duration("elapsed", f.elapsed()), zap.Error(err))
	switch {
	case err == nil && status >= http.StatusInternalServerError:
		claim.Record(schedule.Erred)
	case err == nil:
		claim.Record(schedule.Good)
	case backend.WasRejected(err):
		claim.Full()
	case !backend.Arrived(err):
		if ctx.Err() == nil {
			claim.Record(schedule.Dead)
		}
	case callerGone(ctx):
	default:
		claim.Record(schedule.Failed)
	}
}

// callerGone reports whether ctx ended because the caller went away.
func callerGone(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }

// deliver hands a whole answer on.
func (f *flight) deliver(ctx context.Context, a *answer) error {
	f.started = true
	err := f.out.Head(a.reply.Status, a.reply.Header, int64(len(a.body)))
	if err == nil {
		err = f.out.Data(a.body)
	}
	if err != nil {
		return fault.Wrap(err, fault.Cancelled, "keep the connection open", "write to the caller", fault.WithRun(fault.Ran))
	}
	return nil
}
