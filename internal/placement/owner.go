package placement

import (
	"context"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
)

const (
	// ownerTries is the number of VMs asked for one placement.
	ownerTries = 3
	// firstPoll and laterPoll are how long an owner may keep an ask before it answers that the
	// request still waits.
	firstPoll, laterPoll = 150 * time.Millisecond, 500 * time.Millisecond
	// pollGrace is how much longer the answer may take before the owner counts as silent.
	pollGrace = 200 * time.Millisecond
)

// handleAsk serves another VM's ask. A VM that asks here holds this one to be the owner;
// that this one may see it otherwise makes no difference.
func (s *Service) handleAsk(ctx context.Context, _ ident.VM, m *askMessage) (*askReply, error) {
	r := s.runner(m.Cell)
	if r == nil {
		return nil, fault.New(fault.Unavailable, "ask another VM", "this VM does not know the cell "+m.Cell)
	}
	reply, err := r.ask(ctx, *m)
	return &reply, err
}

func (s *Service) handleUpdate(ctx context.Context, from ident.VM, m *updateMessage) (*updateReply, error) {
	for _, l := range m.Restored {
		if r := s.runner(l.Cell); r != nil {
			r.put(ctx, l.input())
		}
	}
	for _, u := range m.Stages {
		if r := s.runner(u.Cell); r != nil {
			r.put(ctx, ProgressInput{ID: ident.RequestID{VM: from, Seq: u.Seq}, Stage: u.Stage})
		}
	}
	return &updateReply{}, nil
}

func (l restoredLease) input() Input {
	return RestoreInput{Request: l.Request, Assignment: l.Assignment, Stage: l.Stage, Elapsed: l.Elapsed}
}

// askOwner asks one owner until it answers with a decision.
func (s *Service) askOwner(ctx context.Context, owner membership.Member, m askMessage) (askReply, error) {
	if s.isSelf(owner) {
		return s.askSelf(ctx, m)
	}
	m.Wait = firstPoll
	kind := peer.KindPlace
	if m.Failed != "" {
		kind = peer.KindPlaceReassign
	}
	for {
		reply, err := s.poll(ctx, owner, kind, &m)
		if err != nil || !reply.Waiting {
			return reply, err
		}
		m.Wait = laterPoll
	}
}

func (s *Service) askSelf(ctx context.Context, m askMessage) (askReply, error) {
	r := s.runner(m.Cell)
	if r == nil {
		return askReply{}, fault.New(fault.Stopping, "ask another VM", "this VM serves no placements")
	}
	return r.ask(ctx, m)
}

func (s *Service) poll(ctx context.Context, owner membership.Member, kind peer.Kind, m *askMessage) (askReply, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Wait+pollGrace)
	defer cancel()
	reply, err := peer.Call[askMessage, askReply](ctx, s.opts.Transport, owner.Peer, kind, m)
	if err != nil {
		return askReply{}, err
	}
	return *reply, nil
}
