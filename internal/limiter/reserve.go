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
	admittedTotal    = metrics.NewCounter(`fulmartide_limiter_decisions_total{outcome="admitted"}`)
	overPlanTotal    = metrics.NewCounter(`fulmartide_limiter_decisions_total{outcome="over_plan"}`)
	unavailableTotal = metrics.NewCounter(`fulmartide_limiter_decisions_total{outcome="unavailable"}`)
	asksTotal        = metrics.NewCounter(`fulmartide_limiter_asks_total`)
	voidedTotal      = metrics.NewCounter(`fulmartide_limiter_voided_total`)
)

// grantedPart is what a reservation holds at one share.
type grantedPart struct {
	holder ident.VM
	seq    uint64
}

// reservation implements Reservation.
type reservation struct {
	s         *Service
	workspace string
	draw      *Draw
	parts     []grantedPart
	once      sync.Once
}

// Settle implements Reservation.
func (r *reservation) Settle(used int64) {
	r.once.Do(func() {
		if r.draw == nil {
			return
		}
		for i, u := range r.draw.Spread(used) {
			r.s.settle(r.parts[i], r.workspace, u, false)
		}
	})
}

func (s *Service) settle(p grantedPart, workspace string, used int64, urgent bool) {
	s.settler.add(p.holder, Settlement{Workspace: workspace, Seq: p.seq, Used: used}, urgent)
}

// asked is one ask of a draw, as it was sent.
type asked struct {
	grantedPart
	reached bool
}

// reservePooled takes tokens from the shares of all data centres.
func (s *Service) reservePooled(ctx context.Context, snap *configuration.Snapshot, workspace string, plan Limit, tokens int64) (Reservation, error) {
	d := NewDraw(tokens, s.views(snap, workspace, plan))
	var sent []asked
	voided := 0
	for {
		a, ok := d.Next()
		for ; voided < len(d.Released); voided++ {
			s.void(workspace, sent[d.Released[voided].Ref])
		}
		if !ok {
			break
		}
		r, to := s.ask(ctx, workspace, a)
		sent = append(sent, to)
		d.Answer(r, len(sent)-1)
		if ctx.Err() != nil {
			return nil, s.abandon(ctx, workspace, d, sent, voided)
		}
	}
	s.log(workspace, tokens, d)
	if !d.Admitted() {
		return nil, refusal(d)
	}
	admittedTotal.Inc()
	return s.keep(workspace, d, sent), nil
}

func (s *Service) views(snap *configuration.Snapshot, workspace string, plan Limit) []ShareView {
	doc := &snap.Document
	regions := make(map[string]string, len(doc.DataCentres))
	for name, dc := range doc.DataCentres {
		regions[name] = dc.Region
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hints.Views(s.opts.Clock.Now(), workspace, plan, WeightsOf(doc), regions, s.opts.Self.DataCentre)
}

// void gives back what an ask may have got.
func (s *Service) void(workspace string, a asked) {
	if a.reached {
		voidedTotal.Inc()
		s.settle(a.grantedPart, workspace, 0, true)
	}
}

// abandon ends a draw whose caller has gone.
func (s *Service) abandon(ctx context.Context, workspace string, d *Draw, sent []asked, voided int) error {
	d.release()
	for _, p := range d.Released[voided:] {
		s.void(workspace, sent[p.Ref])
	}
	return fault.Wrap(ctx.Err(), fault.Cancelled, "send the request again if it is still wanted", "the caller went away before admission")
}

// keep confirms the parts that were gathered and makes the reservation.
func (s *Service) keep(workspace string, d *Draw, sent []asked) *reservation {
	r := &reservation{s: s, workspace: workspace, draw: d}
	for _, p := range d.Parts {
		g := sent[p.Ref].grantedPart
		r.parts = append(r.parts, g)
		if p.Tentative() {
			s.settle(g, workspace, KeepUsed, false)
		}
	}
	return r
}

// ask sends one ask to the holder of a share.
func (s *Service) ask(ctx context.Context, workspace string, a Ask) (ReserveReply, asked) {
	asksTotal.Inc()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	holder, ok := s.records.holder(call, a.DataCentre, ShardOf(workspace))
	if !ok {
		return ReserveReply{Status: StatusUnreachable}, asked{}
	}
	to := asked{grantedPart: grantedPart{holder: holder, seq: s.seq.Add(1)}}
	req := &ReserveRequest{Workspace: workspace, Seq: to.seq, Tokens: a.Tokens, Mode: a.Mode}
	began := s.opts.Clock.Now()
	reply, err := s.send(call, holder, req, &to)
	if err != nil || s.opts.Clock.Now().Sub(began) > callTimeout {
		reply = ReserveReply{Status: StatusUnreachable}
	}
	s.heed(a.DataCentre, workspace, holder, reply, ctx.Err() == nil && to.reached)
	return reply, to
}

func (s *Service) send(ctx context.Context, holder ident.VM, req *ReserveRequest, to *asked) (ReserveReply, error) {
	if holder == s.opts.Self.VM {
		to.reached = true
		return s.serveReserve(ctx, holder, req)
	}
	m, ok := s.member(holder)
	if !ok {
		return ReserveReply{Status: StatusUnreachable}, nil
	}
	to.reached = true
	reply, err := peer.Call[ReserveRequest, ReserveReply](ctx, s.opts.Transport, m.PeerAddress, peer.KindLimiterReserve, req)
	if err != nil {
		return ReserveReply{}, err
	}
	return *reply, nil
}

// heed learns from a reply, or from its absence.
func (s *Service) heed(dataCentre, workspace string, holder ident.VM, r ReserveReply, suspect bool) {
	switch r.Status {
	case StatusUnreachable, StatusNotHolder:
		if r.Status == StatusUnreachable && suspect && holder != s.opts.Self.VM {
			s.opts.Directory.ReportUnreachable(holder)
		}
		s.renew(dataCentre)
	case StatusNoPlan:
	default:
		s.mu.Lock()
		s.hints.Learn(s.opts.Clock.Now(), workspace, dataCentre, r.Balance)
		s.mu.Unlock()
	}
}

// renew reads a record that seems out of date.
func (s *Service) renew(dataCentre string) {
	if dataCentre == s.opts.Self.DataCentre {
		s.loop.Offer(StaleIn{})
		return
	}
	if s.records.mayRead(dataCentre) {
		s.worker.do(func(ctx context.Context) {
			call, cancel := context.WithTimeout(ctx, platformTimeout)
			defer cancel()
			s.records.refresh(call, dataCentre)
		})
	}
}

func refusal(d *Draw) error {
	if len(d.answered) == 0 {
		unavailableTotal.Inc()
		return fault.New(fault.Unavailable, "retry shortly or ask another VM", "no share of the plan answers")
	}
	wait, ok := d.Wait()
	if !ok {
		unavailableTotal.Inc()
		return fault.New(fault.Unavailable, "retry shortly; shares of the plan in other data centres do not answer", "the shares that answer are too small for this request")
	}
	overPlanTotal.Inc()
	return fault.New(fault.OverPlan, "wait as stated or ask for a larger plan", "workspace is over its rate and burst", fault.WithRetryAfter(wait))
}

func (s *Service) log(workspace string, tokens int64, d *Draw) {
	taken, silent := "", ""
	for _, p := range d.Parts {
		taken += p.DataCentre + ":" + strconv.FormatInt(p.Granted, 10) + " "
	}
	for _, dc := range sorted(d.silent) {
		silent += dc + " "
	}
	fields := []zap.Field{
		zap.String("workspace", workspace),
		zap.Int64("tokens", tokens),
		zap.Bool("admitted", d.Admitted()),
		zap.String("taken", taken),
		zap.String("unreachable", silent),
		zap.Int("asks", d.asks),
	}
	if wait, ok := d.Wait(); !d.Admitted() && ok {
		fields = append(fields, zap.Duration("retry_after", wait.Round(time.Millisecond)))
	}
	s.opts.Log.Info("admission", fields...)
}
