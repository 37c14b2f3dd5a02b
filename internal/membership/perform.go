package membership

import (
	"context"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/peer"
)

// String gives the state as log lines show it.
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
		s.work.Go(func() { s.call(a) })
	case send:
		s.work.Go(func() { s.send(a) })
	case reply:
		s.reply(a)
	case digestSeen:
		s.opts.OnDigest(a.from, a.digest)
	case publish:
		s.publish(a.view)
	case readList:
		s.work.Go(s.readList)
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
	_ = s.loop.Put(s.ctx, outcome{op: a.op, reply: out})
}

// addDigest puts this VM's digest on heartbeats.
func (s *Service) addDigest(msg *Message) {
	if msg.Op == OpPing {
		d := s.opts.Digest()
		msg.Digest = &d
	}
}

func (s *Service) send(a send) {
	ctx, cancel := context.WithTimeout(s.ctx, PingTimeout)
	defer cancel()
	// A lost update is repaired when heartbeats show that records differ.
	_ = peer.Send(ctx, s.opts.Transport, a.to, peer.KindMembership, a.msg)
}

func (s *Service) reply(a reply) {
	s.addDigest(a.msg)
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer, ok := s.waiting[a.id]; ok {
		answer <- a.msg
		delete(s.waiting, a.id)
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
