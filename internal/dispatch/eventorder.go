package dispatch

import (
	"bytes"
	"errors"
	"strconv"
)

// eventOrder checks the numbers of the events that are delivered within one response to a caller. An engine that continues a stream
// may begin anew, and its events would then be joined to those of another run. Numbers are only known to increase, as an event may
// contain several tokens. Events whose id is not a number are not checked.
type eventOrder struct {
	// last is the number of the last event, if known is set.
	last  uint64
	known bool
	// continues is set until the first event of a response that continues the stream.
	continues bool
	// gap is how many numbers lie between the last event and the first one of the latest response, if that continues the stream.
	gap uint64
}

var errEventRepeated = errors.New("the engine sent an event that does not follow the last one")

// newEventOrder returns the order of a response that continues after lastID, empty if it begins at the start.
func newEventOrder(lastID string) eventOrder {
	last, err := strconv.ParseUint(lastID, 10, 64)
	return eventOrder{last: last, known: err == nil}
}

// beginResponse prepares for the events of the next engine.
func (o *eventOrder) beginResponse() { o.continues, o.gap = o.known, 0 }

// accept returns the part of complete events that may be delivered, and an error if that is not all.
func (o *eventOrder) accept(events []byte) ([]byte, error) {
	begin, at := 0, 0 // of the current event and line
	id, hasID := uint64(0), false
	for line := range bytes.Lines(events) {
		at += len(line)
		if value, ok := bytes.CutPrefix(line, idField); ok {
			number, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			id, hasID = number, err == nil
			o.known = o.known && hasID
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if hasID {
			if err := o.next(id); err != nil {
				return events[:begin], err
			}
		}
		begin, hasID = at, false
	}
	return events, nil
}

// next checks the number of the next event.
func (o *eventOrder) next(id uint64) error {
	if o.known && id <= o.last {
		return errEventRepeated
	}
	if o.continues {
		o.gap = id - o.last - 1
	}
	o.last, o.known, o.continues = id, true, false
	return nil
}
