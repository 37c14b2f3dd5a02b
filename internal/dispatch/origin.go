package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/origin"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// unknownOriginRetryAfter is the retry delay sent to callers whose streams cannot continue, because it is not known where
// they began or because the route no longer leads there.
const unknownOriginRetryAfter = time.Second

// resumesStream reports whether the caller resumes a stream that began in an earlier call.
func (f *inflightCall) resumesStream() bool {
	return f.call.LastEventID != "" && f.call.Route.Kind == traffic.Stream
}

// streamKey identifies the stream of the call on all VMs.
func (f *inflightCall) streamKey() origin.Key {
	if f.resumesStream() {
		return origin.NewKey(f.workspaceName(), f.call.Resumes)
	}
	return origin.NewKey(f.workspaceName(), f.call.ID)
}

// findOrigin finds out where a stream that the caller resumes began. The call goes to that service.
func (f *inflightCall) findOrigin(ctx context.Context, cfg *traffic.Configuration) error {
	if !f.resumesStream() {
		return nil
	}
	began := f.dispatcher.opts.Clock.Now()
	o, source := f.dispatcher.opts.Origins.Find(ctx, f.streamKey(), f.call.Service.Name, f.remaining())
	f.log.Info("resumes a stream", zap.String("resumes", f.call.Resumes), zap.String("after", f.call.LastEventID),
		zap.String("service", o.Service), zap.String("software", o.Version), zap.String("source", string(source)),
		zap.Duration("waited", f.dispatcher.opts.Clock.Now().Sub(began)))
	f.dispatcher.opts.Metrics.GetOrCreateCounter(`fulmartide_resumed_streams_total{origin="` + string(source) + `"}`).Inc()
	if source == origin.Unknown && stopped(ctx) {
		return f.stoppedError(context.Cause(ctx))
	}
	if source == origin.Unknown {
		return fault.New(fault.Unavailable, "begin the stream anew", "it is not known which software version began the stream",
			fault.WithRetryAfter(unknownOriginRetryAfter))
	}
	service := cfg.Services[o.Service]
	if service == nil || !slices.ContainsFunc(f.call.Route.Targets, func(t traffic.Target) bool { return t.Service == o.Service }) {
		return fault.New(fault.Unavailable, "begin the stream anew", "the route no longer leads to the service that began the stream",
			fault.WithRetryAfter(unknownOriginRetryAfter))
	}
	f.call.Service, f.origin = service, &o
	return nil
}

// requiredVersion returns the software version that an endpoint must have to run the call, nil for any.
func (f *inflightCall) requiredVersion() *string {
	if f.origin == nil {
		return nil
	}
	return &f.origin.Version
}

// recordOrigin records where the stream of the call began, before the first event of the call is delivered. lifetime is nil if the
// response is known to come from the lifetime of its endpoint's entry.
func (f *inflightCall) recordOrigin(lifetime backend.LifetimeEvidence) {
	if f.responseStarted && f.origin != nil || f.call.Route.Kind != traffic.Stream || !f.call.Route.Resumable {
		return
	}
	left := f.call.Deadline.Sub(f.dispatcher.opts.Clock.Now())
	if f.origin != nil {
		f.dispatcher.opts.Origins.Began(f.streamKey(), *f.origin, left)
		return
	}
	o := f.sentTo.Origin()
	f.origin, f.lifetime = &o, lifetime
	f.log.Info("stream begins", zap.String("endpoint", f.sentTo.ID.Name), zap.Int64("born", f.sentTo.ID.StartedAt),
		zap.String("software", o.Version), zap.Bool("lifetime_known", lifetime == nil))
	if lifetime == nil {
		f.dispatcher.opts.Metrics.GetOrCreateCounter(`fulmartide_new_stream_lifetimes_total{outcome="known"}`).Inc()
		f.dispatcher.opts.Origins.Began(f.streamKey(), o, left)
		return
	}
	f.dispatcher.opts.Origins.BeganOpen(f.streamKey(), f.sentTo, left, lifetime, f.log)
}

// maxLifetimeWait bounds the wait for the answer of the endpoint that tells which version began a stream that goes on within its response.
const maxLifetimeWait = time.Second

var errVersionUnknown = errors.New("it is not known which software version began the stream")

// confirmOrigin waits until it is known which version began the stream, if another endpoint is to continue the response.
func (f *inflightCall) confirmOrigin(ctx context.Context) error {
	if f.lifetime == nil || !f.responseStarted {
		return nil
	}
	began := f.dispatcher.opts.Clock.Now()
	waitCtx, cancel := context.WithTimeout(ctx, maxLifetimeWait)
	defer cancel()
	outcome := backend.AwaitLifetime(waitCtx, f.lifetime)
	f.log.Info("stream goes on in its response", zap.String("software", f.origin.Version), zap.String("lifetime", string(outcome)),
		zap.Duration("waited", f.dispatcher.opts.Clock.Now().Sub(began)))
	if !outcome.Confirmed() {
		return &backend.SendError{Sent: true, Err: errVersionUnknown}
	}
	f.lifetime = nil
	return nil
}
