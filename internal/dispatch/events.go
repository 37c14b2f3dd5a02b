package dispatch

import "bytes"

// eventBuffer collects the bytes of a series of events and finds the end of the last complete one. An empty line ends
// an event; lines end with a line feed, or with a carriage return and a line feed. The cost of a write does not depend
// on how much is pending.
type eventBuffer struct {
	// pending is what follows the last event taken, examined the part of it that has been searched.
	pending  []byte
	examined int
	// complete is the length of the part of pending that consists of complete events.
	complete int
}

// write appends bytes and returns the length of the unfinished event.
func (b *eventBuffer) write(p []byte) (unfinished int) {
	b.pending = append(b.pending, p...)
	for i := max(1, b.examined); i < len(b.pending); i++ {
		next := bytes.IndexByte(b.pending[i:], '\n')
		if next < 0 {
			break
		}
		i += next
		if endsLine(b.pending[:i]) {
			b.complete = i + 1
		}
	}
	b.examined = len(b.pending)
	return len(b.pending) - b.complete
}

// endsLine reports whether p ends with a line end, not counting the carriage return of one that is to follow.
func endsLine(p []byte) bool { return bytes.HasSuffix(bytes.TrimSuffix(p, []byte("\r")), []byte("\n")) }

// events returns the complete events. They are valid until the next write.
func (b *eventBuffer) events() []byte { return b.pending[:b.complete] }

// rest returns what follows the last complete event.
func (b *eventBuffer) rest() []byte { return b.pending[b.complete:] }

// discardEvents removes the complete events.
func (b *eventBuffer) discardEvents() {
	b.pending = append(b.pending[:0], b.rest()...)
	b.examined, b.complete = len(b.pending), 0
}
