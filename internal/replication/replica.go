package replication

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/eventloop"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
)

const (
	// inboxCapacity is the maximum number of inputs queued for the machine. When the queue is full,
	// versions from heartbeats are dropped, as the next heartbeat repeats them; other inputs block.
	inboxCapacity = 256
	// bridgeCheckPeriod is the time between checks whether this VM has become a bridge.
	bridgeCheckPeriod = 100 * time.Millisecond
	// CallTimeout is the timeout of a call to a peer.
	CallTimeout = time.Second
	// maxParallelCalls is the maximum number of concurrent calls in one CallAll.
	maxParallelCalls = 64
)

// Options configures a Replica.
type Options struct {
	// Object is the name of the platform object.
	Object string
	// Kind is the kind of the messages between replicas.
	Kind peer.Kind
	// Store is the platform's object store.
	Store objectstore.Store
	// Transport carries the messages; New registers the handler of Kind.
	Transport *peer.Transport
	// Directory provides the membership view.
	Directory membership.Directory
	// Clock is the time source.
	Clock clock.Clock
	// Log is the logger.
	Log *zap.Logger
	// Decode parses the object's value into entries.
	Decode func(value []byte) (map[string]string, error)
	// OnAdopt is called in the replica's goroutine for each table that becomes current.
	OnAdopt func(*Table, Origin)
	// OnPlatformResponse is called after each response of the platform that concerns the object,
	// with the time at which the request was sent. It may be nil.
	OnPlatformResponse func(requestedAt clock.Instant)
	// AttachedNames returns names that are attached to every reply to a pull. OnAttachedNames
	// receives the names attached to a reply before its table becomes current. If AttachedNames is
	// nil, neither is used.
	AttachedNames   func() []string
	OnAttachedNames func([]string)
	// Serve handles operations from OpService on. If nil, they are rejected.
	Serve func(ctx context.Context, from ident.VM, m *Message) (*Message, error)
}

// Replica maintains one VM's copy of an object.
type Replica struct {
	opts    Options
	loop    *eventloop.Loop[Input, Action]
	ctx     context.Context
	started chan struct{}
	tasks   sync.WaitGroup
	calls   callCounters
	table   atomic.Pointer[Table]
	// lastRead is the latest version read from the platform; its table may still be queued for
	// the machine.
	lastRead atomic.Uint64
}

// New returns a Replica and registers its message handler.
func New(o Options) *Replica {
	if o.OnPlatformResponse == nil {
		o.OnPlatformResponse = func(clock.Instant) {}
	}
	if o.AttachedNames == nil {
		o.AttachedNames, o.OnAttachedNames = func() []string { return nil }, func([]string) {}
	}
	r := &Replica{opts: o, started: make(chan struct{}), calls: newCallCounters(o.Object)}
	r.loop = eventloop.NewLoop(eventloop.Options[Input, Action]{
		Machine:  &Machine{},
		Clock:    o.Clock,
		Capacity: inboxCapacity,
		Perform:  r.perform,
	})
	peer.Handle(o.Transport, o.Kind, r.handle)
	return r
}

// Table returns the current table, nil if there is none yet.
func (r *Replica) Table() *Table { return r.table.Load() }

// Run keeps the copy up to date until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	r.ctx = ctx
	close(r.started)
	r.tasks.Go(func() { r.initialRead(ctx) })
	r.tasks.Go(func() { r.watch(ctx) })
	r.loop.Run(ctx)
	r.tasks.Wait()
}

// ObserveVersion processes the version reported in a peer's heartbeat. It does not block.
func (r *Replica) ObserveVersion(from ident.VM, version uint64) {
	r.loop.TryPut(VersionObserved{From: from, Version: version})
}

// ApplyWrite makes a table current that this VM wrote to the platform and sends the change to a
// bridge of each data centre.
func (r *Replica) ApplyWrite(ctx context.Context, before, after *Table) {
	if r.loop.Put(ctx, TableRead{Table: after}) != nil {
		return
	}
	if before == nil || before.Version >= after.Version {
		return
	}
	r.relay(ctx, Diff(before, after))
}

func (r *Replica) perform(a Action) {
	switch a := a.(type) {
	case Adopt:
		r.opts.Log.Info("version in force", zap.String("object", r.opts.Object), zap.Uint64("version", a.Table.Version),
			zap.Stringer("origin", a.Origin), zap.Int("entries", len(a.Table.Entries)))
		r.table.Store(a.Table)
		r.opts.OnAdopt(a.Table, a.Origin)
	case Push:
		r.tasks.Go(func() { r.push(r.ctx, a.Delta) })
	case Pull:
		r.tasks.Go(func() { r.pull(r.ctx, a) })
	case Reply:
		a.Send()
	}
}

// String returns the origin as shown in log lines.
func (o Origin) String() string {
	switch o {
	case FromPlatform:
		return "platform"
	case FromPush:
		return "push"
	case FromRelay:
		return "relay"
	case FromPull:
		return "pull"
	}
	return "unknown"
}

func (r *Replica) handle(ctx context.Context, from ident.VM, m *Message) (*Message, error) {
	select {
	case <-r.started:
	default:
		return nil, fault.New(fault.Unavailable, "retry in a second", "this VM is starting")
	}
	switch {
	case m.Op == OpPush:
		return r.receiveDelta(ctx, from, m, FromPush)
	case m.Op == OpRelay:
		return r.receiveDelta(ctx, from, m, FromRelay)
	case m.Op == OpPull:
		return r.servePull(ctx, m.Version)
	case m.Op == OpVersion:
		return r.requestTable(ctx, ^uint64(0))
	case r.opts.Serve != nil && m.Op >= OpService:
		return r.opts.Serve(ctx, from, m)
	}
	return nil, fault.New(fault.Malformed, remedySameRelease, "unknown operation")
}

func (r *Replica) receiveDelta(ctx context.Context, from ident.VM, m *Message, origin Origin) (*Message, error) {
	d, err := DecodeDelta(m.Delta)
	if err != nil {
		return nil, err
	}
	version := make(chan uint64, 1)
	in := DeltaReceived{From: from, Delta: d, Origin: origin, Done: func(v uint64) { version <- v }}
	if err := r.loop.Put(ctx, in); err != nil {
		return nil, fault.Wrap(err, fault.Timeout, "retry", "push")
	}
	select {
	case v := <-version:
		return &Message{Version: v}, nil
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Timeout, "retry", "push")
	}
}

// servePull reads the attached names before the table. A name that is removed in between was
// removed because a later table contains it, and the reply then carries that table.
func (r *Replica) servePull(ctx context.Context, since uint64) (*Message, error) {
	names := r.opts.AttachedNames()
	m, err := r.requestTable(ctx, since)
	if err != nil {
		return nil, err
	}
	m.Names = names
	return m, nil
}

type pullResponse struct {
	delta   *Delta
	table   *Table
	version uint64
}

func (p pullResponse) message() (*Message, error) {
	m := &Message{Version: p.version}
	var err error
	switch {
	case p.delta != nil:
		m.Delta, err = EncodeDelta(*p.delta)
	case p.table != nil:
		m.Table, err = EncodeTable(p.table)
	}
	return m, err
}

func (r *Replica) requestTable(ctx context.Context, since uint64) (*Message, error) {
	responses := make(chan pullResponse, 1)
	in := PullRequested{Since: since, Respond: func(d *Delta, t *Table, version uint64) { responses <- pullResponse{d, t, version} }}
	if err := r.loop.Put(ctx, in); err != nil {
		return nil, fault.Wrap(err, fault.Timeout, "retry", "pull")
	}
	select {
	case a := <-responses:
		return a.message()
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Timeout, "retry", "pull")
	}
}
