package statesync

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// windowSources is the number of VMs that are asked at once for the usage in the plan window.
	windowSources = 3
	// windowTimeout bounds one request for it.
	windowTimeout = 200 * time.Millisecond
	// The pause between two rounds of requests doubles from minWindowPause to maxWindowPause.
	minWindowPause = 20 * time.Millisecond
	maxWindowPause = time.Second
	// joinWindowPause is the maximum pause after VMs have joined. It is not shorter, because the VMs of
	// a fleet that starts join one after the other.
	joinWindowPause = 100 * time.Millisecond
)

// adoptWindow asks direct peers for the usage in the current plan window until one that lived through it has told
// this VM. Without it, a VM that restarts would admit calls of workspaces that have used up their plans. In
// a fleet that starts as a whole no VM did, and each one counts for a window instead.
func (s *Service) adoptWindow(ctx context.Context) {
	pause := minWindowPause
	for turn := 0; s.opts.Plans.NeedsWindow(); turn++ {
		s.mu.Lock()
		sources := s.members.sources(turn, windowSources)
		s.mu.Unlock()
		if s.requestWindow(ctx, sources) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.membersAdded:
			clock.Sleep(ctx, min(pause, joinWindowPause))
		case <-time.After(pause):
			pause = min(2*pause, maxWindowPause)
		}
	}
}

// sources returns up to n direct peers to ask for what this VM missed before its start, live ones if there are any. The
// choice rotates with turn.
func (t *memberTable) sources(turn, n int) []netip.AddrPort {
	sources := t.addresses(func(p *peerState) bool { return t.isDirect(p) && !p.unresponsive })
	if len(sources) == 0 {
		sources = t.addresses(t.isDirect)
	}
	if len(sources) <= n {
		return sources
	}
	slices.SortFunc(sources, netip.AddrPort.Compare)
	first := turn * n % len(sources)
	return append(sources[first:], sources[:first]...)[:n]
}

// requestWindow asks VMs for the usage in the plan window and adopts what they know. It reports
// whether one of them knew all of it.
func (s *Service) requestWindow(ctx context.Context, sources []netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, windowTimeout)
	defer cancel()
	request := windowRequest{LivedThrough: s.opts.Plans.KnowsRecords()}
	var wg sync.WaitGroup
	for _, addr := range sources {
		wg.Go(func() {
			resp, err := peer.Call[windowRequest, windowResponse](ctx, s.opts.Transport, addr, peer.KindPlanWindow, &request)
			if err != nil {
				s.opts.Log.Debug("plan window not received", zap.Stringer("address", addr), zap.Error(err))
				return
			}
			s.requestNewer(resp.From, traffic.Freshness{Versions: resp.Versions, Age: resp.Age})
			if resp.Complete {
				s.opts.Plans.AdoptWindow(resp.State)
				s.opts.Log.Info("plan window adopted", zap.Stringer("address", addr), zap.Int("workspaces", len(resp.State.Buckets)),
					zap.Bool("from_records", resp.State.Restarted))
			}
		})
	}
	wg.Wait()
	return !s.opts.Plans.NeedsWindow()
}

func (s *Service) onWindowRequest(_ context.Context, _ ident.VM, req *windowRequest) (*windowResponse, error) {
	state, ok := s.opts.Plans.WindowState()
	if req.LivedThrough && state.Restarted {
		state, ok = admission.WindowState{}, false
	}
	fresh := s.opts.Documents.Freshness()
	return &windowResponse{Complete: ok, State: state, From: s.opts.Self, Versions: fresh.Versions, Age: fresh.Age}, nil
}
