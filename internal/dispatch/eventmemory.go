package dispatch

import (
	"errors"

	"github.com/fulmartide/fulmartide/internal/bodybuffer"
)

// uncountedEventBytes is what the buffer of each stream may hold besides the budget: usual events are smaller, so that streams go on while
// the budget is used up.
const uncountedEventBytes = 2 * readBufferBytes

var errEventMemory = errors.New("the memory for events that have not arrived whole is used up")

// eventMemory is what the buffer of one stream takes of the memory for bodies. Without it, a few hundred engines that end no event could
// make the process hold maxEventBytes each.
type eventMemory struct {
	budget *bodybuffer.Budget
	held   int
}

// makeRoom makes room for n more bytes in b. It fails with errEventMemory if there is none.
func (m *eventMemory) makeRoom(b *eventBuffer, n int) error {
	need := len(b.pending) + n
	if need <= cap(b.pending) {
		return nil
	}
	size := max(uncountedEventBytes, min(2*cap(b.pending), maxEventBytes+2*readBufferBytes), need)
	if size > uncountedEventBytes {
		if !m.budget.Take(size) {
			return errEventMemory
		}
		m.release()
		m.held = size
	}
	b.pending = append(make([]byte, 0, size), b.pending...)
	return nil
}

// release returns what is held.
func (m *eventMemory) release() {
	if m.held > 0 {
		m.budget.Return(m.held)
		m.held = 0
	}
}
