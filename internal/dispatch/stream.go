package dispatch

import (
	"bytes"
	"errors"
	"io"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// stream hands the events of one answer to the caller, whole events only and each once, over
// as many runs as it takes.
type stream struct {
	f *flight
	// last is the id of the last event given, empty before the first.
	last   string
	events int
}

func newStream(f *flight) *stream { return &stream{f: f, last: f.c.LastEventID} }

const (
	readChunk = 8 << 10
	// maxEvent is the longest event.
	maxEvent = 1 << 20
)

var (
	eventEnd       = []byte("\n\n")
	idField        = []byte("id:")
	errEventTooBig = errors.New("the engine sent an event that is too long")
)

// pass reads a reply to its end and hands on each event as it comes. The head is given with
// the first event, so that until then another run can still take over.
func (s *stream) pass(reply *backend.Reply, stall *stallTimer) error {
	var pending []byte
	buf := make([]byte, readChunk)
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			stall.progress()
			pending = append(pending, buf[:n]...)
			whole := bytes.LastIndex(pending, eventEnd)
			if whole >= 0 {
				whole += len(eventEnd)
				if werr := s.give(reply, pending[:whole]); werr != nil {
					return werr
				}
				pending = append(pending[:0], pending[whole:]...)
			}
			if len(pending) > maxEvent {
				return &backend.SendError{Sent: true, Err: errEventTooBig}
			}
		}
		if errors.Is(err, io.EOF) {
			return s.finish(reply, pending)
		}
		if err != nil {
			return &backend.SendError{Sent: true, Err: err}
		}
	}
}

// finish gives what follows the last event of a whole answer.
func (s *stream) finish(reply *backend.Reply, rest []byte) error {
	if len(rest) == 0 && s.f.started {
		return nil
	}
	return s.give(reply, rest)
}

func (s *stream) give(reply *backend.Reply, p []byte) error {
	if !s.f.started {
		s.f.started = true
		s.f.d.opts.Metrics.GetOrCreateHistogram(`fulmartide_first_event_seconds`).Update(s.f.elapsed().Seconds())
		if err := s.f.out.Head(reply.Status, reply.Header, -1); err != nil {
			return callerLost(err)
		}
	}
	s.note(p)
	if err := s.f.out.Data(p); err != nil {
		return callerLost(err)
	}
	return nil
}

// note counts events and remembers the last id.
func (s *stream) note(p []byte) {
	s.events += bytes.Count(p, eventEnd)
	for line := range bytes.Lines(p) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			s.last = string(bytes.TrimSpace(id))
		}
	}
}

func callerLost(err error) error {
	return &stepError{err: fault.Wrap(err, fault.Cancelled, "keep the connection open", "write to the caller", fault.WithRun(fault.RunUnknown)), final: true}
}
