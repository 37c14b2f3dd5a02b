package limiter

import (
	"context"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// registerHandlers registers the handlers for messages from other VMs.
func (s *Service) registerHandlers(t *peer.Transport) {
	peer.Handle(t, peer.KindLimiterReserve, func(ctx context.Context, from ident.VM, req *ReserveRequest) (*ReserveReply, error) {
		reply, err := s.serveReserve(ctx, from, req)
		return &reply, err
	})
	peer.Handle(t, peer.KindLimiterSettle, func(_ context.Context, from ident.VM, req *SettlementBatch) (*controlReply, error) {
		s.serveSettle(from, req)
		return &controlReply{}, nil
	})
	peer.Handle(t, peer.KindLimiterHandover, s.serveControl)
}

// serveReserve passes a reserve request to the holder state machine of this VM.
func (s *Service) serveReserve(ctx context.Context, from ident.VM, req *ReserveRequest) (ReserveReply, error) {
	if s.opts.Policy != PolicyPooled {
		return s.baseline.reserve(s.opts.Clock.Now(), s.opts.Configuration(), grantID{from, req.Seq}, req, 1), nil
	}
	call, reply := s.calls.open()
	defer s.calls.cancel(call)
	if !s.loop.TryPut(ReserveIn{Call: call, From: from, Req: *req}) {
		return ReserveReply{}, fault.New(fault.Overloaded, "retry shortly", "the limiter's inbox is full")
	}
	select {
	case out := <-reply:
		return out.(ReplyOut).Reply, nil
	case <-ctx.Done():
		return ReserveReply{}, fault.Wrap(ctx.Err(), fault.Timeout, "retry with another share", "reserve tokens from a share")
	}
}

func (s *Service) serveSettle(from ident.VM, req *SettlementBatch) {
	if s.opts.Policy != PolicyPooled {
		for _, item := range req.Items {
			s.baseline.settle(s.opts.Clock.Now(), grantID{from, item.Seq}, item)
		}
		return
	}
	s.loop.TryPut(SettleIn{From: from, Batch: *req})
}

// serveControl processes records and balances, and replies with the record applied by this VM.
func (s *Service) serveControl(ctx context.Context, _ ident.VM, req *controlRequest) (*controlReply, error) {
	if req.DataCentre != s.opts.Self.DataCentre {
		return nil, fault.New(fault.Malformed, "check the data centres in the VMs' settings", "control message was addressed to another data centre")
	}
	if len(req.Record) > 0 {
		rec, err := DecodeRecord(req.Record)
		if err != nil {
			return nil, err
		}
		if err := s.putAndWait(ctx, RecordIn{Record: rec, Version: req.Version}); err != nil {
			return nil, err
		}
	}
	if len(req.Balances) > 0 {
		if err := s.putAndWait(ctx, HandoverIn{Balances: req.Balances}); err != nil {
			return nil, err
		}
	}
	if len(req.Reclaim) > 0 {
		return s.serveReclaim(ctx, req.Reclaim)
	}
	return s.appliedRecord(req.Version), nil
}

func (s *Service) serveReclaim(ctx context.Context, items []ReclaimItem) (*controlReply, error) {
	call, reply := s.calls.open()
	defer s.calls.cancel(call)
	if err := s.loop.Put(ctx, ReclaimIn{Call: call, Items: items}); err != nil {
		return nil, err
	}
	select {
	case out := <-reply:
		return &controlReply{Reclaimed: out.(ReclaimedOut).Tokens}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// putAndWait returns after the state machine has processed the input.
func (s *Service) putAndWait(ctx context.Context, in Input) error {
	if err := s.loop.Put(ctx, in); err != nil {
		return err
	}
	_, err := s.status(ctx)
	return err
}

func (s *Service) appliedRecord(senderVersion uint64) *controlReply {
	s.records.mu.Lock()
	defer s.records.mu.Unlock()
	k := s.records.entry(s.opts.Self.DataCentre)
	out := &controlReply{Version: k.version}
	if k.record != nil && k.version > senderVersion {
		out.Record = k.record.Encode()
	}
	return out
}
