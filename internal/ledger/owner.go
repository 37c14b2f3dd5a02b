package ledger

import (
	"cmp"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

const (
	// WritesPerSecond is the maximum sustained rate of object store writes per shard.
	WritesPerSecond = 4
	// WriteBurst is the maximum burst of writes per shard after a period without writes.
	WriteBurst = 4
	// FlushDelay is how long an outcome may be delayed to be written with other changes.
	FlushDelay = 500 * time.Millisecond
	// OutcomeWait is how long a repeated begin waits for the outcome of an attempt that may be running.
	OutcomeWait = time.Second
	// MaxWaiting is the maximum number of operations queued per shard.
	MaxWaiting = 4096
	// pageIdleTimeout is how long an unused page stays cached.
	pageIdleTimeout = 30 * time.Second
	// maxPages is the maximum number of cached pages per shard.
	maxPages = 64
	// minStoreRetryDelay and maxStoreRetryDelay limit the exponential backoff after store errors.
	minStoreRetryDelay = 50 * time.Millisecond
	maxStoreRetryDelay = 800 * time.Millisecond
)

// input is an input of the owner state machine.
type input interface{ isInput() }

// submit adds an operation.
type submit struct{ op *operation }

// readDone reports the result of a readPage.
type readDone struct {
	shard  int
	window int64
	object objectstore.Object
	err    error
}

// writeDone reports the result of a writePage.
type writeDone struct {
	shard   int
	window  int64
	version uint64
	err     error
}

// tick is sent periodically to advance timeouts and delayed writes.
type tick struct{}

func (submit) isInput()    {}
func (readDone) isInput()  {}
func (writeDone) isInput() {}
func (tick) isInput()      {}

// action is an action of the owner state machine, performed by the executor.
type action interface{ isAction() }

// readPage reads the object of a page.
type readPage struct {
	shard  int
	window int64
}

// writePage conditionally updates the object of a page.
type writePage struct {
	shard   int
	window  int64
	value   []byte
	version uint64
	records int
}

// respond completes an operation.
type respond struct {
	id     uint64
	result result
}

func (readPage) isAction()  {}
func (writePage) isAction() {}
func (respond) isAction()   {}

// owner is a deterministic state machine that decides operations for the shards served by this VM.
// Any VM may serve any shard at any time; the conditional update of a page's object detects
// concurrent owners.
type owner struct {
	shards  [ShardCount]*shard
	actions []action
	// step counts inputs. It shows whether a read was issued before or after an operation arrived.
	step uint64
}

// shard holds the cached pages of one shard and its write rate limit.
type shard struct {
	pages      map[int64]*page
	waiting    int
	tokens     float64
	refilledAt clock.Instant
}

func newOwner() *owner {
	o := &owner{}
	for i := range o.shards {
		o.shards[i] = &shard{pages: map[int64]*page{}, tokens: WriteBurst}
	}
	return o
}

// Idle reports whether no page is cached.
func (o *owner) Idle() bool {
	for _, s := range o.shards {
		if len(s.pages) > 0 {
			return false
		}
	}
	return true
}

// Step processes one input and returns the resulting actions.
func (o *owner) Step(now clock.Instant, in input) []action {
	o.actions = nil
	o.step++
	switch in := in.(type) {
	case submit:
		o.submit(now, in.op)
	case readDone:
		o.readDone(now, in)
	case writeDone:
		o.writeDone(now, in)
	case tick:
		o.tick(now)
	}
	return o.actions
}

func (o *owner) emit(a action) { o.actions = append(o.actions, a) }

func (o *owner) submit(now clock.Instant, op *operation) {
	if op.kind == opBegin {
		if err := checkAge(op.location.issuedAt, op.wallTime); err != nil {
			o.emit(respond{op.id, result{err: err}})
			return
		}
	}
	s := o.shards[op.location.shard]
	if s.waiting >= MaxWaiting {
		o.emit(respond{op.id, result{err: errQueueFull}})
		return
	}
	p := s.page(op.location)
	if p == nil {
		o.emit(respond{op.id, result{err: errQueueFull}})
		return
	}
	op.arrivedAt = now
	op.arrivalStep = o.step
	p.lastUsed = now
	p.add(o, op)
	s.updateWaiting(p)
	if s.refill(now) || !p.loaded {
		o.advanceAll(now, s)
	}
}

// page returns the page of a location, or nil if too many pages are in use.
func (s *shard) page(loc location) *page {
	if p := s.pages[loc.window]; p != nil {
		return p
	}
	if len(s.pages) >= maxPages && !s.evictOne() {
		return nil
	}
	p := newPage(loc.shard, loc.window)
	s.pages[loc.window] = p
	return p
}

// evictOne removes the least recently used idle page.
func (s *shard) evictOne() bool {
	var oldest *page
	for _, p := range s.pages {
		if p.idle() && (oldest == nil || cmp.Or(cmp.Compare(p.lastUsed, oldest.lastUsed), cmp.Compare(p.window, oldest.window)) < 0) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	delete(s.pages, oldest.window)
	return true
}

func (o *owner) readDone(now clock.Instant, in readDone) {
	s := o.shards[in.shard]
	p := s.pages[in.window]
	if p == nil || !p.busy {
		return
	}
	p.busy = false
	if err := p.load(in); err != nil {
		p.backOff(now)
	}
	o.advance(now, s, p)
}

func (o *owner) writeDone(now clock.Instant, in writeDone) {
	s := o.shards[in.shard]
	p := s.pages[in.window]
	if p == nil || !p.busy {
		return
	}
	p.busy = false
	switch {
	case in.err == nil:
		p.applyWrite(in.version)
	case fault.Is(in.err, fault.Conflict):
		p.invalidate()
	default:
		p.invalidate()
		p.backOff(now)
	}
	o.advance(now, s, p)
}

func (o *owner) tick(now clock.Instant) {
	for _, s := range o.shards {
		o.advanceAll(now, s)
		s.evictIdle(now)
	}
}

// advanceAll advances the pages of a shard, starting with the one that has the oldest waiting
// operation, so that one busy page cannot use up the shard's write rate limit.
func (o *owner) advanceAll(now clock.Instant, s *shard) {
	for _, p := range s.byOldestWaiting() {
		o.advance(now, s, p)
	}
}

// advance expires operations of a page and processes the page unless it is busy or backing off.
func (o *owner) advance(now clock.Instant, s *shard, p *page) {
	p.expire(o, now)
	if !p.busy && !now.Before(p.retryAt) {
		o.processPage(now, s, p)
	}
	s.updateWaiting(p)
}

func (o *owner) processPage(now clock.Instant, s *shard, p *page) {
	if len(p.waiting) == 0 {
		return
	}
	if !p.loaded {
		o.read(p)
		return
	}
	b := p.evaluate(o, now)
	switch {
	case b.due(now) && s.takeToken(now):
		o.write(now, p, b)
	case b.needsRead:
		o.read(p)
	}
}

func (o *owner) read(p *page) {
	p.busy = true
	p.issuedStep = o.step
	o.emit(readPage{p.shard, p.window})
}

func (o *owner) write(now clock.Instant, p *page, b batch) {
	value, err := encodePage(p.window, p.confirmed, b.staged)
	if err != nil {
		p.backOff(now)
		return
	}
	p.busy = true
	p.issuedStep = o.step
	p.staged = b.staged
	p.markIssued()
	o.emit(writePage{p.shard, p.window, value, p.version, len(b.staged)})
}

// refill adds the tokens accrued up to now and reports whether a write is allowed.
func (s *shard) refill(now clock.Instant) bool {
	s.tokens = min(WriteBurst, s.tokens+now.Sub(s.refilledAt).Seconds()*WritesPerSecond)
	s.refilledAt = now
	return s.tokens >= 1
}

// takeToken consumes one write token of the shard.
func (s *shard) takeToken(now clock.Instant) bool {
	if !s.refill(now) {
		return false
	}
	s.tokens--
	return true
}

// updateWaiting updates the shard's number of waiting operations after a change to a page.
func (s *shard) updateWaiting(p *page) {
	s.waiting += len(p.waiting) - p.countedWaiting
	p.countedWaiting = len(p.waiting)
}
