package membership

import (
	"context"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/peer"
)

// String returns the state as shown in log lines.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	}
	return "unknown"
}

func (s *Service) perform(a action) {
	switch a := a.(type) {
	case call:
		s.tasks.Go(func() { s.call(a) })
	case send:
		s.tasks.Go(func() { s.send(a) })
	case reply:
		s.reply(a)
	case digestSeen:
		s.opts.OnDigest(a.from, a.digest)
	case publish:
		s.publish(a.view)
	case readList:
		s.tasks.Go(s.readList)
	case changed:
		s.opts.Log.Info("member changed", zap.Stringer("vm", a.vm), zap.Stringer("from", a.from), zap.Stringer("to", a.to), zap.String("reason", a.reason))
	}
}

func (s *Service) call(a call) {
	bound := PingTimeout
	if a.indirect {
		bound = IndirectTimeout
	}
	ctx, cancel := context.WithTimeout(s.ctx, bound)
	defer cancel()
	msg := *a.msg
	s.addDigest(&msg)
	out, err := peer.Call[Message, Message](ctx, s.opts.Transport, a.to, peer.KindMembership, &msg)
	if err != nil {
		out = nil
	}
	_ = s.loop.Put(s.ctx, outcome{callID: a.callID, reply: out})
}

// addDigest attaches this VM's digest to heartbeats and their replies.
func (s *Service) addDigest(msg *Message) {
	if msg.Op == OpPing {
		d := s.opts.Digest()
		msg.Digest = &d
	}
}

func (s *Service) send(a send) {
	ctx, cancel := context.WithTimeout(s.ctx, PingTimeout)
	defer cancel()
	// Lost updates are repaired by a sync once heartbeats show differing checksums.
	_ = peer.Send(ctx, s.opts.Transport, a.to, peer.KindMembership, a.msg)
}

func (s *Service) reply(a reply) {
	s.addDigest(a.msg)
	s.mu.Lock()
	defer s.mu.Unlock()
	if replies, ok := s.pendingReplies[a.id]; ok {
		replies <- a.msg
		delete(s.pendingReplies, a.id)
	}
}

func (s *Service) publish(v *View) {
	s.view.Store(v)
	s.mu.Lock()
	subscribers := s.onChange[:len(s.onChange):len(s.onChange)]
	s.mu.Unlock()
	for _, f := range subscribers {
		f(v)
	}
}

func (s *Service) readList() {
	if s.opts.Lister == nil {
		_ = s.loop.Put(s.ctx, listRead{})
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, listTimeout)
	defer cancel()
	vms, err := s.opts.Lister.VMs(ctx)
	_ = s.loop.Put(s.ctx, listRead{vms: vms, ok: err == nil})
}
