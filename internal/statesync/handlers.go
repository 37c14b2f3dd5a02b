package statesync

import (
	"context"
	"net/netip"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/notify"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// noReply is the reply type of one-way messages.
type noReply struct{}

func (s *Service) onHeartbeat(_ context.Context, _ ident.VM, hb *heartbeat) {
	increments, ok := s.recordHeartbeat(hb)
	if !ok {
		return
	}
	for key, n := range increments {
		s.opts.Plans.AddFromPeer(key, n)
	}
	if hb.Leaving {
		return
	}
	if hb.Full {
		s.opts.Work.ReplaceWork(hb.From.VM, hb.Seq, byEndpoint(hb.Work))
		s.recordPaces(hb.Work)
	}
	for i := range hb.Limits {
		s.recordLimit(&hb.Limits[i])
	}
	s.requestNewer(hb.From, traffic.Freshness{Versions: hb.Versions, Reading: hb.Reading, Age: hb.Age})
	s.requestQuarantine(hb.From, hb.Quarantine)
}

// recordHeartbeat marks a VM as up and returns how far its counters have grown since its previous
// report. ok is false for a stale heartbeat.
func (s *Service) recordHeartbeat(hb *heartbeat) (increments map[admission.CounterKey]int64, ok bool) {
	s.mu.Lock()
	c := s.members.applyHeartbeat(s.opts.Clock.Now(), hb)
	if hb.Leaving {
		s.closeQueue(hb.From.Address)
	}
	if c.joined || c.recovered {
		s.lastFull = 0 // the VM has no state of this one yet
	}
	s.mu.Unlock()
	if c.changesFleet() {
		s.applyMemberChange(hb, c)
	}
	return c.increments, !c.stale
}

// applyMemberChange updates what depends on the members of the fleet.
func (s *Service) applyMemberChange(hb *heartbeat, c memberChange) {
	s.mu.Lock()
	known, live := s.members.size()
	shares := s.members.fleetShares(s.listed)
	s.mu.Unlock()
	s.opts.Log.Info("vm heard", zap.Stringer("vm", hb.From.VM), zap.Bool("joined", c.joined), zap.Bool("recovered", c.recovered),
		zap.Bool("leaving", hb.Leaving), zap.Stringer("replaces", c.replaced), zap.Int("known", known), zap.Int("heard", live))
	s.opts.Plans.SetFleetShares(shares)
	if c.joined {
		notify.Signal(s.membersAdded)
	}
	if !c.replaced.IsZero() {
		s.opts.Work.ForgetVM(c.replaced)
	}
}

func byWorkspace(list []usage) map[string]int64 {
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

func (s *Service) onUpdate(_ context.Context, from ident.VM, m *update) {
	s.mu.Lock()
	increments := s.members.applyCounters(s.opts.Clock.Now(), from, m.From, m.Counters)
	s.mu.Unlock()
	for key, n := range increments {
		s.opts.Plans.AddFromPeer(key, n)
	}
	s.recordPaces(m.Work)
	if m.Snapshot {
		s.opts.Work.ReplaceWork(from, m.Seq, byEndpoint(m.Work))
		return
	}
	for _, w := range m.Work {
		s.opts.Work.UpdateWork(from, m.Seq, w.id(), w.Work)
	}
}

func (s *Service) onFailure(_ context.Context, from ident.VM, m *failure) {
	s.opts.Log.Info("endpoint failed at another vm", zap.Stringer("vm", from), zap.String("endpoint", m.Name), zap.Stringer("outcome", m.Outcome))
	s.opts.Work.RecordPeerOutcome(traffic.EndpointID{Name: m.Name, StartedAt: m.StartedAt}, m.Outcome)
}

// requestNewer records what another VM knows of the store, and fetches the documents of which it reports a newer version.
func (s *Service) requestNewer(from Member, f traffic.Freshness) {
	s.opts.Documents.Confirm(f)
	for i, version := range f.Versions {
		if !s.opts.Documents.NeedsVersion(i, version) {
			continue
		}
		s.mu.Lock()
		begin := s.ctx != nil && s.ctx.Err() == nil && !s.fetching[i]
		if begin {
			s.fetching[i] = true
			s.wg.Go(func() { s.fetchDocument(s.ctx, i, from.VM, from.Address) })
		}
		s.mu.Unlock()
	}
}

func (s *Service) fetchDocument(ctx context.Context, document int, vm ident.VM, addr netip.AddrPort) {
	defer func() {
		s.mu.Lock()
		s.fetching[document] = false
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	requestedAt := s.opts.Clock.Now()
	req := &documentRequest{Document: document, Known: s.opts.Documents.Versions()[document]}
	resp, err := peer.Call[documentRequest, documentResponse](ctx, s.opts.Transport, addr, peer.KindDocument, req)
	if err == nil && resp.Body != nil {
		err = s.opts.Documents.Apply(document, resp.Version.Era, resp.Body, requestedAt.Add(-resp.Age), vm.Name)
	}
	if err != nil {
		s.opts.Log.Warn("could not fetch document", zap.Int("document", document), zap.Stringer("vm", vm), zap.Error(err))
	}
}

func (s *Service) onDocumentRequest(_ context.Context, _ ident.VM, req *documentRequest) (*documentResponse, error) {
	version, body, err := s.opts.Documents.Encode(req.Document)
	if err != nil || version == req.Known {
		return &documentResponse{}, err
	}
	return &documentResponse{Version: version, Body: body, Age: s.opts.Documents.Freshness().Age}, nil
}
