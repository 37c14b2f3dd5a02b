package ledger

import (
	"slices"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// batch holds the changes for the next write of a page.
type batch struct {
	staged map[keyHash]record
	// urgent is set if the batch must be written as soon as the rate limit allows. Otherwise the
	// write is delayed until flushAt.
	urgent  bool
	flushAt clock.Instant
	// awaited holds the keys whose outcome a repeated begin operation waits for.
	awaited map[keyHash]bool
	// needsRead is set if an operation requires a page read issued after its arrival.
	needsRead bool
	// recordBytes and bodyBytes are the sizes after the write of the records, excluding response
	// bodies, and of the bodies.
	recordBytes int
	bodyBytes   int
}

func (b *batch) due(now clock.Instant) bool {
	return len(b.staged) > 0 && (b.urgent || !now.Before(b.flushAt))
}

func (b *batch) flushBy(until clock.Instant) {
	if b.flushAt == 0 || until.Before(b.flushAt) {
		b.flushAt = until
	}
}

// evaluate completes the operations that can be decided from the confirmed records and stages the
// changes that the others need.
func (p *page) evaluate(o *owner, now clock.Instant) batch {
	b := batch{staged: map[keyHash]record{}, awaited: map[keyHash]bool{}, recordBytes: p.recordBytes, bodyBytes: p.bodyBytes}
	p.waiting = slices.DeleteFunc(p.waiting, func(op *operation) bool {
		res, decided := p.decideOperation(now, op, &b)
		if decided {
			o.emit(respond{op.id, res})
		}
		return decided
	})
	return b
}

// decideOperation decides one operation, or stages the changes that it needs in b.
func (p *page) decideOperation(now clock.Instant, op *operation, b *batch) (result, bool) {
	if p.superseded {
		return supersededResult(op), true
	}
	switch op.kind {
	case opBegin:
		return p.decideBegin(now, op, b)
	case opFinish:
		return p.decideFinish(op, b)
	default:
		return p.decideAbandon(op, b)
	}
}

func supersededResult(op *operation) result {
	switch op.kind {
	case opBegin:
		return result{err: errTooOld}
	case opFinish:
		return result{err: errNoRecord}
	default:
		return result{}
	}
}

var undecided = result{}

func (p *page) decideBegin(now clock.Instant, op *operation, b *batch) (result, bool) {
	if staged, ok := b.staged[op.location.hash]; ok {
		b.urgent = true
		if staged.State == stateAbandoned && staged.Nonce != op.nonce && staged.Fingerprint == op.fingerprint {
			b.staged[op.location.hash] = op.intentRecord()
		}
		return undecided, false
	}
	r, ok := p.confirmed[op.location.hash]
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
		b.staged[op.location.hash] = op.intentRecord()
		b.urgent = true
		return undecided, false
	default:
		return p.decideRepeat(now, op, r, b)
	}
}

// stageIntent stages the first attempt for a key if the page has capacity.
func (p *page) stageIntent(op *operation, b *batch) (result, bool) {
	r := op.intentRecord()
	if b.recordBytes+r.sizeWithoutBody() > maxRecordBytes {
		return result{err: errPageFull}, true
	}
	b.staged[op.location.hash] = r
	b.recordBytes += r.sizeWithoutBody()
	b.urgent = true
	return undecided, false
}

// decideRepeat decides a begin operation for a key that already has an intent. It is allowed to
// run if the intent has its own nonce; otherwise it waits up to OutcomeWait for the outcome.
func (p *page) decideRepeat(now clock.Instant, op *operation, r record, b *batch) (result, bool) {
	if r.Nonce == op.nonce {
		return result{}, true
	}
	if p.confirmedStep < op.arrivalStep {
		b.needsRead = true
		return undecided, false
	}
	if now.Before(op.arrivedAt.Add(OutcomeWait)) {
		b.awaited[op.location.hash] = true
		return undecided, false
	}
	return result{err: errOutcomeUnknown}, true
}

func (p *page) decideFinish(op *operation, b *batch) (result, bool) {
	if staged, ok := b.staged[op.location.hash]; ok {
		b.urgent = b.urgent || staged.Nonce != op.nonce
		return undecided, false
	}
	r, ok := p.confirmed[op.location.hash]
	if !ok {
		return p.decideAfterRead(op, b, result{err: errNoRecord})
	}
	if r.Nonce != op.nonce || r.State == stateAbandoned {
		return p.decideAfterRead(op, b, result{err: errOtherAttempt})
	}
	if r.State == stateDone {
		return result{}, true
	}
	r.State = stateDone
	r.Outcome = b.limitBody(op.outcome)
	b.staged[op.location.hash] = r
	b.urgent = b.urgent || b.awaited[op.location.hash]
	b.flushBy(op.arrivedAt.Add(FlushDelay))
	return undecided, false
}

func (p *page) decideAbandon(op *operation, b *batch) (result, bool) {
	if _, ok := b.staged[op.location.hash]; ok {
		b.urgent = true
		return undecided, false
	}
	r, ok := p.confirmed[op.location.hash]
	if !ok {
		return p.decideAfterRead(op, b, result{})
	}
	if r.Nonce != op.nonce || r.State == stateAbandoned {
		return p.decideAfterRead(op, b, result{})
	}
	if r.State == stateDone {
		return result{err: errOtherAttempt}, true
	}
	r.State = stateAbandoned
	b.staged[op.location.hash] = r
	b.flushBy(op.arrivedAt.Add(FlushDelay))
	return undecided, false
}

// decideAfterRead returns final once the page has been read or written after the operation arrived.
// Until then another owner may have recorded the attempt.
func (p *page) decideAfterRead(op *operation, b *batch, final result) (result, bool) {
	if p.confirmedStep < op.arrivalStep {
		b.needsRead = true
		return undecided, false
	}
	return final, true
}

// limitBody drops the response body if it does not fit into the page.
func (b *batch) limitBody(out Outcome) Outcome {
	if b.bodyBytes+len(out.Body) > maxBodyBytes {
		out.Body = nil
		out.Truncated = true
	}
	b.bodyBytes += len(out.Body)
	return out
}
