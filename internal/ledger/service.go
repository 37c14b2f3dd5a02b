package ledger

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
)

const (
	// defaultTimeout limits an operation, including attempts at further owners.
	defaultTimeout = 5 * time.Second
	// attemptTimeout limits one attempt at one owner.
	attemptTimeout = 2 * time.Second
	// maxAttempts is the maximum number of owners tried per operation.
	maxAttempts = 4
)

// Options configure a Service.
type Options struct {
	// Self is this VM.
	Self membership.Member
	// Directory provides the live VMs, from which the owner of each shard is chosen.
	Directory membership.Directory
	// Store stores the pages.
	Store objectstore.Store
	// Transport sends operations to shard owners. New registers the ledger's handlers with it.
	Transport *peer.Transport
	// Clock is the monotonic clock for timeouts and rate limits.
	Clock clock.Clock
	// WallClock returns the wall-clock time used to check the age of keys. The default is time.Now.
	WallClock func() time.Time
	// Log receives one line per decision. The default discards them.
	Log *zap.Logger
}

// Service is the ledger of one VM. It serves local callers and, for the shards owned by this VM,
// requests from all VMs.
type Service struct {
	opts       Options
	executor   *executor
	background *backgroundRunner
}

var _ Ledger = (*Service)(nil)

// New returns a Service and registers its message handlers. Call Run to start it.
func New(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	s := &Service{opts: o, executor: newExecutor(o), background: newBackgroundRunner()}
	peer.Handle(o.Transport, peer.KindLedgerBegin, s.handle)
	peer.Handle(o.Transport, peer.KindLedgerFinish, s.handle)
	return s
}

// Run serves until ctx is done. Operations still waiting then fail with Stopping, and outcomes that
// Stop did not wait for are dropped.
func (s *Service) Run(ctx context.Context) {
	s.executor.run(ctx)
	s.background.close(ctx)
}

// Stop rejects further background operations and waits until ctx is done for the running ones. Call
// it before cancelling the context of Run and closing the transport.
func (s *Service) Stop(ctx context.Context) { s.background.close(ctx) }

func (s *Service) handle(ctx context.Context, _ ident.VM, req *request) (*reply, error) {
	return newReply(s.executor.execute(ctx, req)), nil
}

// Begin implements Ledger.
func (s *Service) Begin(ctx context.Context, in Intent) (*Outcome, error) {
	loc, err := locate(in.Workspace, in.Key)
	if err == nil {
		err = checkAge(loc.issuedAt, s.opts.WallClock())
	}
	if err == nil && (in.Nonce == "" || len(in.Nonce) > MaxNonce) {
		err = fault.New(fault.Internal, "report this", "nonce is empty or too long")
	}
	if err != nil {
		s.observe(opBegin, in, loc, result{err: err})
		return nil, err
	}
	r, mayBeRecorded := s.execute(ctx, loc, &request{Kind: opBegin, Intent: in})
	if r.err != nil && mayBeRecorded {
		_ = s.Abandon(ctx, in)
	}
	s.observe(opBegin, in, loc, r)
	return r.outcome, r.err
}

// Finish implements Ledger.
func (s *Service) Finish(ctx context.Context, in Intent, out Outcome) error {
	return s.recordAsync(ctx, &request{Kind: opFinish, Intent: in, Outcome: out.truncated()})
}

// Abandon implements Ledger.
func (s *Service) Abandon(ctx context.Context, in Intent) error {
	return s.recordAsync(ctx, &request{Kind: opAbandon, Intent: in})
}

// recordAsync records an operation in the background. If too many background operations are
// running, it makes one synchronous attempt instead.
func (s *Service) recordAsync(ctx context.Context, req *request) error {
	if _, err := locate(req.Intent.Workspace, req.Intent.Key); err != nil {
		return err
	}
	if s.background.start(func(ctx context.Context) bool { return isFinal(s.recordNow(ctx, req)) }) {
		return nil
	}
	return s.recordNow(ctx, req)
}

// recordNow records an operation and waits for the result.
func (s *Service) recordNow(ctx context.Context, req *request) error {
	loc, err := locate(req.Intent.Workspace, req.Intent.Key)
	if err != nil {
		return err
	}
	r, _ := s.execute(ctx, loc, req)
	s.observe(req.Kind, req.Intent, loc, r)
	return r.err
}

// isFinal reports whether a retry would not change the result.
func isFinal(err error) bool {
	if err == nil {
		return true
	}
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Timeout, fault.Stopping, fault.Overloaded:
		return false
	}
	return true
}

// truncated returns the outcome without the fields that exceed their size limits.
func (o Outcome) truncated() Outcome {
	if len(o.Body) > MaxOutcomeBody {
		o.Body = nil
		o.Truncated = true
	}
	if len(o.ContentType) > MaxContentType {
		o.ContentType = ""
	}
	return o
}

// execute sends the operation to the shard's owner and, after a failure, to the next candidate until
// one of them decides. mayBeRecorded is set if an owner without a conclusive result may have
// recorded the operation or may still do so.
func (s *Service) execute(ctx context.Context, loc location, req *request) (r result, mayBeRecorded bool) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	tried := map[string]bool{}
	r = result{err: errNoOwner}
	for range maxAttempts {
		owner, ok := s.nextOwner(loc.shard, tried)
		if !ok || ctx.Err() != nil {
			break
		}
		tried[owner.VM.Name] = true
		r = s.tryOwner(ctx, owner, req)
		if r.conclusive() {
			break
		}
		mayBeRecorded = mayBeRecorded || !r.notRecorded
	}
	return r, mayBeRecorded
}

var errNoOwner = fault.New(fault.Unavailable, "retry with the same key; an earlier request with it may have been executed", "no VM responds for the ledger shard; this request was not executed", fault.WithRetryAfter(time.Second))

// nextOwner returns the shard's owner among the live VMs that have not been tried. If there is none,
// it falls back to this VM, which may reach the object store even if it cannot reach its peers.
func (s *Service) nextOwner(shard int, tried map[string]bool) (membership.Member, bool) {
	view := s.opts.Directory.View()
	name := "ledger/" + strconv.Itoa(shard)
	m, ok := view.Owner(name, func(m membership.Member) bool { return !tried[m.VM.Name] })
	if !ok && !tried[s.opts.Self.VM.Name] {
		return s.opts.Self, true
	}
	return m, ok
}

// tryOwner makes one attempt at one owner.
func (s *Service) tryOwner(ctx context.Context, owner membership.Member, req *request) result {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if owner.VM.Name == s.opts.Self.VM.Name {
		return s.executor.execute(ctx, req)
	}
	return s.callPeer(ctx, owner, req)
}

func (s *Service) callPeer(ctx context.Context, owner membership.Member, req *request) result {
	kind := peer.KindLedgerBegin
	if req.Kind != opBegin {
		kind = peer.KindLedgerFinish
	}
	out, err := peer.Call[request, reply](ctx, s.opts.Transport, owner.PeerAddress, kind, req)
	if err == nil {
		return out.result()
	}
	if fault.Is(err, fault.Unavailable) {
		s.opts.Directory.ReportUnreachable(owner.VM)
	}
	s.opts.Log.Warn("ledger shard owner did not respond", zap.Stringer("owner", owner.VM), zap.String("operation", req.Kind.String()), zap.Error(err))
	if req.Kind != opBegin {
		return result{err: errNotConfirmed}
	}
	return result{err: errNoOwner}
}

// observe counts and logs the result of an operation.
func (s *Service) observe(kind operationKind, in Intent, loc location, r result) {
	countOperation(kind, r)
	fields := []zap.Field{
		zap.Stringer("operation", kind),
		zap.String("workspace", in.Workspace),
		zap.String("nonce", in.Nonce),
		zap.Int("shard", loc.shard),
		zap.Int64("window", loc.window),
	}
	switch {
	case r.err != nil:
		fields = append(fields, zap.String("decision", "refused"), zap.String("kind", string(fault.KindOf(r.err))), zap.Error(r.err))
	case r.outcome != nil:
		fields = append(fields, zap.String("decision", "repeated"), zap.Int("status", r.outcome.Status))
	default:
		fields = append(fields, zap.String("decision", "recorded"))
	}
	s.opts.Log.Info("ledger operation", fields...)
}
