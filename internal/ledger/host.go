package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/duty"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

const (
	tickPeriod = 50 * time.Millisecond
	// idleTickPeriod is the time between steps while no page is kept.
	idleTickPeriod = 250 * time.Millisecond
	// storeTimeout bounds one call to the platform.
	storeTimeout = time.Second
	inboxInputs  = 1024
	// answerMargin is how long before its caller's deadline an operation is given up, so that
	// the caller learns whether it left a record.
	answerMargin = 4 * tickPeriod
)

// host runs the owner machine of this VM and does its reads and writes.
type host struct {
	store objectstore.Store
	clock clock.Clock
	wall  func() time.Time
	log   *zap.Logger
	loop  *duty.Loop[input, action]

	nextID  atomic.Uint64
	mu      sync.Mutex
	answers map[uint64]chan result

	ctx  context.Context
	stop context.CancelFunc
	io   sync.WaitGroup
}

func newHost(o Options) *host {
	ctx, stop := context.WithCancel(context.Background())
	h := &host{
		store:   o.Store,
		clock:   o.Clock,
		wall:    o.Wall,
		log:     o.Log,
		answers: map[uint64]chan result{},
		ctx:     ctx,
		stop:    stop,
	}
	h.loop = duty.NewLoop(duty.Options[input, action]{
		Machine:  newOwner(),
		Clock:    o.Clock,
		Capacity: inboxInputs,
		Tick:     func() input { return tick{} },
		Period:   tickPeriod,

		IdlePeriod: idleTickPeriod,
		Perform:    h.perform,
	})
	return h
}

// run steps the machine until ctx ends, then waits for the calls under way.
func (h *host) run(ctx context.Context) {
	defer h.io.Wait()
	defer h.stop()
	h.loop.Run(ctx)
}

var errStopped = fault.New(fault.Stopping, "repeat with the same key at another VM", "the ledger's owner is stopping; not run by this call")

// do hands an operation to the machine and waits for its answer until ctx ends.
func (h *host) do(ctx context.Context, req *request) result {
	at, err := locate(req.Intent.Workspace, req.Intent.Key)
	if err != nil {
		return result{err: err}
	}
	op := h.operation(ctx, req, at)
	done := make(chan result, 1)
	h.expect(op.id, done)
	defer h.forget(op.id)
	if !h.loop.TryPut(submit{op}) {
		return result{err: errQueueFull}
	}
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		return unanswered(req.Kind)
	case <-h.ctx.Done():
		return result{err: errStopped}
	}
}

func (h *host) operation(ctx context.Context, req *request, at place) *operation {
	wait := defaultTimeout
	if end, ok := ctx.Deadline(); ok {
		wait = time.Until(end)
	}
	wait -= min(wait/2, answerMargin)
	return &operation{
		id:          h.nextID.Add(1),
		kind:        req.Kind,
		place:       at,
		fingerprint: req.Intent.Fingerprint,
		nonce:       req.Intent.Nonce,
		outcome:     req.Outcome,
		wall:        h.wall(),
		deadline:    h.clock.Now().Add(wait),
	}
}

func (h *host) expect(id uint64, done chan result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[id] = done
}

func (h *host) forget(id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.answers, id)
}

func (h *host) perform(a action) {
	switch a := a.(type) {
	case answer:
		h.mu.Lock()
		done := h.answers[a.id]
		h.mu.Unlock()
		if done != nil {
			done <- a.result
		}
	case readPage:
		h.io.Add(1)
		go h.read(a)
	case writePage:
		h.io.Add(1)
		go h.write(a)
	}
}

func (h *host) read(a readPage) {
	defer h.io.Done()
	ctx, cancel := context.WithTimeout(h.ctx, storeTimeout)
	defer cancel()
	name := objectName(a.shard, a.window)
	object, err := h.store.Get(ctx, name)
	countStore("read", err)
	if err != nil && !fault.Is(err, fault.NotFound) {
		h.log.Warn("ledger read failed", zap.String("object", name), zap.Error(err))
	}
	_ = h.loop.Put(h.ctx, readDone{a.shard, a.window, object, err})
}

func (h *host) write(a writePage) {
	defer h.io.Done()
	ctx, cancel := context.WithTimeout(h.ctx, storeTimeout)
	defer cancel()
	name := objectName(a.shard, a.window)
	version, err := h.store.Put(ctx, name, a.value, a.version)
	countStore("write", err)
	batchRecords.Update(float64(a.records))
	if err != nil {
		h.log.Warn("ledger write failed", zap.String("object", name), zap.Int("records", a.records), zap.Error(err))
	}
	_ = h.loop.Put(h.ctx, writeDone{a.shard, a.window, version, err})
}
