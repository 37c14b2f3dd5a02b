package dispatch

import (
	"context"
	"errors"
	"io"
	"syscall"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// checkPrompt fails with Quarantined if calls with a part of this call's prompt crash engines.
func (f *inflightCall) checkPrompt() error {
	if f.trialPart != "" {
		return nil
	}
	d := f.dispatcher.opts.Quarantine.Check(f.call.PromptParts)
	if d.Part == "" {
		return nil
	}
	f.log.Info("prompt part is quarantined", zap.String("part", d.Part), zap.Bool("trial", d.Trial), zap.Duration("wait", d.RetryAfter))
	if !d.Refused() {
		f.trialPart = d.Part
		return nil
	}
	return fault.New(fault.Quarantined, "send another prompt; operators: look for the engines' crashes in the log",
		"calls with a part of this prompt crash engines", fault.WithRetryAfter(d.RetryAfter))
}

// crashed reports whether an endpoint aborted a response that it had begun, as one does that crashes. It does
// not if this side ended the request, the endpoint failed it with a status, or nothing came in time.
func crashed(ctx context.Context, err error) bool {
	if ctx.Err() != nil || !backend.MayHaveRun(err) {
		return false
	}
	for _, aborted := range []error{io.ErrUnexpectedEOF, io.EOF, syscall.ECONNRESET, syscall.EPIPE, errStreamTruncated, errStreamEmpty} {
		if errors.Is(err, aborted) {
			return true
		}
	}
	return false
}
