package keys

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/replication"
)

const (
	// opWithdraw sends withdrawals. The reply contains the keys that the receiver rejects.
	opWithdraw = replication.OpService
	// opRelay sends withdrawals to a VM that forwards them within its data centre. In the reply,
	// Names lists the VMs that reject all of the keys and Unconfirmed those that did not confirm this.
	opRelay = replication.OpService + 1
	// opExchange sends all pending withdrawals. The reply contains those of the receiver.
	opExchange = replication.OpService + 2
	// opConfirm asks which of the keys the receiver knows to be withdrawn.
	opConfirm = replication.OpService + 3
)

const (
	// exchangeInterval is the minimum time between two exchanges.
	exchangeInterval = 100 * time.Millisecond
	// relayTimeout limits the distribution of a withdrawal within a remote data centre.
	relayTimeout = 2 * time.Second
	// maxRelays is the maximum number of VMs per data centre tried as relays.
	maxRelays = 3
)

func (s *Service) serve(ctx context.Context, _ ident.VM, m *replication.Message) (*replication.Message, error) {
	switch m.Op {
	case opWithdraw:
		s.applyWithdrawals(m.Names)
		return &replication.Message{Names: s.withdrawnAmong(m.Names)}, nil
	case opRelay:
		s.step(withdrawalsReceived{m.Names})
		confirmed, missing := s.notifyLocalVMs(ctx, m.Names)
		return &replication.Message{Names: confirmed, Unconfirmed: missing}, nil
	case opExchange:
		own := s.pendingIDs()
		s.applyWithdrawals(m.Names)
		return &replication.Message{Names: own}, nil
	}
	return &replication.Message{Names: s.withdrawnAmong(m.Names)}, nil
}

// withdrawnAmong returns the keys in ids that this VM knows to be withdrawn.
func (s *Service) withdrawnAmong(ids []string) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !s.keyring.withdrawn(id) })
}

// notifyLocalVMs sends withdrawals to the other VMs of this data centre. It returns the names of the
// VMs that confirmed that they reject the keys, including this one, and of those that did not.
func (s *Service) notifyLocalVMs(ctx context.Context, ids []string) (confirmed, missing []string) {
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

// forward sends withdrawals to the other VMs of this data centre if this VM is a bridge. Other VMs
// rely on the sender and on heartbeats to distribute them.
func (s *Service) forward(ids []string) {
	if _, bridge := s.opts.Directory.View().BridgeRank(); !bridge {
		return
	}
	s.spawn(func(ctx context.Context) { s.notifyLocalVMs(ctx, ids) })
}

// exchangeLoop exchanges pending withdrawals with peers whose heartbeats report a different set.
func (s *Service) exchangeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.exchangeQueue:
			s.exchangeWith(ctx, m)
		}
		if !clock.Sleep(ctx, exchangeInterval) {
			return
		}
	}
}

func (s *Service) exchangeWith(ctx context.Context, m membership.Member) {
	requestedAt := s.opts.Clock.Now()
	reply, err := s.replica.Call(ctx, m, &replication.Message{Op: opExchange, Names: s.pendingIDs()})
	if err != nil {
		return
	}
	s.mergePeerPending(reply.Names)
	if m.DataCentre != s.opts.Self.DataCentre {
		s.setConfirmed(requestedAt)
	}
}

// notifyFleet sends a withdrawal to all data centres in parallel. It returns the data centres in
// which all live VMs reject the key, and the others.
func (s *Service) notifyFleet(ctx context.Context, id string) (confirmed, unconfirmed []string) {
	v := s.opts.Directory.View()
	names := v.DataCentres()
	confirmedBy := make([]bool, len(names))
	done := make(chan struct{}, len(names))
	for i, dc := range names {
		go func() {
			confirmedBy[i] = s.notifyDataCentre(ctx, v, dc, id)
			done <- struct{}{}
		}()
	}
	for range names {
		<-done
	}
	for i, dc := range names {
		if confirmedBy[i] {
			confirmed = append(confirmed, dc)
		} else {
			unconfirmed = append(unconfirmed, dc)
		}
	}
	s.opts.Log.Info("withdrawal distributed", zap.String("key", id), zap.Strings("confirmed", confirmed), zap.Strings("unconfirmed", unconfirmed))
	return confirmed, unconfirmed
}

func (s *Service) notifyDataCentre(ctx context.Context, v *membership.View, dataCentre, id string) bool {
	if dataCentre == s.opts.Self.DataCentre {
		_, missing := s.notifyLocalVMs(ctx, []string{id})
		return len(missing) == 0
	}
	for _, m := range relayCandidates(v, dataCentre) {
		reply, err := s.replica.CallWithTimeout(ctx, relayTimeout, m, &replication.Message{Op: opRelay, Names: []string{id}})
		if err == nil {
			return len(reply.Unconfirmed) == 0
		}
		s.opts.Directory.ReportUnreachable(m.VM)
	}
	return false
}

// relayCandidates returns the VMs of a data centre to try as relays, bridges first.
func relayCandidates(v *membership.View, dataCentre string) []membership.Member {
	out := v.Bridges(dataCentre)
	rest := replication.Peers(v, func(m membership.Member) bool {
		return m.DataCentre == dataCentre && !slices.Contains(out, m)
	})
	out = append(out, rest...)
	return out[:min(len(out), maxRelays)]
}
