package ledger

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// page is the cached state of one object with the operations that wait for it.
type page struct {
	shard  int
	window int64

	// loaded is set while confirmed and version reflect a successful read or write that has not
	// been invalidated.
	loaded     bool
	superseded bool
	version    uint64
	confirmed  map[keyHash]record
	// recordBytes and bodyBytes are the sizes of the confirmed records, excluding response bodies,
	// and of the bodies.
	recordBytes, bodyBytes int
	// confirmedStep is the step of the owner that issued the last successful read or write.
	confirmedStep uint64

	// busy is set while a read or a write, issued in step issuedStep, is in progress.
	busy       bool
	issuedStep uint64
	staged     map[keyHash]record

	waiting []*operation
	// countedWaiting is the number of operations of this page included in shard.waiting.
	countedWaiting int
	failures       int
	retryAt        clock.Instant
	lastUsed       clock.Instant
}

func newPage(shard int, window int64) *page {
	return &page{shard: shard, window: window}
}

func (p *page) idle() bool { return !p.busy && len(p.waiting) == 0 }

// add queues an operation. An abandon operation first completes a waiting begin operation of the
// same attempt with an error.
func (p *page) add(o *owner, op *operation) {
	if op.kind == opAbandon {
		p.waiting = slices.DeleteFunc(p.waiting, func(w *operation) bool {
			same := w.kind == opBegin && w.location.hash == op.location.hash && w.nonce == op.nonce
			if same {
				o.emit(respond{w.id, result{err: errAbandoned}})
			}
			return same
		})
	}
	p.waiting = append(p.waiting, op)
}

func (p *page) expire(o *owner, now clock.Instant) {
	p.waiting = slices.DeleteFunc(p.waiting, func(op *operation) bool {
		expired := !now.Before(op.deadline)
		if expired {
			o.emit(respond{op.id, op.timeoutResult()})
		}
		return expired
	})
}

// load updates the page from the object that was read.
func (p *page) load(in readDone) error {
	if fault.Is(in.err, fault.NotFound) {
		p.setConfirmed(0, map[keyHash]record{})
		return nil
	}
	if in.err != nil {
		return in.err
	}
	window, records, err := decodePage(in.object.Value)
	if err != nil {
		return err
	}
	if window < p.window {
		records = map[keyHash]record{}
	}
	p.superseded = window > p.window
	p.setConfirmed(in.object.Version, records)
	return nil
}

func (p *page) setConfirmed(version uint64, records map[keyHash]record) {
	p.loaded = true
	p.version = version
	p.confirmed = records
	p.confirmedStep = p.issuedStep
	p.failures = 0
	p.recordBytes, p.bodyBytes = 0, 0
	for _, r := range records {
		p.recordBytes += r.sizeWithoutBody()
		p.bodyBytes += len(r.Outcome.Body)
	}
}

// markIssued sets writeIssued for the operations contained in the write in progress.
func (p *page) markIssued() {
	for _, op := range p.waiting {
		if r, ok := p.staged[op.location.hash]; ok && r.Nonce == op.nonce {
			op.writeIssued = true
		}
	}
}

// applyWrite adds the staged records to the confirmed ones after a successful write.
func (p *page) applyWrite(version uint64) {
	maps.Copy(p.confirmed, p.staged)
	p.staged = nil
	p.setConfirmed(version, p.confirmed)
}

// invalidate discards the cached state after a failed write, which may have taken effect. The next
// read resolves this: an attempt was recorded if the page contains its nonce.
func (p *page) invalidate() {
	p.loaded = false
	p.staged = nil
}

// backOff delays the next store call, with exponential backoff.
func (p *page) backOff(now clock.Instant) {
	wait := maxStoreRetryDelay
	if p.failures < 5 {
		wait = min(maxStoreRetryDelay, minStoreRetryDelay<<p.failures)
	}
	p.failures++
	p.retryAt = now.Add(wait)
}

// byOldestWaiting returns the shard's pages sorted by the arrival of their oldest waiting operation.
func (s *shard) byOldestWaiting() []*page {
	pages := slices.Collect(maps.Values(s.pages))
	slices.SortFunc(pages, func(a, b *page) int {
		return cmp.Or(cmp.Compare(a.oldestArrival(), b.oldestArrival()), cmp.Compare(a.window, b.window))
	})
	return pages
}

const noneWaiting = clock.Instant(math.MaxInt64)

func (p *page) oldestArrival() clock.Instant {
	if len(p.waiting) == 0 {
		return noneWaiting
	}
	return p.waiting[0].arrivedAt
}

func (s *shard) evictIdle(now clock.Instant) {
	maps.DeleteFunc(s.pages, func(_ int64, p *page) bool {
		return p.idle() && now.Sub(p.lastUsed) > pageIdleTimeout
	})
}
