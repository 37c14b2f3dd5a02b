package limiter

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
)

var (
	admittedTotal      = metrics.NewCounter(`fulmartide_limiter_decisions_total{outcome="admitted"}`)
	overPlanTotal      = metrics.NewCounter(`fulmartide_limiter_decisions_total{outcome="over_plan"}`)
	unavailableTotal   = metrics.NewCounter(`fulmartide_limiter_decisions_total{outcome="unavailable"}`)
	shareRequestsTotal = metrics.NewCounter(`fulmartide_limiter_asks_total`)
	voidedTotal        = metrics.NewCounter(`fulmartide_limiter_voided_total`)
)

// grantRef identifies a grant at its holder.
type grantRef struct {
	holder ident.VM
	seq    uint64
}

// reservation implements Reservation.
type reservation struct {
	s           *Service
	workspace   string
	acquisition *Acquisition
	grants      []grantRef
	once        sync.Once
}

// Settle implements Reservation.
func (r *reservation) Settle(used int64) {
	r.once.Do(func() {
		if r.acquisition == nil {
			return
		}
		for i, u := range r.acquisition.SplitUsage(used) {
			r.s.settle(r.grants[i], r.workspace, u, false)
		}
	})
}

func (s *Service) settle(g grantRef, workspace string, used int64, urgent bool) {
	s.settlements.add(g.holder, Settlement{Workspace: workspace, Seq: g.seq, Used: used}, urgent)
}

// sentRequest is a reserve request that was passed to a holder. attempted is false if the holder
// could not be called.
type sentRequest struct {
	grantRef
	attempted bool
}

// reservePooled reserves tokens from the shares of all data centres.
func (s *Service) reservePooled(ctx context.Context, snap *configuration.Snapshot, workspace string, plan Limit, tokens int64) (Reservation, error) {
	acq := NewAcquisition(tokens, s.shareViews(snap, workspace, plan))
	var sent []sentRequest
	voided := 0
	for {
		ask, ok := acq.Next()
		for ; voided < len(acq.Released); voided++ {
			s.cancelRequest(workspace, sent[acq.Released[voided].Ref])
		}
		if !ok {
			break
		}
		r, to := s.requestShare(ctx, workspace, ask)
		sent = append(sent, to)
		acq.HandleReply(r, len(sent)-1)
		if ctx.Err() != nil {
			return nil, s.abandon(ctx, workspace, acq, sent, voided)
		}
	}
	s.logDecision(workspace, tokens, acq)
	if !acq.Admitted() {
		return nil, refusalError(acq)
	}
	admittedTotal.Inc()
	return s.newReservation(workspace, acq, sent), nil
}

func (s *Service) shareViews(snap *configuration.Snapshot, workspace string, plan Limit) []ShareView {
	doc := &snap.Document
	regions := make(map[string]string, len(doc.DataCentres))
	for name, dc := range doc.DataCentres {
		regions[name] = dc.Region
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hints.ShareViews(s.opts.Clock.Now(), workspace, plan, ShareWeights(doc), regions, s.opts.Self.DataCentre)
}

// cancelRequest refunds whatever a reserve request may have been granted.
func (s *Service) cancelRequest(workspace string, r sentRequest) {
	if r.attempted {
		voidedTotal.Inc()
		s.settle(r.grantRef, workspace, 0, true)
	}
}

// abandon releases the grants of an acquisition whose caller has disconnected.
func (s *Service) abandon(ctx context.Context, workspace string, acq *Acquisition, sent []sentRequest, voided int) error {
	acq.release()
	for _, p := range acq.Released[voided:] {
		s.cancelRequest(workspace, sent[p.Ref])
	}
	return fault.Wrap(ctx.Err(), fault.Cancelled, "send the request again if it is still wanted", "the caller cancelled the request before admission")
}

// newReservation confirms the tentative grants and returns the reservation.
func (s *Service) newReservation(workspace string, acq *Acquisition, sent []sentRequest) *reservation {
	r := &reservation{s: s, workspace: workspace, acquisition: acq}
	for _, part := range acq.Grants {
		ref := sent[part.Ref].grantRef
		r.grants = append(r.grants, ref)
		if part.Tentative() {
			s.settle(ref, workspace, ConfirmTentative, false)
		}
	}
	return r
}

// requestShare sends one reserve request to the holder of a share.
func (s *Service) requestShare(ctx context.Context, workspace string, ask ShareRequest) (ReserveReply, sentRequest) {
	shareRequestsTotal.Inc()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	holder, ok := s.records.holder(call, ask.DataCentre, ShardOf(workspace))
	if !ok {
		return ReserveReply{Status: StatusUnreachable}, sentRequest{}
	}
	to := sentRequest{grantRef: grantRef{holder: holder, seq: s.seq.Add(1)}}
	req := &ReserveRequest{Workspace: workspace, Seq: to.seq, Tokens: ask.Tokens, Mode: ask.Mode}
	began := s.opts.Clock.Now()
	reply, err := s.send(call, holder, req, &to)
	if err != nil || s.opts.Clock.Now().Sub(began) > callTimeout {
		reply = ReserveReply{Status: StatusUnreachable}
	}
	s.observeReply(ask.DataCentre, workspace, holder, reply, ctx.Err() == nil && to.attempted)
	return reply, to
}

func (s *Service) send(ctx context.Context, holder ident.VM, req *ReserveRequest, to *sentRequest) (ReserveReply, error) {
	if holder == s.opts.Self.VM {
		to.attempted = true
		return s.serveReserve(ctx, holder, req)
	}
	m, ok := s.callableMember(holder)
	if !ok {
		return ReserveReply{Status: StatusUnreachable}, nil
	}
	to.attempted = true
	reply, err := peer.Call[ReserveRequest, ReserveReply](ctx, s.opts.Transport, m.PeerAddress, peer.KindLimiterReserve, req)
	if err != nil {
		return ReserveReply{}, err
	}
	return *reply, nil
}

// observeReply updates balances, records and the directory from a reply or its absence.
func (s *Service) observeReply(dataCentre, workspace string, holder ident.VM, r ReserveReply, suspect bool) {
	switch r.Status {
	case StatusUnreachable, StatusNotHolder:
		if r.Status == StatusUnreachable && suspect && holder != s.opts.Self.VM {
			s.opts.Directory.ReportUnreachable(holder)
		}
		s.refreshRecord(dataCentre)
	case StatusNoPlan:
	default:
		s.mu.Lock()
		s.hints.Update(s.opts.Clock.Now(), workspace, dataCentre, r.Balance)
		s.mu.Unlock()
	}
}

// refreshRecord fetches a record that appears to be out of date.
func (s *Service) refreshRecord(dataCentre string) {
	if dataCentre == s.opts.Self.DataCentre {
		s.loop.TryPut(RecordStaleIn{})
		return
	}
	if s.records.allowRefresh(dataCentre) {
		s.worker.submit(func(ctx context.Context) {
			call, cancel := context.WithTimeout(ctx, platformTimeout)
			defer cancel()
			s.records.refresh(call, dataCentre)
		})
	}
}

func refusalError(acq *Acquisition) error {
	if len(acq.replied) == 0 {
		unavailableTotal.Inc()
		return fault.New(fault.Unavailable, "retry shortly or ask another VM", "no share holder of the plan replied")
	}
	wait, ok := acq.RetryAfter()
	if !ok {
		unavailableTotal.Inc()
		return fault.New(fault.Unavailable, "retry shortly; share holders in other data centres did not reply", "the reachable shares are too small for this request")
	}
	overPlanTotal.Inc()
	return fault.New(fault.PlanExceeded, "retry after the stated time or ask for a larger plan", "workspace exceeds the rate and burst of its plan", fault.WithRetryAfter(wait))
}

func (s *Service) logDecision(workspace string, tokens int64, acq *Acquisition) {
	granted, unreachable := "", ""
	for _, p := range acq.Grants {
		granted += p.DataCentre + ":" + strconv.FormatInt(p.Granted, 10) + " "
	}
	for _, dc := range sortedKeys(acq.unreachable) {
		unreachable += dc + " "
	}
	fields := []zap.Field{
		zap.String("workspace", workspace),
		zap.Int64("tokens", tokens),
		zap.Bool("admitted", acq.Admitted()),
		zap.String("grants", granted),
		zap.String("unreachable", unreachable),
		zap.Int("share_requests", acq.requests),
	}
	if wait, ok := acq.RetryAfter(); !acq.Admitted() && ok {
		fields = append(fields, zap.Duration("retry_after", wait.Round(time.Millisecond)))
	}
	s.opts.Log.Info("admission", fields...)
}
