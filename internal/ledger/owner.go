package ledger

import (
	"cmp"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

const (
	// WritesPerSecond is the most sustained platform writes of one shard.
	WritesPerSecond = 4
	// WriteBurst is the most writes of one shard at once after a quiet time.
	WriteBurst = 4
	// FlushDelay is how long an outcome waits for a batch to ride on.
	FlushDelay = 500 * time.Millisecond
	// OutcomeWait is how long a repeat waits for the outcome of an attempt that may be running.
	OutcomeWait = time.Second
	// MaxWaiting is the most operations that wait at the owner of one shard.
	MaxWaiting = 4096
	// pageIdle is how long an unused page is kept in memory.
	pageIdle = 30 * time.Second
	// maxPages is the most pages of one shard that are kept in memory.
	maxPages = 64
	// retryFirst and retryLast bound the growing time between tries at a failing store.
	retryFirst = 50 * time.Millisecond
	retryLast  = 800 * time.Millisecond
)

// input is what the owner machine is stepped with.
type input interface{ isInput() }

// submit brings an operation.
type submit struct{ op *operation }

// readDone brings the end of a readPage.
type readDone struct {
	shard  int
	window int64
	object objectstore.Object
	err    error
}

// writeDone brings the end of a writePage.
type writeDone struct {
	shard   int
	window  int64
	version uint64
	err     error
}

// tick marks the passing of time.
type tick struct{}

func (submit) isInput()    {}
func (readDone) isInput()  {}
func (writeDone) isInput() {}
func (tick) isInput()      {}

// action is what the owner machine asks its shell to do.
type action interface{ isAction() }

// readPage asks for a page's object.
type readPage struct {
	shard  int
	window int64
}

// writePage asks for one conditional update of a page's object.
type writePage struct {
	shard   int
	window  int64
	value   []byte
	version uint64
	records int
}

// answer ends an operation.
type answer struct {
	id     uint64
	result result
}

func (readPage) isAction()  {}
func (writePage) isAction() {}
func (answer) isAction()    {}

// owner decides for the shards that this VM serves. It is deterministic. Any VM may serve any
// shard at any time: the version of a page's object keeps two owners apart.
type owner struct {
	shards  [ShardCount]*shard
	actions []action
	// step counts the inputs, to tell a read issued before an operation came from a later one.
	step uint64
}

// shard is the part of the keys that shares one allowance of platform writes.
type shard struct {
	pages   map[int64]*page
	waiting int
	tokens  float64
	filled  clock.Instant
}

func newOwner() *owner {
	o := &owner{}
	for i := range o.shards {
		o.shards[i] = &shard{pages: map[int64]*page{}, tokens: WriteBurst}
	}
	return o
}

// Idle reports whether no page is kept.
func (o *owner) Idle() bool {
	for _, s := range o.shards {
		if len(s.pages) > 0 {
			return false
		}
	}
	return true
}

// Step takes one input at one instant and gives the actions that follow.
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
		if err := checkAge(op.place.issued, op.wall); err != nil {
			o.emit(answer{op.id, result{err: err}})
			return
		}
	}
	s := o.shards[op.place.shard]
	if s.waiting >= MaxWaiting {
		o.emit(answer{op.id, result{err: errQueueFull}})
		return
	}
	p := s.page(op.place)
	if p == nil {
		o.emit(answer{op.id, result{err: errQueueFull}})
		return
	}
	op.arrived = now
	op.step = o.step
	p.used = now
	p.add(o, op)
	s.count(p)
	if s.refill(now) || !p.loaded {
		o.advanceAll(now, s)
	}
}

// page gives the page of a place, or nil when too many pages are busy.
func (s *shard) page(at place) *page {
	if p := s.pages[at.window]; p != nil {
		return p
	}
	if len(s.pages) >= maxPages && !s.evictOne() {
		return nil
	}
	p := newPage(at.shard, at.window)
	s.pages[at.window] = p
	return p
}

// evictOne drops the page that was used least recently and has nothing to do.
func (s *shard) evictOne() bool {
	var oldest *page
	for _, p := range s.pages {
		if p.quiet() && (oldest == nil || cmp.Or(cmp.Compare(p.used, oldest.used), cmp.Compare(p.window, oldest.window)) < 0) {
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
		p.back(now)
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
		p.written(in.version)
	case fault.Is(in.err, fault.Conflict):
		p.doubt()
	default:
		p.doubt()
		p.back(now)
	}
	o.advance(now, s, p)
}

func (o *owner) tick(now clock.Instant) {
	for _, s := range o.shards {
		o.advanceAll(now, s)
		s.dropIdle(now)
	}
}

// advanceAll advances a shard's pages, the one with the oldest operation first, so that a busy
// page does not keep the shard's writes from the others.
func (o *owner) advanceAll(now clock.Instant, s *shard) {
	for _, p := range s.order() {
		o.advance(now, s, p)
	}
}

// advance takes a page as far as it goes without waiting.
func (o *owner) advance(now clock.Instant, s *shard, p *page) {
	p.expire(o, now)
	if !p.busy && !now.Before(p.retryAt) {
		o.decide(now, s, p)
	}
	s.count(p)
}

func (o *owner) decide(now clock.Instant, s *shard, p *page) {
	if len(p.waiting) == 0 {
		return
	}
	if !p.loaded {
		o.read(p)
		return
	}
	b := p.evaluate(o, now)
	switch {
	case b.due(now) && s.take(now):
		o.write(now, p, b)
	case b.stale:
		o.read(p)
	}
}

func (o *owner) read(p *page) {
	p.busy = true
	p.issued = o.step
	o.emit(readPage{p.shard, p.window})
}

func (o *owner) write(now clock.Instant, p *page, b batch) {
	value, err := encodePage(p.window, p.confirmed, b.staged)
	if err != nil {
		p.back(now)
		return
	}
	p.busy = true
	p.issued = o.step
	p.staged = b.staged
	p.markIssued()
	o.emit(writePage{p.shard, p.window, value, p.version, len(b.staged)})
}

// refill brings the allowance up to now and reports whether a write is left.
func (s *shard) refill(now clock.Instant) bool {
	s.tokens = min(WriteBurst, s.tokens+now.Sub(s.filled).Seconds()*WritesPerSecond)
	s.filled = now
	return s.tokens >= 1
}

// take spends one write of the shard's allowance.
func (s *shard) take(now clock.Instant) bool {
	if !s.refill(now) {
		return false
	}
	s.tokens--
	return true
}

// count brings the shard's number of waiting operations up to date with a page.
func (s *shard) count(p *page) {
	s.waiting += len(p.waiting) - p.counted
	p.counted = len(p.waiting)
}
