package exchange

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// nothing is the reply to messages that ask for none.
type nothing struct{}

func (s *Service) onBeat(_ context.Context, _ ident.VM, b *beat) (*nothing, error) {
	counted, ok := s.noteBeat(b)
	if !ok {
		return nil, nil
	}
	for name, n := range counted {
		s.opts.Plans.AddFromPeer(name, n)
	}
	if b.Leaving {
		return nil, nil
	}
	if b.Full {
		if b.Whole {
			s.opts.Plans.SeedWindow(byWorkspace(b.Window))
		}
		s.opts.Work.ReplaceWork(b.From.VM, b.Seq, byEndpoint(b.Work))
	}
	s.compare(b.From, b.Versions, b.Age)
	return nil, nil
}

// noteBeat takes over that a VM is up, and gives what it counted since it last told. ok is false
// for a heartbeat that comes late.
func (s *Service) noteBeat(b *beat) (counted map[admission.CounterKey]int64, ok bool) {
	s.mu.Lock()
	c := s.roster.hear(s.opts.Clock.Now(), b)
	known, heard := s.roster.counts()
	parts := s.roster.parts()
	if b.Leaving {
		s.hangUp(b.From.Address)
	}
	if c.joined || c.returned {
		s.fullAt = 0 // it knows nothing of this VM yet
	}
	s.mu.Unlock()
	if c.late {
		return nil, false
	}
	s.opts.Plans.SetFleetShares(parts)
	if c.joined || c.returned || !c.replaced.IsZero() {
		s.opts.Log.Info("vm heard", zap.Stringer("vm", b.From.VM), zap.Bool("joined", c.joined), zap.Bool("returned", c.returned),
			zap.Bool("leaving", b.Leaving), zap.Stringer("replaces", c.replaced), zap.Int("known", known), zap.Int("heard", heard))
	}
	if !c.replaced.IsZero() {
		s.opts.Work.ForgetVM(c.replaced)
	}
	return c.counted, true
}

func byWorkspace(list []use) map[string]int64 {
	out := make(map[string]int64, len(list))
	for _, u := range list {
		out[u.Workspace] = u.Tokens
	}
	return out
}

func byEndpoint(list []endpointWork) map[traffic.EndpointID]schedule.Work {
	out := make(map[traffic.EndpointID]schedule.Work, len(list))
	for _, w := range list {
		out[w.id()] = w.Work
	}
	return out
}

func (s *Service) onChanges(_ context.Context, from ident.VM, m *changes) (*nothing, error) {
	s.mu.Lock()
	counted := s.roster.changed(from, m.From, m.Counts)
	s.mu.Unlock()
	for name, n := range counted {
		s.opts.Plans.AddFromPeer(name, n)
	}
	if m.All {
		s.opts.Work.ReplaceWork(from, m.Seq, byEndpoint(m.Work))
		return nil, nil
	}
	for _, w := range m.Work {
		s.opts.Work.UpdateWork(from, m.Seq, w.id(), w.Work)
	}
	return nil, nil
}

func (s *Service) onFailure(_ context.Context, from ident.VM, m *failure) (*nothing, error) {
	s.opts.Log.Info("endpoint failed at another vm", zap.Stringer("vm", from), zap.String("endpoint", m.Name), zap.Stringer("outcome", m.Outcome))
	s.opts.Work.RecordPeerOutcome(traffic.EndpointID{Name: m.Name, Born: m.Born}, m.Outcome)
	return nil, nil
}

// compare asks for documents of which another VM has a newer version.
func (s *Service) compare(from Member, versions []uint64, age time.Duration) {
	if n := len(versions); n > 0 {
		s.opts.Documents.Confirm(versions[n-1], age)
	}
	for i, version := range versions {
		if !s.opts.Documents.Wants(i, version) {
			continue
		}
		s.mu.Lock()
		begin := s.ctx != nil && s.ctx.Err() == nil && !s.asking[i]
		if begin {
			s.asking[i] = true
			s.wg.Go(func() { s.fetch(s.ctx, i, from.VM, from.Address) })
		}
		s.mu.Unlock()
	}
}

func (s *Service) fetch(ctx context.Context, document int, vm ident.VM, addr netip.AddrPort) {
	defer func() {
		s.mu.Lock()
		s.asking[document] = false
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ask := &documentAsk{Document: document, Than: s.opts.Documents.Versions()[document]}
	a, err := peer.Call[documentAsk, documentAnswer](ctx, s.opts.Transport, addr, peer.KindDocument, ask)
	if err == nil && a.Body != nil {
		err = s.opts.Documents.Offer(document, a.Body, a.Age, vm.Name)
	}
	if err != nil {
		s.opts.Log.Warn("document not fetched", zap.Int("document", document), zap.Stringer("vm", vm), zap.Error(err))
	}
}

func (s *Service) onAsk(_ context.Context, _ ident.VM, a *documentAsk) (*documentAnswer, error) {
	version, body, err := s.opts.Documents.Body(a.Document)
	if err != nil || version <= a.Than {
		return &documentAnswer{}, err
	}
	return &documentAnswer{Version: version, Body: body, Age: s.opts.Documents.Age()}, nil
}
