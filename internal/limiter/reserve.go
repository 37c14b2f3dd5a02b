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
	draw      *draw
	parts     []grantedPart
	once      sync.Once
}

// Settle implements Reservation.
func (r *reservation) Settle(used int64) {
	r.once.Do(func() {
		if r.draw == nil {
			return
		}
		for i, u := range r.draw.spread(used) {
			r.s.settle(r.parts[i], r.workspace, u, false)
		}
	})
}

func (s *Service) settle(p grantedPart, workspace string, used int64, urgent bool) {
	s.settler.add(p.holder, settlement{Workspace: workspace, Seq: p.seq, Used: used}, urgent)
}

// asked is one ask of a draw, as it was sent.
type asked struct {
	grantedPart
	reached bool
}

// reservePooled takes tokens from the shares of all data centres.
func (s *Service) reservePooled(ctx context.Context, snap *configuration.Snapshot, workspace string, plan Limit, tokens int64) (Reservation, error) {
	d := newDraw(tokens, s.views(snap, workspace, plan))
	var sent []asked
	voided := 0
	for {
		a, ok := d.next()
		for ; voided < len(d.released); voided++ {
			s.void(workspace, sent[d.released[voided].ref])
		}
		if !ok {
			break
		}
		r, to := s.ask(ctx, workspace, a)
		sent = append(sent, to)
		d.answer(r, len(sent)-1)
		if ctx.Err() != nil {
			return nil, s.abandon(ctx, workspace, d, sent, voided)
		}
	}
	s.log(workspace, tokens, d)
	if !d.admitted() {
		return nil, refusal(d)
	}
	admittedTotal.Inc()
	return s.keep(workspace, d, sent), nil
}

func (s *Service) views(snap *configuration.Snapshot, workspace string, plan Limit) []shareView {
	doc := &snap.Document
	regions := make(map[string]string, len(doc.DataCentres))
	for name, dc := range doc.DataCentres {
		regions[name] = dc.Region
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hints.views(s.opts.Clock.Now(), workspace, plan, weightsOf(doc), regions, s.opts.Self.DataCentre)
}

// void gives back what an ask may have got.
func (s *Service) void(workspace string, a asked) {
	if a.reached {
		voidedTotal.Inc()
		s.settle(a.grantedPart, workspace, 0, true)
	}
}

// abandon ends a draw whose caller has gone.
func (s *Service) abandon(ctx context.Context, workspace string, d *draw, sent []asked, voided int) error {
	d.release()
	for _, p := range d.released[voided:] {
		s.void(workspace, sent[p.ref])
	}
	return fault.Wrap(ctx.Err(), fault.Cancelled, "send the request again if it is still wanted", "the caller went away before admission")
}

// keep confirms the parts that were gathered and makes the reservation.
func (s *Service) keep(workspace string, d *draw, sent []asked) *reservation {
	r := &reservation{s: s, workspace: workspace, draw: d}
	for _, p := range d.parts {
		g := sent[p.ref].grantedPart
		r.parts = append(r.parts, g)
		if p.mode != modeWhole {
			s.settle(g, workspace, keepUsed, false)
		}
	}
	return r
}

// ask sends one ask to the holder of a share.
func (s *Service) ask(ctx context.Context, workspace string, a ask) (reserveReply, asked) {
	asksTotal.Inc()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	holder, ok := s.records.holder(call, a.dataCentre, shardOf(workspace))
	if !ok {
		return reserveReply{Status: statusUnreachable}, asked{}
	}
	to := asked{grantedPart: grantedPart{holder: holder, seq: s.seq.Add(1)}}
	req := &reserveRequest{Workspace: workspace, Seq: to.seq, Tokens: a.tokens, Mode: a.mode}
	began := s.opts.Clock.Now()
	reply, err := s.send(call, holder, req, &to)
	if err != nil || s.opts.Clock.Now().Sub(began) > callTimeout {
		reply = reserveReply{Status: statusUnreachable}
	}
	s.heed(a.dataCentre, workspace, holder, reply, ctx.Err() == nil && to.reached)
	return reply, to
}

func (s *Service) send(ctx context.Context, holder ident.VM, req *reserveRequest, to *asked) (reserveReply, error) {
	if holder == s.opts.Self.VM {
		to.reached = true
		return s.serveReserve(ctx, holder, req)
	}
	m, ok := s.member(holder)
	if !ok {
		return reserveReply{Status: statusUnreachable}, nil
	}
	to.reached = true
	reply, err := peer.Call[reserveRequest, reserveReply](ctx, s.opts.Transport, m.Peer, peer.KindLimiterReserve, req)
	if err != nil {
		return reserveReply{}, err
	}
	return *reply, nil
}

// heed learns from a reply, or from its absence.
func (s *Service) heed(dataCentre, workspace string, holder ident.VM, r reserveReply, suspect bool) {
	switch r.Status {
	case statusUnreachable, statusNotHolder:
		if r.Status == statusUnreachable && suspect && holder != s.opts.Self.VM {
			s.opts.Directory.Suspect(holder)
		}
		s.renew(dataCentre)
	case statusNoPlan:
	default:
		s.mu.Lock()
		s.hints.learn(s.opts.Clock.Now(), workspace, dataCentre, r.Balance)
		s.mu.Unlock()
	}
}

// renew reads a record that seems out of date.
func (s *Service) renew(dataCentre string) {
	if dataCentre == s.opts.Self.DataCentre {
		s.loop.Offer(staleIn{})
		return
	}
	if s.records.mayRead(dataCentre) {
		s.worker.do(func(ctx context.Context) {
			call, cancel := context.WithTimeout(ctx, platformTimeout)
			defer cancel()
			_ = s.records.refresh(call, dataCentre)
		})
	}
}

func refusal(d *draw) error {
	if len(d.answered) == 0 {
		unavailableTotal.Inc()
		return fault.New(fault.Unavailable, "retry shortly or ask another VM", "no share of the plan answers")
	}
	wait, ok := d.wait()
	if !ok {
		unavailableTotal.Inc()
		return fault.New(fault.Unavailable, "retry shortly; shares of the plan in other data centres do not answer", "the shares that answer are too small for this request")
	}
	overPlanTotal.Inc()
	return fault.New(fault.OverPlan, "wait as stated or ask for a larger plan", "workspace is over its rate and burst", fault.WithRetryAfter(wait))
}

func (s *Service) log(workspace string, tokens int64, d *draw) {
	taken, silent := "", ""
	for _, p := range d.parts {
		taken += p.dataCentre + ":" + strconv.FormatInt(p.granted, 10) + " "
	}
	for _, dc := range sorted(d.silent) {
		silent += dc + " "
	}
	fields := []zap.Field{
		zap.String("workspace", workspace),
		zap.Int64("tokens", tokens),
		zap.Bool("admitted", d.admitted()),
		zap.String("taken", taken),
		zap.String("unreachable", silent),
		zap.Int("asks", d.asks),
	}
	if wait, ok := d.wait(); !d.admitted() && ok {
		fields = append(fields, zap.Duration("retry_after", wait.Round(time.Millisecond)))
	}
	s.opts.Log.Info("admission", fields...)
}
