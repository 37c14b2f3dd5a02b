package ledger

import (
	"slices"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// batch is what the next write of a page would change.
type batch struct {
	staged map[keyHash]record
	// urgent: an operation waits for the write. Otherwise it waits until lazyUntil.
	urgent    bool
	lazyUntil clock.Instant
	// stale: an operation needs a read that is newer than its arrival.
	stale bool
	// records and bodies are the sizes of the page after the write, in bytes.
	records int
	bodies  int
}

func (b *batch) due(now clock.Instant) bool {
	return len(b.staged) > 0 && (b.urgent || !now.Before(b.lazyUntil))
}

func (b *batch) lazy(until clock.Instant) {
	if b.lazyUntil == 0 || until.Before(b.lazyUntil) {
		b.lazyUntil = until
	}
}

// evaluate answers the operations that the confirmed records decide, and stages the others.
func (p *page) evaluate(o *owner, now clock.Instant) batch {
	b := batch{staged: map[keyHash]record{}, records: p.records, bodies: p.bodies}
	p.waiting = slices.DeleteFunc(p.waiting, func(op *operation) bool {
		res, decided := p.judge(now, op, &b)
		if decided {
			o.emit(answer{op.id, res})
		}
		return decided
	})
	return b
}

// judge decides one operation, or stages what it needs in b.
func (p *page) judge(now clock.Instant, op *operation, b *batch) (result, bool) {
	if p.superseded {
		return forgotten(op), true
	}
	switch op.kind {
	case opBegin:
		return p.judgeBegin(now, op, b)
	case opFinish:
		return p.judgeFinish(op, b)
	default:
		return p.judgeAbandon(op, b)
	}
}

func forgotten(op *operation) result {
	switch op.kind {
	case opBegin:
		return result{err: errTooOld}
	case opFinish:
		return result{err: errForgotten}
	default:
		return result{}
	}
}

var pending = result{}

func (p *page) judgeBegin(now clock.Instant, op *operation, b *batch) (result, bool) {
	if staged, ok := b.staged[op.place.hash]; ok {
		b.urgent = true
		if staged.State == stateAbandoned && staged.Nonce != op.nonce && staged.Fingerprint == op.fingerprint {
			b.staged[op.place.hash] = op.intent()
		}
		return pending, false
	}
	r, ok := p.confirmed[op.place.hash]
	if !ok {
		return p.stageIntent(op, b)
	}
	if r.Fingerprint != op.fingerprint {
		return result{err: errConflict}, true
	}
	switch r.State {
	case stateDone:
		return result{outcome: &r.Outcome}, true
	case stateAbandoned:
		if r.Nonce == op.nonce {
			return result{err: errAbandoned}, true
		}
		b.staged[op.place.hash] = op.intent()
		b.urgent = true
		return pending, false
	default:
		return p.judgeRepeat(now, op, r, b)
	}
}

// stageIntent stages the first attempt of a key, if the page has room.
func (p *page) stageIntent(op *operation, b *batch) (result, bool) {
	r := op.intent()
	if b.records+r.bareSize() > recordsBytes {
		return result{err: errPageFull}, true
	}
	b.staged[op.place.hash] = r
	b.records += r.bareSize()
	b.urgent = true
	return pending, false
}

// judgeRepeat decides a begin whose key has an intent: run it if the intent is its own, else
// wait a while for the outcome.
func (p *page) judgeRepeat(now clock.Instant, op *operation, r record, b *batch) (result, bool) {
	if r.Nonce == op.nonce {
		return result{}, true
	}
	if p.confirmedIn < op.step {
		b.stale = true
		return pending, false
	}
	if now.Before(op.arrived.Add(OutcomeWait)) {
		return pending, false
	}
	return result{err: errUnknown}, true
}

func (p *page) judgeFinish(op *operation, b *batch) (result, bool) {
	if staged, ok := b.staged[op.place.hash]; ok {
		b.urgent = b.urgent || staged.Nonce != op.nonce
		return pending, false
	}
	r, ok := p.confirmed[op.place.hash]
	if !ok {
		return p.judgeFresh(op, b, result{err: errForgotten})
	}
	if r.Nonce != op.nonce || r.State == stateAbandoned {
		return p.judgeFresh(op, b, result{err: errOther})
	}
	if r.State == stateDone {
		return result{}, true
	}
	r.State = stateDone
	r.Outcome = b.fit(op.outcome)
	b.staged[op.place.hash] = r
	b.lazy(op.arrived.Add(FlushDelay))
	return pending, false
}

func (p *page) judgeAbandon(op *operation, b *batch) (result, bool) {
	if _, ok := b.staged[op.place.hash]; ok {
		b.urgent = true
		return pending, false
	}
	r, ok := p.confirmed[op.place.hash]
	if !ok {
		return p.judgeFresh(op, b, result{})
	}
	if r.Nonce != op.nonce || r.State == stateAbandoned {
		return p.judgeFresh(op, b, result{})
	}
	if r.State == stateDone {
		return result{err: errOther}, true
	}
	r.State = stateAbandoned
	b.staged[op.place.hash] = r
	b.lazy(op.arrived.Add(FlushDelay))
	return pending, false
}

// judgeFresh answers with final once the picture of the page is newer than the operation: the
// attempt may have been recorded by another owner.
func (p *page) judgeFresh(op *operation, b *batch, final result) (result, bool) {
	if p.confirmedIn < op.step {
		b.stale = true
		return pending, false
	}
	return final, true
}

// fit drops the body of an outcome that the page has no room for.
func (b *batch) fit(out Outcome) Outcome {
	if b.bodies+len(out.Body) > bodiesBytes {
		out.Body = nil
		out.Truncated = true
	}
	b.bodies += len(out.Body)
	return out
}
