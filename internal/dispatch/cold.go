package dispatch

import (
	"context"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/schedule"
)

// maxColdClaims is the number of times that engines are claimed for one attempt because the permit of a cold decode engine
// lapses while the call waits for a prefill engine.
const maxColdClaims = 3

// placeStages is claimStages, repeated if the permit for a cold decode engine would lapse before the prompt is prefilled.
func (g *generation) placeStages(ctx context.Context) (prefill, decode *schedule.Claim, err error) {
	for n := 1; ; n++ {
		prefill, decode, err = g.claimStages(ctx)
		if err != nil || prefill == nil || n == maxColdClaims || decode.OutlastsPrefill(prefill.ExpectedPrefill) {
			return prefill, decode, err
		}
		g.log.Info("placed again, the permit of the cold engine lapses", zap.String("endpoint", decode.Endpoint.ID.Name),
			zap.Duration("expected", prefill.ExpectedPrefill))
		prefill.Release()
		decode.Release()
	}
}

// countCold counts a call that is placed at a cold endpoint, and how long it waited for that.
func (f *inflightCall) countCold(claim *schedule.Claim, waited bool) {
	if !claim.Cold {
		return
	}
	m := f.dispatcher.opts.Metrics
	m.GetOrCreateCounter(`fulmartide_cold_placements_total`).Inc()
	if waited {
		m.GetOrCreateHistogram(`fulmartide_cold_wait_seconds`).Update(f.elapsed().Seconds())
	}
}

// countColdRefusal counts a call that is refused because the endpoints that are left are cold.
func (f *inflightCall) countColdRefusal(err error) {
	if schedule.AllCold(err) {
		f.dispatcher.opts.Metrics.GetOrCreateCounter(`fulmartide_cold_refusals_total`).Inc()
	}
}
