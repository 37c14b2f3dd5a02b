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
	// maxOwnerAttempts is the maximum number of VMs that are tried for one placement.
	maxOwnerAttempts = 3
	// firstPollWait and laterPollWait are how long an owner may hold a request before it
	// replies that the request is still queued.
	firstPollWait, laterPollWait = 150 * time.Millisecond, 500 * time.Millisecond
	// pollGrace is how much longer the reply may take before the owner is considered
	// unresponsive.
	pollGrace = 200 * time.Millisecond
)

// handlePlace serves a place message from another VM. The sender considers this VM the owner;
// the request is served even if this VM's own view differs.
func (s *Service) handlePlace(ctx context.Context, _ ident.VM, m *placeMessage) (*placeReply, error) {
	r := s.runner(m.Cell)
	if r == nil {
		return nil, fault.New(fault.Unavailable, "retry at another VM", "this VM has no cell "+m.Cell)
	}
	reply, err := r.place(ctx, *m)
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

// placeAtOwner repeats m at one owner until it replies with a decision.
func (s *Service) placeAtOwner(ctx context.Context, owner membership.Member, m placeMessage) (placeReply, error) {
	if s.isSelf(owner) {
		return s.placeLocally(ctx, m)
	}
	m.Wait = firstPollWait
	kind := peer.KindPlace
	if m.Failed != "" {
		kind = peer.KindPlaceReassign
	}
	for {
		reply, err := s.poll(ctx, owner, kind, &m)
		if err != nil || !reply.Waiting {
			return reply, err
		}
		m.Wait = laterPollWait
	}
}

func (s *Service) placeLocally(ctx context.Context, m placeMessage) (placeReply, error) {
	r := s.runner(m.Cell)
	if r == nil {
		return placeReply{}, fault.New(fault.Stopping, "retry at another VM", "this VM does not serve placements")
	}
	return r.place(ctx, m)
}

func (s *Service) poll(ctx context.Context, owner membership.Member, kind peer.Kind, m *placeMessage) (placeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Wait+pollGrace)
	defer cancel()
	reply, err := peer.Call[placeMessage, placeReply](ctx, s.opts.Transport, owner.PeerAddress, kind, m)
	if err != nil {
		return placeReply{}, err
	}
	return *reply, nil
}
