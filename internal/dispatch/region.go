package dispatch

import (
	"errors"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// errEvacuated means that a request was not sent because the data centre of its endpoint was evacuated in the meantime.
var errEvacuated = errors.New("the data centre of the endpoint is evacuated")

// notSentToEvacuated returns the error of a send that an evacuation prevents. It is no retry to send the request to
// another endpoint instead.
func (f *inflightCall) notSentToEvacuated(claim *schedule.Claim) error {
	f.log.Info("not sent", zap.String("endpoint", claim.Endpoint.ID.Name), zap.String("data_centre", claim.Endpoint.DataCentre), zap.Error(errEvacuated))
	f.dispatcher.opts.Metrics.GetOrCreateCounter(`fulmartide_evacuated_sends_total`).Inc()
	f.unsent = append(f.unsent, claim.Endpoint.ID)
	return &backend.SendError{Err: errEvacuated}
}
