package limiter

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
)

const (
	// jobCapacity is the most jobs that wait; beyond it a job is dropped, and the machine
	// asks again.
	jobCapacity = 256
	// workers is the number of jobs done at once.
	workers = 4
	// platformTimeout bounds one platform call.
	platformTimeout = 2 * time.Second
	// controlTimeout bounds one control message.
	controlTimeout = 500 * time.Millisecond
	// handoverTries is how often balances are sent before they are given up.
	handoverTries = 3
	// announceCalls is the number of VMs told of a record at once.
	announceCalls = 16
)

// worker carries out the machine's actions that wait for others.
type worker struct {
	s *Service
	// jobs wait for the platform or for control messages, sends only for connections.
	jobs, sends chan func(context.Context)
}

func newWorker(s *Service) *worker {
	return &worker{
		s:     s,
		jobs:  make(chan func(context.Context), jobCapacity),
		sends: make(chan func(context.Context), jobCapacity),
	}
}

func (w *worker) run(ctx context.Context) {
	var g errgroup.Group
	for range workers {
		g.Go(func() error { return serveJobs(ctx, w.jobs) })
		g.Go(func() error { return serveJobs(ctx, w.sends) })
	}
	_ = g.Wait()
}

func serveJobs(ctx context.Context, jobs <-chan func(context.Context)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case job := <-jobs:
			job(ctx)
		}
	}
}

func (w *worker) do(job func(context.Context)) { w.offer(w.jobs, job) }

func (w *worker) offer(to chan<- func(context.Context), job func(context.Context)) {
	select {
	case to <- job:
	default:
		w.s.opts.Log.Warn("limiter", zap.String("event", "job dropped"))
	}
}

// perform carries out one action without blocking.
func (w *worker) perform(a Action) {
	s := w.s
	switch a := a.(type) {
	case ReplyOut:
		s.calls.answer(a.Call, a)
	case StatusOut:
		s.calls.answer(a.Call, a)
	case RecordOut:
		s.records.put(s.opts.Self.DataCentre, a.Record, a.Version)
	case NoticeOut:
		s.note(a)
	case ForwardOut:
		s.sendSettlements(a.To, a.Batch)
	case ReadRecordOut:
		w.do(func(ctx context.Context) { w.readRecord(ctx, a.Verify) })
	case WriteRecordOut:
		w.do(func(ctx context.Context) { w.writeRecord(ctx, a) })
	case ReadListOut:
		w.do(w.readList)
	case ReadOthersOut:
		w.do(func(ctx context.Context) { w.readOthers(ctx, a.Version) })
	case FirstLayoutOut:
		w.do(func(ctx context.Context) { w.firstLayout(ctx, a.Layout) })
	case AskPeersOut:
		w.do(func(ctx context.Context) { w.askPeers(ctx, a.Verify) })
	case AnnounceOut:
		w.do(func(ctx context.Context) { w.announce(ctx, a) })
	case RecoveredOut:
		s.calls.answer(a.Call, a)
	case RecoverOut:
		w.offer(w.sends, func(ctx context.Context) { w.recover(ctx, a) })
	case HandoverOut:
		w.do(func(ctx context.Context) { w.handover(ctx, a) })
	}
}

func (w *worker) put(ctx context.Context, in Input) { _ = w.s.loop.Put(ctx, in) }

func (w *worker) readRecord(ctx context.Context, verify uint64) {
	call, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	k, err := w.s.records.read(call, RecordName(w.s.opts.Self.DataCentre))
	if err != nil {
		w.put(ctx, ReadFailedIn{Verify: verify})
		return
	}
	w.put(ctx, RecordIn{Record: k.record, Version: k.version, Verify: verify})
}

// firstLayout reads the layout that the fleet began with, and stores l if there is none. The
// object never changes, so the outcome of a write is what a read finds.
func (w *worker) firstLayout(ctx context.Context, l Layout) {
	call, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	o, err := w.s.opts.Store.Get(call, FirstLayoutName)
	if fault.Is(err, fault.NotFound) {
		_, _ = w.s.opts.Store.Put(call, FirstLayoutName, l.Encode(), 0)
		o, err = w.s.opts.Store.Get(call, FirstLayoutName)
	}
	if err != nil {
		return
	}
	if first, err := DecodeLayout(o.Value); err == nil {
		w.put(ctx, FirstLayoutIn{Layout: first})
	}
}

func (w *worker) writeRecord(ctx context.Context, a WriteRecordOut) {
	call, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	version, err := w.s.opts.Store.Put(call, RecordName(w.s.opts.Self.DataCentre), a.Record.Encode(), a.IfVersion)
	switch {
	case err == nil:
		w.put(ctx, WrittenIn{Outcome: WriteDone, Version: version})
	case fault.Is(err, fault.Conflict):
		w.put(ctx, WrittenIn{Outcome: WriteConflict})
	default:
		w.put(ctx, WrittenIn{Outcome: WriteUnknown})
	}
}

func (w *worker) readList(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vms, err := w.s.opts.Lister.VMs(call)
	if err != nil {
		return
	}
	names := map[string]bool{}
	for _, vm := range vms {
		names[vm.Name] = true
	}
	w.put(ctx, ListIn{Names: names})
}

func (w *worker) readOthers(ctx context.Context, version uint64) {
	call, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	others, err := w.s.records.readOthers(call)
	if err != nil {
		return
	}
	w.put(ctx, OthersIn{Records: others, Version: version})
}

// askPeers asks all VMs of the data centre that are not gone. The check stays open while a
// live one is silent, or while all are.
func (w *worker) askPeers(ctx context.Context, verify uint64) {
	s := w.s
	highest, asked, answered := uint64(0), 0, 0
	for _, m := range s.view().Members {
		if m.DataCentre != s.opts.Self.DataCentre || m.VM == s.opts.Self.VM || m.State == membership.Gone {
			continue
		}
		asked++
		reply, err := s.control(ctx, m, &controlRequest{DataCentre: m.DataCentre})
		if err != nil && m.State != membership.Suspect {
			return
		}
		if err != nil {
			continue
		}
		answered++
		highest = max(highest, reply.Version)
		w.learn(ctx, reply)
	}
	if asked == 0 || answered > 0 {
		w.put(ctx, PeersIn{Version: highest, Verify: verify})
	}
}

func (w *worker) learn(ctx context.Context, reply *controlReply) {
	if len(reply.Record) == 0 {
		return
	}
	if rec, err := DecodeRecord(reply.Record); err == nil {
		w.put(ctx, RecordIn{Record: rec, Version: reply.Version})
	}
}

func (w *worker) announce(ctx context.Context, a AnnounceOut) {
	req := &controlRequest{DataCentre: w.s.opts.Self.DataCentre, Record: a.Record.Encode(), Version: a.Version}
	var g errgroup.Group
	g.SetLimit(announceCalls)
	for _, vm := range a.To {
		g.Go(func() error {
			if m, ok := w.s.known(vm); ok {
				if reply, err := w.s.control(ctx, m, req); err == nil {
					w.put(ctx, AckIn{VM: vm, Version: reply.Version})
				}
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (w *worker) handover(ctx context.Context, a HandoverOut) {
	req := &controlRequest{DataCentre: w.s.opts.Self.DataCentre, Balances: a.Balances}
	for range handoverTries {
		m, ok := w.s.member(a.To)
		if !ok {
			return
		}
		if _, err := w.s.control(ctx, m, req); err == nil {
			return
		}
	}
}

// recover asks another data centre's holder for what its shares lost.
func (w *worker) recover(ctx context.Context, a RecoverOut) {
	holder, ok := w.s.records.holder(ctx, a.DataCentre, a.Shard)
	if !ok {
		return
	}
	m, ok := w.s.member(holder)
	if !ok {
		w.s.renew(a.DataCentre)
		return
	}
	reply, err := w.s.control(ctx, m, &controlRequest{DataCentre: a.DataCentre, Recover: a.Items})
	if err == nil {
		w.put(ctx, RecoveredIn{Number: a.Number, Tokens: reply.Recovered})
	}
}

// askRecord gets the record of another data centre from one of its live VMs.
func (s *Service) askRecord(ctx context.Context, dataCentre string, above uint64) (*controlReply, error) {
	var live []membership.Member
	for _, m := range s.view().Members {
		if m.DataCentre == dataCentre && m.State == membership.Alive {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return nil, fault.New(fault.Unavailable, "read the platform", "no live VM in the data centre")
	}
	to := live[s.seq.Add(1)%uint64(len(live))]
	return s.control(ctx, to, &controlRequest{DataCentre: dataCentre, Version: above})
}

// control sends one control message and waits for its reply.
func (s *Service) control(ctx context.Context, to membership.Member, req *controlRequest) (*controlReply, error) {
	call, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return peer.Call[controlRequest, controlReply](call, s.opts.Transport, to.PeerAddress, peer.KindLimiterHandover, req)
}

// sendSettlements hands a batch to a holder; it may be lost.
func (s *Service) sendSettlements(to ident.VM, b SettleBatch) {
	if to == s.opts.Self.VM {
		s.loop.Offer(SettleIn{From: to, Batch: b})
		return
	}
	s.worker.offer(s.worker.sends, func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if m, ok := s.member(to); ok {
			_ = peer.Send(call, s.opts.Transport, m.PeerAddress, peer.KindLimiterSettle, &b)
		}
	})
}

func (s *Service) note(n NoticeOut) {
	s.opts.Log.Info("limiter",
		zap.String("event", n.Event),
		zap.String("data_centre", s.opts.Self.DataCentre),
		zap.Int("shard", n.Shard),
		zap.Uint64("term", n.Term),
		zap.String("vm", n.VM.String()))
}
