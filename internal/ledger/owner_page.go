package ledger

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// page is the owner's picture of one object, and the operations that wait for it.
type page struct {
	shard  int
	window int64

	// loaded says that confirmed and version were read or written, and not put in doubt since.
	loaded     bool
	superseded bool
	version    uint64
	confirmed  map[keyHash]record
	// records and bodies are the sizes of the confirmed records and of their bodies, in bytes.
	records, bodies int
	// confirmedIn is the owner's step that issued the last read or write that succeeded.
	confirmedIn uint64

	// busy says that a read or a write is under way, since the step issued.
	busy   bool
	issued uint64
	staged map[keyHash]record

	waiting []*operation
	// counted is the part of waiting that the shard's count includes.
	counted  int
	failures int
	retryAt  clock.Instant
	used     clock.Instant
}

func newPage(shard int, window int64) *page {
	return &page{shard: shard, window: window}
}

func (p *page) quiet() bool { return !p.busy && len(p.waiting) == 0 }

// add queues an operation. An abandon ends a begin of its own attempt that still waits.
func (p *page) add(o *owner, op *operation) {
	if op.kind == opAbandon {
		p.waiting = slices.DeleteFunc(p.waiting, func(w *operation) bool {
			same := w.kind == opBegin && w.place.hash == op.place.hash && w.nonce == op.nonce
			if same {
				o.emit(answer{w.id, result{err: errAbandoned}})
			}
			return same
		})
	}
	p.waiting = append(p.waiting, op)
}

func (p *page) expire(o *owner, now clock.Instant) {
	p.waiting = slices.DeleteFunc(p.waiting, func(op *operation) bool {
		late := !now.Before(op.deadline)
		if late {
			o.emit(answer{op.id, op.expired()})
		}
		return late
	})
}

// load takes in the object that was read.
func (p *page) load(in readDone) error {
	if fault.Is(in.err, fault.NotFound) {
		p.confirm(0, map[keyHash]record{})
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
	p.confirm(in.object.Version, records)
	return nil
}

func (p *page) confirm(version uint64, records map[keyHash]record) {
	p.loaded = true
	p.version = version
	p.confirmed = records
	p.confirmedIn = p.issued
	p.failures = 0
	p.records, p.bodies = 0, 0
	for _, r := range records {
		p.records += r.bareSize()
		p.bodies += len(r.Outcome.Body)
	}
}

// markIssued marks the operations that the write under way may record.
func (p *page) markIssued() {
	for _, op := range p.waiting {
		if r, ok := p.staged[op.place.hash]; ok && r.Nonce == op.nonce {
			op.issued = true
		}
	}
}

// written takes in the success of the write under way.
func (p *page) written(version uint64) {
	maps.Copy(p.confirmed, p.staged)
	p.staged = nil
	p.confirm(version, p.confirmed)
}

// doubt drops the picture after a write that may or may not have taken effect. The next read
// settles it: an attempt that finds its own nonce was recorded.
func (p *page) doubt() {
	p.loaded = false
	p.staged = nil
}

// back puts off the next try.
func (p *page) back(now clock.Instant) {
	wait := retryLast
	if p.failures < 5 {
		wait = min(retryLast, retryFirst<<p.failures)
	}
	p.failures++
	p.retryAt = now.Add(wait)
}

// order gives the shard's pages, the one with the oldest waiting operation first.
func (s *shard) order() []*page {
	pages := slices.Collect(maps.Values(s.pages))
	slices.SortFunc(pages, func(a, b *page) int {
		return cmp.Or(cmp.Compare(a.since(), b.since()), cmp.Compare(a.window, b.window))
	})
	return pages
}

const noneWaiting = clock.Instant(math.MaxInt64)

func (p *page) since() clock.Instant {
	if len(p.waiting) == 0 {
		return noneWaiting
	}
	return p.waiting[0].arrived
}

func (s *shard) dropIdle(now clock.Instant) {
	maps.DeleteFunc(s.pages, func(_ int64, p *page) bool {
		return p.quiet() && now.Sub(p.used) > pageIdle
	})
}
