package dispatch

import "github.com/fulmartide/fulmartide/internal/schedule"

// countSaved counts a call that is placed at an engine which is expected to hold a part of its prompt.
func (f *inflightCall) countSaved(claim *schedule.Claim) {
	if claim.SavedTokens == 0 {
		return
	}
	m := f.dispatcher.opts.Metrics
	m.GetOrCreateCounter(`fulmartide_prefix_placements_total`).Inc()
	m.GetOrCreateCounter(`fulmartide_prefix_saved_tokens_total`).Add(int(claim.SavedTokens))
}
