package statesync

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
)

const (
	// retryLenders is the number of VMs among which a request for retries is divided.
	retryLenders = 3
	// retryRequestTimeout bounds a request for retries. A later grant would have lapsed.
	retryRequestTimeout = time.Second
	// maxRetryRequests is the number of requests for retries that may be in progress, so that VMs that do not answer cannot collect them.
	maxRetryRequests = 16
	// refusalPause is how long a VM that granted nothing is not asked again.
	refusalPause = 500 * time.Millisecond
)

// retryRequest asks for a part of the receiver's retry budget for a service. VMs of former builds answer with an error.
type retryRequest struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Service string
	Amount  float64
}

// retryGrant is the reply. The receiver has counted Amount as used.
type retryGrant struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Amount float64
}

// borrowRetries asks other VMs for parts of their retry budgets while that of this VM runs low, until ctx ends.
func (s *Service) borrowRetries(ctx context.Context) {
	inProgress := make(chan struct{}, maxRetryRequests)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.opts.Plans.RetriesShort():
		}
		for _, need := range s.opts.Plans.TakeRetryNeeds() {
			lenders := s.retryLenders()
			for _, addr := range lenders {
				select {
				case inProgress <- struct{}{}:
				default:
					continue // many VMs do not answer; the next need asks others
				}
				s.wg.Go(func() {
					s.requestRetries(ctx, addr, need.Service, need.Amount/float64(len(lenders)))
					<-inProgress
				})
			}
		}
	}
}

// retryLenders returns the live direct peers to ask for retries, chosen at random without those that granted nothing lately.
func (s *Service) retryLenders() []netip.AddrPort {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, at := range s.refusedRetries {
		if now.Sub(at) >= refusalPause {
			delete(s.refusedRetries, addr)
		}
	}
	var out []netip.AddrPort
	for addr, p := range s.members.peers { // in random order
		if _, refused := s.refusedRetries[addr]; refused || p.unresponsive || !s.members.isDirect(p) {
			continue
		}
		if out = append(out, addr); len(out) == retryLenders {
			break
		}
	}
	return out
}

// requestRetries asks one VM. What it grants may be used for a time from before the request was sent.
func (s *Service) requestRetries(ctx context.Context, addr netip.AddrPort, service string, amount float64) {
	ctx, cancel := context.WithTimeout(ctx, retryRequestTimeout)
	defer cancel()
	sentAt := s.opts.Clock.Now()
	grant, err := peer.Call[retryRequest, retryGrant](ctx, s.opts.Transport, addr, peer.KindRetryGrant, &retryRequest{Service: service, Amount: amount})
	granted := 0.0
	if err == nil {
		granted = min(grant.Amount, amount)
	}
	if granted > 0 {
		s.opts.Plans.AddRetryGrant(service, granted, sentAt)
	} else {
		s.mu.Lock()
		s.refusedRetries[addr] = s.opts.Clock.Now()
		s.mu.Unlock()
	}
	s.opts.Log.Debug("retries asked for", zap.String("service", service), zap.Stringer("address", addr), zap.Float64("asked", amount),
		zap.Float64("granted", granted), zap.Duration("took", s.opts.Clock.Now().Sub(sentAt)), zap.Error(err))
}

func (s *Service) onRetryRequest(_ context.Context, _ ident.VM, req *retryRequest) (*retryGrant, error) {
	return &retryGrant{Amount: s.opts.Plans.GrantRetries(req.Service, req.Amount)}, nil
}

// RetryBudget is the part of Plans that divides the retry budget among VMs.
type RetryBudget interface {
	// RetriesShort signals that TakeRetryNeeds has something to ask for.
	RetriesShort() <-chan struct{}
	// TakeRetryNeeds returns the retries to ask other VMs for.
	TakeRetryNeeds() []admission.RetryNeed
	// GrantRetries gives another VM a part of this VM's budget and counts it as used.
	GrantRetries(service string, amount float64) float64
	// AddRetryGrant receives what another VM granted on a request sent at sentAt.
	AddRetryGrant(service string, amount float64, sentAt clock.Instant)
}
