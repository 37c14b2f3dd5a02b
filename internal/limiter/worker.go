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
	// jobCapacity is the maximum number of queued jobs per queue. Further jobs are dropped. The
	// state machine repeats reads, writes and reclaim requests. It does not repeat settlements,
	// whose refunds are then lost, or handovers, after which the new holder starts without
	// balances.
	jobCapacity = 256
	// workers is the number of concurrent jobs per queue.
	workers = 4
	// platformTimeout bounds one platform call.
	platformTimeout = 2 * time.Second
	// controlTimeout bounds one control message.
	controlTimeout = 500 * time.Millisecond
	// handoverAttempts is how many times balances are sent before the handover is abandoned.
	handoverAttempts = 3
	// maxAnnounceCalls is the maximum number of concurrent calls to announce a record.
	maxAnnounceCalls = 16
)

// worker executes the actions of the state machine. Those that may block are executed as jobs in
// the background.
type worker struct {
	s *Service
	// jobs contains platform calls and control messages. sends contains settlements and reclaim
	// requests, which are queued separately so that they do not wait behind jobs.
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

func (w *worker) submit(job func(context.Context)) { w.enqueue(w.jobs, job) }

func (w *worker) enqueue(to chan<- func(context.Context), job func(context.Context)) {
	select {
	case to <- job:
	default:
		w.s.opts.Log.Warn("limiter", zap.String("event", "job queue full, job dropped"))
	}
}

// perform executes one action without blocking.
func (w *worker) perform(a Action) {
	s := w.s
	switch a := a.(type) {
	case ReplyOut:
		s.calls.complete(a.Call, a)
	case StatusOut:
		s.calls.complete(a.Call, a)
	case RecordAppliedOut:
		s.records.put(s.opts.Self.DataCentre, a.Record, a.Version)
	case EventOut:
		s.logEvent(a)
	case ForwardSettlementsOut:
		s.sendSettlements(a.To, a.Batch)
	case ReadRecordOut:
		w.submit(func(ctx context.Context) { w.readRecord(ctx, a.CheckID) })
	case WriteRecordOut:
		w.submit(func(ctx context.Context) { w.writeRecord(ctx, a) })
	case ReadVMListOut:
		w.submit(w.readList)
	case ReadOtherRecordsOut:
		w.submit(func(ctx context.Context) { w.readOthers(ctx, a.Version) })
	case EnsureFirstLayoutOut:
		w.submit(func(ctx context.Context) { w.firstLayout(ctx, a.Layout) })
	case QueryPeersOut:
		w.submit(func(ctx context.Context) { w.queryPeers(ctx, a.CheckID) })
	case AnnounceOut:
		w.submit(func(ctx context.Context) { w.announce(ctx, a) })
	case ReclaimedOut:
		s.calls.complete(a.Call, a)
	case ReclaimOut:
		w.enqueue(w.sends, func(ctx context.Context) { w.reclaim(ctx, a) })
	case HandoverOut:
		w.submit(func(ctx context.Context) { w.handover(ctx, a) })
	}
}

func (w *worker) deliver(ctx context.Context, in Input) { _ = w.s.loop.Put(ctx, in) }

func (w *worker) readRecord(ctx context.Context, checkID uint64) {
	call, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	k, err := w.s.records.read(call, RecordName(w.s.opts.Self.DataCentre))
	if err != nil {
		w.deliver(ctx, ReadFailedIn{CheckID: checkID})
		return
	}
	w.deliver(ctx, RecordIn{Record: k.record, Version: k.version, CheckID: checkID})
}

// firstLayout reads the initial layout of the fleet, and stores l if there is none. The object
// never changes, so a read returns the outcome of the write, even of a write without a reply.
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
		w.deliver(ctx, FirstLayoutIn{Layout: first})
	}
}

func (w *worker) writeRecord(ctx context.Context, a WriteRecordOut) {
	call, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	version, err := w.s.opts.Store.Put(call, RecordName(w.s.opts.Self.DataCentre), a.Record.Encode(), a.IfVersion)
	switch {
	case err == nil:
		w.deliver(ctx, WriteResultIn{Outcome: WriteDone, Version: version})
	case fault.Is(err, fault.Conflict):
		w.deliver(ctx, WriteResultIn{Outcome: WriteConflict})
	default:
		w.deliver(ctx, WriteResultIn{Outcome: WriteUnknown})
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
	w.deliver(ctx, VMListIn{Names: names})
}

func (w *worker) readOthers(ctx context.Context, version uint64) {
	call, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	others, err := w.s.records.readOthers(call)
	if err != nil {
		return
	}
	w.deliver(ctx, OtherRecordsIn{Records: others, Version: version})
}

// queryPeers queries all VMs of the data centre that are not gone for their record version. The
// ownership check identified by checkID (see Holder.pendingCheck) remains pending if a VM that is
// not suspected does not reply, or if none replies.
func (w *worker) queryPeers(ctx context.Context, checkID uint64) {
	s := w.s
	highest, queried, replied := uint64(0), 0, 0
	for _, m := range s.view().Members {
		if m.DataCentre != s.opts.Self.DataCentre || m.VM == s.opts.Self.VM || m.State == membership.Gone {
			continue
		}
		queried++
		reply, err := s.control(ctx, m, &controlRequest{DataCentre: m.DataCentre})
		if err != nil && m.State != membership.Suspect {
			return
		}
		if err != nil {
			continue
		}
		replied++
		highest = max(highest, reply.Version)
		w.deliverRecord(ctx, reply)
	}
	if queried == 0 || replied > 0 {
		w.deliver(ctx, PeerVersionsIn{Version: highest, CheckID: checkID})
	}
}

func (w *worker) deliverRecord(ctx context.Context, reply *controlReply) {
	if len(reply.Record) == 0 {
		return
	}
	if rec, err := DecodeRecord(reply.Record); err == nil {
		w.deliver(ctx, RecordIn{Record: rec, Version: reply.Version})
	}
}

// announce sends a record to VMs of the data centre. VMs that the directory does not list are
// skipped. A VM that misses an announcement reads the record later, see recordPeriod.
func (w *worker) announce(ctx context.Context, a AnnounceOut) {
	req := &controlRequest{DataCentre: w.s.opts.Self.DataCentre, Record: a.Record.Encode(), Version: a.Version}
	var g errgroup.Group
	g.SetLimit(maxAnnounceCalls)
	for _, vm := range a.To {
		g.Go(func() error {
			if m, ok := w.s.memberByVM(vm); ok {
				if reply, err := w.s.control(ctx, m, req); err == nil {
					w.deliver(ctx, RecordAckIn{VM: vm, Version: reply.Version})
				}
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (w *worker) handover(ctx context.Context, a HandoverOut) {
	req := &controlRequest{DataCentre: w.s.opts.Self.DataCentre, Balances: a.Balances}
	for range handoverAttempts {
		m, ok := w.s.callableMember(a.To)
		if !ok {
			return
		}
		if _, err := w.s.control(ctx, m, req); err == nil {
			return
		}
	}
}

// reclaim asks the shard's holder in another data centre for tokens that its shares lost at their
// burst limit.
func (w *worker) reclaim(ctx context.Context, a ReclaimOut) {
	holder, ok := w.s.records.holder(ctx, a.DataCentre, a.Shard)
	if !ok {
		return
	}
	m, ok := w.s.callableMember(holder)
	if !ok {
		w.s.refreshRecord(a.DataCentre)
		return
	}
	reply, err := w.s.control(ctx, m, &controlRequest{DataCentre: a.DataCentre, Reclaim: a.Items})
	if err == nil {
		w.deliver(ctx, ReclaimedIn{ReclaimID: a.ReclaimID, Tokens: reply.Reclaimed})
	}
}

// fetchRecord gets the record of another data centre from one of its live VMs.
func (s *Service) fetchRecord(ctx context.Context, dataCentre string, newerThan uint64) (*controlReply, error) {
	var live []membership.Member
	for _, m := range s.view().Members {
		if m.DataCentre == dataCentre && m.State == membership.Alive {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return nil, fault.New(fault.Unavailable, "read the record from the platform", "no live VM in the data centre")
	}
	to := live[s.seq.Add(1)%uint64(len(live))]
	return s.control(ctx, to, &controlRequest{DataCentre: dataCentre, Version: newerThan})
}

// control sends one control message and waits for the reply.
func (s *Service) control(ctx context.Context, to membership.Member, req *controlRequest) (*controlReply, error) {
	call, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return peer.Call[controlRequest, controlReply](call, s.opts.Transport, to.PeerAddress, peer.KindLimiterHandover, req)
}

// sendSettlements sends a batch to a holder. Delivery is not guaranteed.
func (s *Service) sendSettlements(to ident.VM, b SettlementBatch) {
	if to == s.opts.Self.VM {
		s.loop.TryPut(SettleIn{From: to, Batch: b})
		return
	}
	s.worker.enqueue(s.worker.sends, func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if m, ok := s.callableMember(to); ok {
			_ = peer.Send(call, s.opts.Transport, m.PeerAddress, peer.KindLimiterSettle, &b)
		}
	})
}

func (s *Service) logEvent(n EventOut) {
	s.opts.Log.Info("limiter",
		zap.String("event", n.Event),
		zap.String("data_centre", s.opts.Self.DataCentre),
		zap.Int("shard", n.Shard),
		zap.Uint64("term", n.Term),
		zap.String("vm", n.VM.String()))
}
