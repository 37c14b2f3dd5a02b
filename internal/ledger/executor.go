package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/eventloop"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

const (
	tickPeriod = 50 * time.Millisecond
	// idleTickPeriod is the tick interval while no page is cached.
	idleTickPeriod = 250 * time.Millisecond
	// storeTimeout limits one call to the object store.
	storeTimeout  = time.Second
	inboxCapacity = 1024
	// responseMargin is how long before the caller's deadline an operation times out, so that the
	// caller still receives the response, which says whether the operation may have been recorded.
	responseMargin = 4 * tickPeriod
)

// executor runs the owner state machine of this VM and performs its reads and writes.
type executor struct {
	store     objectstore.Store
	clock     clock.Clock
	wallClock func() time.Time
	log       *zap.Logger
	loop      *eventloop.Loop[input, action]

	nextID  atomic.Uint64
	mu      sync.Mutex
	waiters map[uint64]chan result

	ctx        context.Context
	stop       context.CancelFunc
	storeCalls sync.WaitGroup
}

func newExecutor(o Options) *executor {
	ctx, stop := context.WithCancel(context.Background())
	e := &executor{
		store:     o.Store,
		clock:     o.Clock,
		wallClock: o.WallClock,
		log:       o.Log,
		waiters:   map[uint64]chan result{},
		ctx:       ctx,
		stop:      stop,
	}
	e.loop = eventloop.NewLoop(eventloop.Options[input, action]{
		Machine:  newOwner(),
		Clock:    o.Clock,
		Capacity: inboxCapacity,
		Tick:     func() input { return tick{} },
		Period:   tickPeriod,

		IdlePeriod: idleTickPeriod,
		Perform:    e.perform,
	})
	return e
}

// run executes the state machine until ctx is done, then waits for store calls in progress.
func (e *executor) run(ctx context.Context) {
	defer e.storeCalls.Wait()
	defer e.stop()
	e.loop.Run(ctx)
}

var errStopped = fault.New(fault.Stopping, "retry with the same key at another VM", "the ledger shard owner is shutting down; this request was not executed")

// execute submits an operation to the state machine and waits for its result until ctx is done.
func (e *executor) execute(ctx context.Context, req *request) result {
	loc, err := locate(req.Intent.Workspace, req.Intent.Key)
	if err != nil {
		return result{err: err}
	}
	op := e.newOperation(ctx, req, loc)
	done := make(chan result, 1)
	e.register(op.id, done)
	defer e.unregister(op.id)
	if !e.loop.TryPut(submit{op}) {
		return result{err: errQueueFull}
	}
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		return resultOnTimeout(req.Kind)
	case <-e.ctx.Done():
		return result{err: errStopped}
	}
}

// newOperation returns the operation for a request. Its deadline is responseMargin before that of ctx, so
// that the result can still be returned to the caller. If less than twice the margin remains, half of the
// remaining time is reserved instead.
func (e *executor) newOperation(ctx context.Context, req *request, loc location) *operation {
	wait := defaultTimeout
	if end, ok := ctx.Deadline(); ok {
		wait = time.Until(end)
	}
	wait -= min(wait/2, responseMargin)
	return &operation{
		id:          e.nextID.Add(1),
		kind:        req.Kind,
		location:    loc,
		fingerprint: req.Intent.Fingerprint,
		nonce:       req.Intent.Nonce,
		outcome:     req.Outcome,
		wallTime:    e.wallClock(),
		deadline:    e.clock.Now().Add(wait),
	}
}

func (e *executor) register(id uint64, done chan result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiters[id] = done
}

func (e *executor) unregister(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiters, id)
}

func (e *executor) perform(a action) {
	switch a := a.(type) {
	case respond:
		e.mu.Lock()
		done := e.waiters[a.id]
		e.mu.Unlock()
		if done != nil {
			done <- a.result
		}
	case readPage:
		e.storeCalls.Add(1)
		go e.read(a)
	case writePage:
		e.storeCalls.Add(1)
		go e.write(a)
	}
}

func (e *executor) read(a readPage) {
	defer e.storeCalls.Done()
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	name := objectName(a.shard, a.window)
	object, err := e.store.Get(ctx, name)
	countStoreCall("read", err)
	if err != nil && !fault.Is(err, fault.NotFound) {
		e.log.Warn("ledger page read failed", zap.String("object", name), zap.Error(err))
	}
	_ = e.loop.Put(e.ctx, readDone{a.shard, a.window, object, err})
}

func (e *executor) write(a writePage) {
	defer e.storeCalls.Done()
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	name := objectName(a.shard, a.window)
	version, err := e.store.Put(ctx, name, a.value, a.version)
	countStoreCall("write", err)
	batchRecords.Update(float64(a.records))
	if err != nil {
		e.log.Warn("ledger page write failed", zap.String("object", name), zap.Int("records", a.records), zap.Error(err))
	}
	_ = e.loop.Put(e.ctx, writeDone{a.shard, a.window, version, err})
}
