package ledger

import "context"

// FinishAndWait records an outcome and waits for the result.
func (s *Service) FinishAndWait(ctx context.Context, in Intent, out Outcome) error {
	return s.recordNow(ctx, &request{Kind: opFinish, Intent: in, Outcome: out.truncated()})
}

// AbandonAndWait abandons an attempt and waits for the result.
func (s *Service) AbandonAndWait(ctx context.Context, in Intent) error {
	return s.recordNow(ctx, &request{Kind: opAbandon, Intent: in})
}
