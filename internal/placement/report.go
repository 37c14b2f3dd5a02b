package placement

import (
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

var (
	assignedTotal   = metrics.NewCounter(`fulmartide_placement_assigned_total`)
	reassignedTotal = metrics.NewCounter(`fulmartide_placement_reassigned_total`)
	refusedTotal    = metrics.NewCounter(`fulmartide_placement_refused_total`)
	ejectedTotal    = metrics.NewCounter(`fulmartide_placement_ejected_total`)
	ownerFailures   = metrics.NewCounter(`fulmartide_placement_owner_failures_total`)
	lostUpdates     = metrics.NewCounter(`fulmartide_placement_lost_updates_total`)
	waitSeconds     = metrics.NewHistogram(`fulmartide_placement_queue_wait_seconds`)
)

func countDecision(d *Decision) {
	waitSeconds.Update(d.Waited.Seconds())
	switch {
	case d.Refusal != nil:
		refusedTotal.Inc()
	case d.Reassigned:
		reassignedTotal.Inc()
	default:
		assignedTotal.Inc()
	}
}

func countEjection(e *Ejection) {
	if e.Ejected {
		ejectedTotal.Inc()
	}
}

// logDecision logs one decision with the chosen endpoints, the rejected ones and the reason.
func logDecision(log *zap.Logger, cell string, d *Decision) {
	fields := make([]zap.Field, 0, 12)
	fields = append(fields,
		zap.String("cell", cell),
		zap.String("request", d.ID.String()),
		zap.String("workspace", d.Workspace),
		zap.String("class", string(d.Class)),
		zap.Duration("waited", d.Waited),
		zap.String("rejected", d.Rejected.String()),
	)
	if d.Refusal != nil {
		fields = append(fields,
			zap.String("kind", string(d.Refusal.Kind)),
			zap.String("reason", d.Refusal.Message),
			zap.Duration("retry_after", d.Refusal.RetryAfter),
		)
		log.Info("placement_refused", fields...)
		return
	}
	fields = append(fields,
		zap.String("prefill", d.Assignment.Prefill),
		zap.String("decode", d.Assignment.Decode),
		zap.Int64("cached_tokens", d.Assignment.CachedTokens),
		zap.Bool("reassigned", d.Reassigned),
		zap.String("reason", d.Assignment.Reason),
	)
	log.Info("placement", fields...)
}
