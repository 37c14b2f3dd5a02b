package keys

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/replication"
)

const (
	// opWithdraw carries withdrawals; the reply names those that the VM now refuses.
	opWithdraw = replication.OpService
	// opRelay is opWithdraw to a VM that passes them on to its data centre; the reply names
	// the VMs that refuse them all, and the others that do not.
	opRelay = replication.OpService + 1
	// opExchange carries all pending withdrawals; the reply carries those of the other side.
	opExchange = replication.OpService + 2
	// opConfirm asks which of the named keys the VM knows to be withdrawn.
	opConfirm = replication.OpService + 3
)

const (
	// exchangePause is the least time between two exchanges.
	exchangePause = 100 * time.Millisecond
	// relayTimeout bounds the spread of a withdrawal within another data centre.
	relayTimeout = 2 * time.Second
	// relayTries is the number of VMs of a data centre tried as relays.
	relayTries = 3
)

func (s *Service) serve(ctx context.Context, _ ident.VM, m *replication.Message) (*replication.Message, error) {
	switch m.Op {
	case opWithdraw:
		s.learn(m.Names)
		return &replication.Message{Names: s.known(m.Names)}, nil
	case opRelay:
		s.step(withdrawals{m.Names})
		confirmed, missing := s.tellDataCentre(ctx, m.Names)
		return &replication.Message{Names: confirmed, Unconfirmed: missing}, nil
	case opExchange:
		own := s.pendingIDs()
		s.learn(m.Names)
		return &replication.Message{Names: own}, nil
	}
	return &replication.Message{Names: s.known(m.Names)}, nil
}

// known gives those of the keys that this VM knows to be withdrawn.
func (s *Service) known(ids []string) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !s.ring.withdrawn(id) })
}

// tellDataCentre tells the VMs of this data centre and gives the names of those that refuse
// the keys, this one among them, and of those that did not say so.
func (s *Service) tellDataCentre(ctx context.Context, ids []string) (confirmed, missing []string) {
	confirmed = []string{s.opts.Self.VM.Name}
	targets := replication.LocalPeers(s.opts.Directory.View())
	for _, o := range s.replica.CallAll(ctx, targets, &replication.Message{Op: opWithdraw, Names: ids}) {
		if o.Err == nil && len(o.Reply.Names) == len(ids) {
			confirmed = append(confirmed, o.Member.VM.Name)
		} else {
			missing = append(missing, o.Member.VM.Name)
		}
	}
	return confirmed, missing
}

// passOn tells this data centre of news if this VM is a bridge; other VMs leave it to the
// teller and to heartbeats.
func (s *Service) passOn(ids []string) {
	if _, bridge := s.opts.Directory.View().BridgeRank(); !bridge {
		return
	}
	s.spawn(func(ctx context.Context) { s.tellDataCentre(ctx, ids) })
}

// exchangeLoop swaps pending withdrawals with peers whose heartbeats show others than ours.
func (s *Service) exchangeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.exchange:
			s.exchangeWith(ctx, m)
		}
		if !pause(ctx, exchangePause) {
			return
		}
	}
}

func (s *Service) exchangeWith(ctx context.Context, m membership.Member) {
	asked := s.opts.Clock.Now()
	reply, err := s.replica.Call(ctx, m, &replication.Message{Op: opExchange, Names: s.pendingIDs()})
	if err != nil {
		return
	}
	s.meet(reply.Names)
	if m.DataCentre != s.opts.Self.DataCentre {
		s.confirm(asked)
	}
}

// tellFleet tells every data centre of a withdrawal at once, and gives those where all VMs
// seen live refuse the key and those where not.
func (s *Service) tellFleet(ctx context.Context, id string) (confirmed, unconfirmed []string) {
	v := s.opts.Directory.View()
	names := v.DataCentres()
	reached := make([]bool, len(names))
	done := make(chan struct{}, len(names))
	for i, dc := range names {
		go func() {
			reached[i] = s.tellOne(ctx, v, dc, id)
			done <- struct{}{}
		}()
	}
	for range names {
		<-done
	}
	for i, dc := range names {
		if reached[i] {
			confirmed = append(confirmed, dc)
		} else {
			unconfirmed = append(unconfirmed, dc)
		}
	}
	s.opts.Log.Info("withdrawal spread", zap.String("key", id), zap.Strings("confirmed", confirmed), zap.Strings("unconfirmed", unconfirmed))
	return confirmed, unconfirmed
}

func (s *Service) tellOne(ctx context.Context, v *membership.View, dataCentre, id string) bool {
	if dataCentre == s.opts.Self.DataCentre {
		_, missing := s.tellDataCentre(ctx, []string{id})
		return len(missing) == 0
	}
	for _, m := range relays(v, dataCentre) {
		reply, err := s.replica.CallWithTimeout(ctx, relayTimeout, m, &replication.Message{Op: opRelay, Names: []string{id}})
		if err == nil {
			return len(reply.Unconfirmed) == 0
		}
		s.opts.Directory.ReportUnreachable(m.VM)
	}
	return false
}

// relays gives the VMs of a data centre to try in turn: its bridges, then others.
func relays(v *membership.View, dataCentre string) []membership.Member {
	out := v.Bridges(dataCentre)
	rest := replication.Peers(v, func(m membership.Member) bool {
		return m.DataCentre == dataCentre && !slices.Contains(out, m)
	})
	out = append(out, rest...)
	return out[:min(len(out), relayTries)]
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
