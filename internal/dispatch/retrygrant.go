package dispatch

import (
	"context"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// grantWait is how long a failed call waits for retries that other VMs may grant: a request may follow the one before by 50 ms, and its reply
	// takes one round trip.
	grantWait = 100 * time.Millisecond
	// grantPoll is the time between two looks at what was granted.
	grantPoll = 5 * time.Millisecond
)

// awaitRetry waits for retries that other VMs may grant, and deducts one.
func (f *inflightCall) awaitRetry(ctx context.Context) bool {
	gate, service := f.dispatcher.opts.Admission, f.call.Service.Name
	for waited := time.Duration(0); waited < grantWait; waited += grantPoll {
		if !gate.MayBorrow(service) || !clock.Sleep(ctx, grantPoll) {
			return false
		}
		if gate.RetryLeft(service) && f.spendRetry() {
			return true
		}
	}
	gate.RecordVainWait(service)
	return false
}
