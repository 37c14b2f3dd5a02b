package ledger

import "context"

// FinishAndWait records an outcome before it returns.
func (s *Service) FinishAndWait(ctx context.Context, in Intent, out Outcome) error {
	return s.record(ctx, &request{Kind: opFinish, Intent: in, Outcome: out.trimmed()})
}

// AbandonAndWait gives up an attempt before it returns.
func (s *Service) AbandonAndWait(ctx context.Context, in Intent) error {
	return s.record(ctx, &request{Kind: opAbandon, Intent: in})
}
