package dispatch

import (
	"context"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// remedyOtherVM tells callers what to do about a call that the stop of this process ended.
const remedyOtherVM = "retry the call; another VM will serve it"

// errStopping is the cancellation cause of calls that Stop ends.
var errStopping = fault.New(fault.Stopping, remedyOtherVM, "this VM is shutting down")

// Stop ends the calls in progress and refuses further ones. Serve and Forward then return an error of kind
// fault.Stopping at once. It states NotExecuted and a retry delay if no endpoint may have run the call. The process must
// leave enough time to write these answers after Stop. A context that is cancelled with a cause of this kind ends a single
// call in the same way.
func (d *Dispatcher) Stop() {
	d.opts.Log.Info("calls in progress are ended by the stop")
	d.stop(errStopping)
}

// untilStopped returns a context of a call that also ends with Stop. The call must call done when it has ended.
func (d *Dispatcher) untilStopped(ctx context.Context) (stoppable context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if d.stopping.Err() != nil {
		cancel(errStopping)
	}
	unregister := context.AfterFunc(d.stopping, func() { cancel(errStopping) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// stopped reports whether the context of a call was cancelled because this process is stopping.
func stopped(ctx context.Context) bool { return fault.Is(context.Cause(ctx), fault.Stopping) }

// stoppedError returns the error of a call that the stop of this process ended.
func (f *inflightCall) stoppedError(err error) error {
	if f.mayHaveRun {
		return fault.Wrap(err, fault.Stopping, "check with the service whether the call ran",
			"this VM stopped before the endpoint had answered", fault.WithExecution(fault.ExecutionUnknown))
	}
	return fault.Wrap(err, fault.Stopping, remedyOtherVM, "the call was not run", fault.WithRetryAfter(minRetryAfter))
}
