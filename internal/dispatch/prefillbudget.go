package dispatch

import (
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// holdPrefill holds a retry for the prefill that is about to be sent, as it counts as one if the engine does not accept it. If the
// budget has none left, the decode engine computes the prefill, which is the call's first arrival or was counted already.
func (g *generation) holdPrefill() bool {
	if g.dispatcher.opts.Admission.HoldPrefill(g.call.Service.Name) {
		return true
	}
	g.log.Info("prefill left to the decode engine", zap.String("why", "the retry budget has no capacity for one that is not accepted"))
	g.dispatcher.opts.Metrics.GetOrCreateCounter(`fulmartide_prefills_left_to_decode_total`).Inc()
	return false
}

// settlePrefill settles what was held and counted for a prefill once its outcome is known. Only the first one that an engine accepts
// is free. The retry that was deducted for a successor of the prefill, if there is one, stands for the prefill itself.
func (g *generation) settlePrefill(claim *schedule.Claim, err error) {
	arrived := err == nil || backend.MayHaveArrived(err)
	if !arrived {
		claim.NotSent()
	}
	counts := arrived && (err != nil || g.prefilled)
	if counts && g.next != nil {
		g.next.spentAt, counts = 0, false
	}
	g.dispatcher.opts.Admission.SettlePrefill(g.call.Service.Name, counts)
	g.prefilled = g.prefilled || err == nil
}
