package dispatch

import (
	"bytes"
	"errors"
	"io"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// eventStream delivers the events of one call to the caller, each one once, even if several endpoints
// run the call in turn. It delivers only complete events; a response that ends in the middle of an event was
// truncated by its endpoint. The body of a response that is no series of events is delivered at its end.
type eventStream struct {
	inflight *inflightCall
	// lastID is the ID of the last event that the caller has received, initially the call's
	// Last-Event-Id.
	lastID string
	events int
	// order is the order of the events that the caller has received.
	order eventOrder
	// eventsBefore is the number of events before the latest response.
	eventsBefore int
	// startRecorded is set once the latest response is known to have got past its beginning.
	startRecorded bool
	// begunAt is when the first event of the latest response arrived, readBy when its end did, 0 before.
	begunAt, readBy clock.Instant
	// trailing is the number of bytes that followed the last event of the latest response.
	trailing int
}

func newEventStream(f *inflightCall) *eventStream {
	return &eventStream{inflight: f, lastID: f.call.LastEventID, order: newEventOrder(f.call.LastEventID)}
}

const (
	readBufferBytes = 8 << 10
	// maxEventBytes is the maximum size of an event.
	maxEventBytes = 1 << 20
)

var (
	idField            = []byte("id:")
	errEventTooLarge   = errors.New("the engine sent an event that exceeds the maximum size")
	errStreamTruncated = errors.New("the engine ended its stream in the middle of an event")
	errStreamEmpty     = errors.New("the engine closed the connection before the first event of its stream")
)

// beginResponse prepares for the next response.
func (s *eventStream) beginResponse() {
	s.eventsBefore, s.trailing, s.startRecorded, s.begunAt, s.readBy = s.events, 0, false, 0, 0
	s.order.beginResponse()
}

// forward reads a response to its end from body and delivers each event as it arrives. The header is sent with the
// first event, so until then another endpoint can still run the call.
func (s *eventStream) forward(reply *backend.Response, body *readAhead) error {
	var received eventBuffer
	memory := eventMemory{budget: s.inflight.dispatcher.opts.Bodies}
	defer memory.release()
	defer func() { s.trailing = len(received.rest()) }()
	buf := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if memoryErr := memory.makeRoom(&received, n); memoryErr != nil {
				return &backend.SendError{Sent: true, Err: memoryErr}
			}
			unfinished := received.write(buf[:n])
			if err := s.deliver(reply, body, received.events()); err != nil {
				return err
			}
			received.discardEvents()
			if unfinished > maxEventBytes {
				return &backend.SendError{Sent: true, Err: errEventTooLarge}
			}
		}
		if errors.Is(err, io.EOF) {
			s.readBy = body.endedAt()
			return s.finish(reply, body, received.rest())
		}
		if err != nil {
			return readError(err)
		}
	}
}

// deliver delivers complete events as far as they are in order.
func (s *eventStream) deliver(reply *backend.Response, body *readAhead, events []byte) error {
	inOrder, orderErr := events, error(nil)
	if reply.EventStream {
		inOrder, orderErr = s.order.accept(events)
	}
	if len(inOrder) > 0 {
		if err := s.write(reply, body, inOrder); err != nil {
			return err
		}
	}
	if orderErr == nil {
		return nil
	}
	s.inflight.log.Warn("events out of order", zap.String("endpoint", s.inflight.sentTo.ID.Name), zap.String("last", s.lastID), zap.Int("events", s.events),
		zap.Int("events_before", s.eventsBefore), zap.Error(orderErr))
	s.inflight.dispatcher.opts.Metrics.GetOrCreateCounter(`fulmartide_event_order_faults_total`).Inc()
	return &backend.SendError{Sent: true, Err: orderErr}
}

// readError returns the error of an attempt whose response could not be read.
func readError(err error) error {
	if isFinal(err) {
		return err // the stream of a slow caller was ended
	}
	return &backend.SendError{Sent: true, Err: err}
}

// finish handles the end of a response, which rest precedes since the last event.
func (s *eventStream) finish(reply *backend.Response, body *readAhead, rest []byte) error {
	if reply.EventStream && len(bytes.Trim(rest, "\r\n")) > 0 {
		return &backend.SendError{Sent: true, Err: errStreamTruncated}
	}
	if reply.EventStream && !reply.Delimited && s.events == s.eventsBefore && !s.nothingFollows(reply) {
		return &backend.SendError{Sent: true, Err: errStreamEmpty}
	}
	if len(rest) == 0 && s.inflight.responseStarted {
		return nil
	}
	return s.write(reply, body, rest)
}

// nothingFollows reports whether an engine that was to continue the stream is known to have ended its response without an event.
func (s *eventStream) nothingFollows(reply *backend.Response) bool {
	return s.lastID != "" && reply.EndEvidence().Whole()
}

func (s *eventStream) write(reply *backend.Response, body *readAhead, p []byte) error {
	if reply.EventStream {
		s.inflight.recordOrigin(reply.Lifetime)
	}
	if !s.inflight.responseStarted {
		s.inflight.responseStarted = true
		s.inflight.dispatcher.opts.Metrics.GetOrCreateHistogram(`fulmartide_first_event_seconds`).Update(s.inflight.elapsed().Seconds())
		if err := s.inflight.sink.WriteHeader(reply.Status, reply.Header, -1); err != nil {
			return callerWriteError(err)
		}
	}
	if s.begunAt == 0 {
		s.begunAt = s.inflight.dispatcher.opts.Clock.Now()
	}
	s.record(p)
	if err := body.write(p); err != nil {
		return callerWriteError(err)
	}
	return nil
}

// maxEventsAtBeginning is the number of events up to which an engine counts as beginning its response.
const maxEventsAtBeginning = 1

// beginning reports whether the engine of the latest response has sent at most its first events.
func (s *eventStream) beginning() bool { return s.events-s.eventsBefore <= maxEventsAtBeginning }

// answered reports whether the engine of the latest response has sent events.
func (s *eventStream) answered() bool { return s.events > s.eventsBefore }

// recordStart tells the quarantine once that the engine of the latest response began to answer.
func (s *eventStream) recordStart() {
	if s.startRecorded {
		return
	}
	s.startRecorded = true
	f := s.inflight
	f.dispatcher.opts.Quarantine.RecordStart(f.call.PromptParts, f.trialPart)
}

// record counts events and stores the last event ID. Empty lines before an event are not counted.
func (s *eventStream) record(p []byte) {
	inEvent := false
	for line := range bytes.Lines(p) {
		empty := len(bytes.TrimRight(line, "\r\n")) == 0
		if empty && inEvent {
			s.events++
		}
		inEvent = !empty
		if id, ok := bytes.CutPrefix(line, idField); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
	if !s.beginning() {
		s.recordStart()
	}
}

func callerWriteError(err error) error {
	return &attemptError{err: fault.Wrap(err, fault.Cancelled, "keep the connection open", "write to the caller",
		fault.WithExecution(fault.ExecutionUnknown)), final: true}
}
