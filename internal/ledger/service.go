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
	// defaultTimeout bounds an operation whose context has no deadline.
	defaultTimeout = 5 * time.Second
	// attemptTimeout bounds one try at one owner.
	attemptTimeout = 2 * time.Second
	// maxAttempts is the most owners that one operation tries.
	maxAttempts = 4
)

// Options configure a Service.
type Options struct {
	// Self is this VM.
	Self membership.Member
	// Directory gives the live VMs, among which each shard has one owner.
	Directory membership.Directory
	// Store keeps the records.
	Store objectstore.Store
	// Transport carries operations to owners. New registers its handlers.
	Transport *peer.Transport
	// Clock measures waiting.
	Clock clock.Clock
	// Wall gives the time of day, against which the age of keys is checked.
	Wall func() time.Time
	// Log gets a line for each decision.
	Log *zap.Logger
}

// Service is the ledger of one VM: it serves the callers of this VM and, for the shards that
// this VM owns, those of all VMs.
type Service struct {
	opts       Options
	host       *host
	background *background
}

var _ Ledger = (*Service)(nil)

// New makes a Service and registers its message handlers. Run starts it.
func New(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	s := &Service{opts: o, host: newHost(o), background: newBackground()}
	peer.Handle(o.Transport, peer.KindLedgerBegin, s.serve)
	peer.Handle(o.Transport, peer.KindLedgerFinish, s.serve)
	return s
}

// Run serves until ctx ends. Operations that wait then fail as Stopping, and what Stop did not
// wait for is given up.
func (s *Service) Run(ctx context.Context) {
	s.host.run(ctx)
	s.background.close(ctx)
}

// Stop waits until ctx ends for the outcomes that are being recorded in the background, and
// takes no more. It is called before Run's context and the transport end.
func (s *Service) Stop(ctx context.Context) { s.background.close(ctx) }

func (s *Service) serve(ctx context.Context, _ ident.VM, req *request) (*reply, error) {
	return newReply(s.host.do(ctx, req)), nil
}

// Begin records the intent of a commit; see Ledger.
func (s *Service) Begin(ctx context.Context, in Intent) (*Outcome, error) {
	at, err := locate(in.Workspace, in.Key)
	if err == nil {
		err = checkAge(at.issued, s.opts.Wall())
	}
	if err == nil && (in.Nonce == "" || len(in.Nonce) > MaxNonce) {
		err = fault.New(fault.Internal, "report this", "nonce is empty or too long")
	}
	if err != nil {
		s.note(opBegin, in, at, result{err: err})
		return nil, err
	}
	r, doubtful := s.do(ctx, at, &request{Kind: opBegin, Intent: in})
	if r.err != nil && doubtful {
		_ = s.Abandon(ctx, in)
	}
	s.note(opBegin, in, at, r)
	return r.outcome, r.err
}

// Finish hands over the outcome of a commit; see Ledger.
func (s *Service) Finish(ctx context.Context, in Intent, out Outcome) error {
	return s.later(ctx, &request{Kind: opFinish, Intent: in, Outcome: out.trimmed()})
}

// Abandon says that a commit surely did not and will not run; see Ledger.
func (s *Service) Abandon(ctx context.Context, in Intent) error {
	return s.later(ctx, &request{Kind: opAbandon, Intent: in})
}

// later has an operation recorded in the background. When too many wait there, it is tried
// once before later returns.
func (s *Service) later(ctx context.Context, req *request) error {
	if _, err := locate(req.Intent.Workspace, req.Intent.Key); err != nil {
		return err
	}
	if s.background.start(func(ctx context.Context) bool { return final(s.record(ctx, req)) }) {
		return nil
	}
	return s.record(ctx, req)
}

// record has an operation recorded and waits for it.
func (s *Service) record(ctx context.Context, req *request) error {
	at, err := locate(req.Intent.Workspace, req.Intent.Key)
	if err != nil {
		return err
	}
	r, _ := s.do(ctx, at, req)
	s.note(req.Kind, req.Intent, at, r)
	return r.err
}

// final says that another try would change nothing.
func final(err error) bool {
	if err == nil {
		return true
	}
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Timeout, fault.Stopping, fault.Overloaded:
		return false
	}
	return true
}

// trimmed drops what is too long to be kept.
func (o Outcome) trimmed() Outcome {
	if len(o.Body) > MaxOutcomeBody {
		o.Body = nil
		o.Truncated = true
	}
	if len(o.ContentType) > MaxContentType {
		o.ContentType = ""
	}
	return o
}

// do asks the shard's owner, and after a failure the next one, until one decides. doubtful says
// that some owner may have recorded the operation, or may yet, without saying so.
func (s *Service) do(ctx context.Context, at place, req *request) (r result, doubtful bool) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	tried := map[string]bool{}
	r = result{err: errNoOwner}
	for range maxAttempts {
		owner, ok := s.owner(at.shard, tried)
		if !ok || ctx.Err() != nil {
			break
		}
		tried[owner.VM.Name] = true
		r = s.ask(ctx, owner, req)
		if r.settled() {
			break
		}
		doubtful = doubtful || !r.clean
	}
	return r, doubtful
}

var errNoOwner = fault.New(fault.Unavailable, "repeat with the same key; an earlier call may have run", "no VM answers for the ledger; not run by this call", fault.WithRetryAfter(time.Second))

// owner gives the shard's owner among the live VMs that were not tried yet. This VM itself
// comes last: it may reach the platform when the others cannot be reached.
func (s *Service) owner(shard int, tried map[string]bool) (membership.Member, bool) {
	view := s.opts.Directory.View()
	name := "ledger/" + strconv.Itoa(shard)
	m, ok := view.Owner(name, func(m membership.Member) bool { return !tried[m.VM.Name] })
	if !ok && !tried[s.opts.Self.VM.Name] {
		return s.opts.Self, true
	}
	return m, ok
}

// ask makes one try.
func (s *Service) ask(ctx context.Context, owner membership.Member, req *request) result {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if owner.VM.Name == s.opts.Self.VM.Name {
		return s.host.do(ctx, req)
	}
	return s.askPeer(ctx, owner, req)
}

func (s *Service) askPeer(ctx context.Context, owner membership.Member, req *request) result {
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
	s.opts.Log.Warn("ledger owner did not answer", zap.Stringer("owner", owner.VM), zap.String("operation", req.Kind.String()), zap.Error(err))
	if req.Kind != opBegin {
		return result{err: errNoRecovery}
	}
	return result{err: errNoOwner}
}

func (s *Service) note(kind operationKind, in Intent, at place, r result) {
	countOperation(kind, r)
	fields := []zap.Field{
		zap.Stringer("operation", kind),
		zap.String("workspace", in.Workspace),
		zap.String("nonce", in.Nonce),
		zap.Int("shard", at.shard),
		zap.Int64("window", at.window),
	}
	switch {
	case r.err != nil:
		fields = append(fields, zap.String("decision", "refused"), zap.String("kind", string(fault.KindOf(r.err))), zap.Error(r.err))
	case r.outcome != nil:
		fields = append(fields, zap.String("decision", "repeated"), zap.Int("status", r.outcome.Status))
	default:
		fields = append(fields, zap.String("decision", "recorded"))
	}
	s.opts.Log.Info("ledger", fields...)
}
