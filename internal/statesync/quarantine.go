package statesync

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/quarantine"
)

const (
	// quarantineQueueSize is the maximum number of pieces of news waiting to be sent. Further ones are dropped,
	// as VMs whose fingerprints differ request the whole state.
	quarantineQueueSize = 64
	// quarantinePause is the minimum time between two such requests of a VM.
	quarantinePause = 500 * time.Millisecond
)

// QuarantineChanged sends news about prompts that crash engines to all VMs.
func (s *Service) QuarantineChanged(news quarantine.State) {
	select {
	case s.quarantine <- news:
	default:
	}
}

func (s *Service) onQuarantine(_ context.Context, from ident.VM, news *quarantine.State) {
	s.opts.Quarantine.Merge(*news, false, from.Name)
}

func (s *Service) onQuarantineRequest(context.Context, ident.VM, *quarantineRequest) (*quarantine.State, error) {
	state := s.opts.Quarantine.State()
	return &state, nil
}

// requestQuarantine requests the state of another VM if its fingerprint differs, which happens to VMs that
// started or missed news.
func (s *Service) requestQuarantine(from Member, fingerprint uint64) {
	if fingerprint == 0 || fingerprint == s.opts.Quarantine.Fingerprint() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetchingQuarantine || s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	s.fetchingQuarantine = true
	s.wg.Go(func() { s.fetchQuarantine(s.ctx, from) })
}

func (s *Service) fetchQuarantine(ctx context.Context, from Member) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	state, err := peer.Call[quarantineRequest, quarantine.State](callCtx, s.opts.Transport, from.Address, peer.KindQuarantineState, &quarantineRequest{})
	cancel()
	if err != nil {
		s.opts.Log.Warn("could not fetch quarantined prompts", zap.Stringer("vm", from.VM), zap.Error(err))
	} else {
		s.opts.Quarantine.Merge(*state, true, from.VM.Name)
	}
	clock.Sleep(ctx, quarantinePause)
	s.mu.Lock()
	s.fetchingQuarantine = false
	s.mu.Unlock()
}
