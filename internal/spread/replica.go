package spread

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/duty"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
)

const (
	// inboxInputs is the most inputs that wait for the machine. When it is full a heartbeat's
	// digest is dropped, as the next one repeats it; all else waits.
	inboxInputs = 256
	// leadPeriod is the time between looks at who holds the watch duty.
	leadPeriod = 100 * time.Millisecond
	// CallTimeout bounds one call to a peer.
	CallTimeout = time.Second
	// parallelCalls is the most calls to peers at once for one push.
	parallelCalls = 64
)

// Options configure a Replica.
type Options struct {
	// Object is the platform object's name.
	Object string
	// Kind is the kind of the messages between replicas.
	Kind peer.Kind
	// Store is the platform's object API.
	Store objectstore.Store
	// Transport carries the messages; New registers the handler of Kind.
	Transport *peer.Transport
	// Directory gives the live VMs.
	Directory membership.Directory
	// Clock gives the time of decisions.
	Clock clock.Clock
	// Log gets a line for each version.
	Log *zap.Logger
	// Decode takes the platform's value apart.
	Decode func(value []byte) (map[string]string, error)
	// OnAdopt is called in the replica's goroutine for each table put in force.
	OnAdopt func(*Table, Origin)
	// OnPlatform is called after each answer of the platform about the object, with the
	// instant at which it was asked. Nil ignores it.
	OnPlatform func(asked clock.Instant)
	// Beside gives names that go with every answer to a pull, and OnBeside takes those that
	// come with one, before its table is put in force. Nil sends and takes none.
	Beside   func() []string
	OnBeside func([]string)
	// Serve handles operations from OpService on. Nil refuses them.
	Serve func(ctx context.Context, from ident.VM, m *Message) (*Message, error)
}

// Replica keeps one VM's copy of an object.
type Replica struct {
	opts  Options
	loop  *duty.Loop[Input, Action]
	ctx   context.Context
	start chan struct{}
	work  sync.WaitGroup
	calls callCounters
	held  atomic.Pointer[Table]
	// seen is the latest version read from the platform; it may still wait for the machine.
	seen atomic.Uint64
}

// New makes a Replica and registers its handler.
func New(o Options) *Replica {
	if o.OnPlatform == nil {
		o.OnPlatform = func(clock.Instant) {}
	}
	if o.Beside == nil {
		o.Beside, o.OnBeside = func() []string { return nil }, func([]string) {}
	}
	r := &Replica{opts: o, start: make(chan struct{}), calls: newCallCounters(o.Object)}
	r.loop = duty.NewLoop(duty.Options[Input, Action]{
		Machine:  &Machine{},
		Clock:    o.Clock,
		Capacity: inboxInputs,
		Perform:  r.perform,
	})
	peer.Handle(o.Transport, o.Kind, r.handle)
	return r
}

// Table gives the table in force, nil before the first.
func (r *Replica) Table() *Table { return r.held.Load() }

// Run keeps the copy until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	r.ctx = ctx
	close(r.start)
	r.work.Go(func() { r.readFirst(ctx) })
	r.work.Go(func() { r.watch(ctx) })
	r.loop.Run(ctx)
	r.work.Wait()
}

// OnDigest takes the version that a peer's heartbeat shows. It does not block.
func (r *Replica) OnDigest(from ident.VM, version uint64) {
	r.loop.Offer(Observed{From: from, Version: version})
}

// Written puts a table in force that this VM wrote to the platform, and hands it to the
// bridges of all data centres.
func (r *Replica) Written(ctx context.Context, before, after *Table) {
	if r.loop.Put(ctx, Read{Table: after}) != nil {
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
		r.held.Store(a.Table)
		r.opts.OnAdopt(a.Table, a.Origin)
	case Push:
		r.work.Go(func() { r.push(r.ctx, a.Delta) })
	case Pull:
		r.work.Go(func() { r.pull(r.ctx, a) })
	case Reply:
		a.Call()
	}
}

// String gives the origin as log lines show it.
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
	case <-r.start:
	default:
		return nil, fault.New(fault.Unavailable, "try again in a second", "this VM is starting")
	}
	switch {
	case m.Op == OpPush:
		return r.take(ctx, from, m, FromPush)
	case m.Op == OpRelay:
		return r.take(ctx, from, m, FromRelay)
	case m.Op == OpPull:
		return r.servePull(ctx, m.Version)
	case m.Op == OpAsk:
		return r.serveAsk(ctx, ^uint64(0))
	case r.opts.Serve != nil && m.Op >= OpService:
		return r.opts.Serve(ctx, from, m)
	}
	return nil, fault.New(fault.Malformed, remedySameRelease, "unknown operation")
}

func (r *Replica) take(ctx context.Context, from ident.VM, m *Message, origin Origin) (*Message, error) {
	d, err := DecodeDelta(m.Delta)
	if err != nil {
		return nil, err
	}
	held := make(chan uint64, 1)
	in := Pushed{From: from, Delta: d, Origin: origin, Done: func(v uint64) { held <- v }}
	if err := r.loop.Put(ctx, in); err != nil {
		return nil, fault.Wrap(err, fault.Timeout, "try again", "push")
	}
	select {
	case v := <-held:
		return &Message{Version: v}, nil
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Timeout, "try again", "push")
	}
}

// servePull takes the names before the table: a name that leaves the set in between does so
// because a later table shows it, and that table is then the one sent.
func (r *Replica) servePull(ctx context.Context, have uint64) (*Message, error) {
	names := r.opts.Beside()
	m, err := r.serveAsk(ctx, have)
	if err != nil {
		return nil, err
	}
	m.Names = names
	return m, nil
}

type answer struct {
	delta *Delta
	table *Table
	held  uint64
}

func (a answer) message() (*Message, error) {
	m := &Message{Version: a.held}
	var err error
	switch {
	case a.delta != nil:
		m.Delta, err = EncodeDelta(*a.delta)
	case a.table != nil:
		m.Table, err = EncodeTable(a.table)
	}
	return m, err
}

func (r *Replica) serveAsk(ctx context.Context, have uint64) (*Message, error) {
	answers := make(chan answer, 1)
	in := Asked{Have: have, Answer: func(d *Delta, t *Table, held uint64) { answers <- answer{d, t, held} }}
	if err := r.loop.Put(ctx, in); err != nil {
		return nil, fault.Wrap(err, fault.Timeout, "try again", "pull")
	}
	select {
	case a := <-answers:
		return a.message()
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Timeout, "try again", "pull")
	}
}
