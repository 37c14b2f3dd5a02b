// Package ending decides whether the end of a connection is the end of the response on it. A response may come with neither a
// length nor chunks and end with its connection, and the kernel of an endpoint whose process was killed ends its connections in
// the same way. Such an end is believed only if the process is known to have lived beyond it.
package ending

import (
	"errors"
	"fmt"
	"io"
)

// Sender is what is known of the process that sent a response.
type Sender struct {
	// StartedAt is the start time that it named on the connection of the response, 0 if it named none.
	StartedAt int64
	// EntryStartedAt is the start time of the endpoint's entry, 0 if that names none. The entry may be of another process.
	EntryStartedAt int64
}

// Observation is what an endpoint answered to a question that was sent after the end of a response.
type Observation struct {
	// Answered is set if there was an answer, Misdirected if that came from another instance than the expected one.
	Answered, Misdirected bool
	// Failed is set if the endpoint refused or failed the question, so that a start time may be missing that it has.
	Failed bool
	// SameProcess is set if the connection of the answer is known to lead to the process that sent the response.
	SameProcess bool
	// Later is set if the connection of the answer was opened after that of the response. An older one may lead to a former process that
	// still serves it.
	Later bool
	// StartedAt is the start time that the answer names, nil if it names none. Accepted is set if that process is known to have accepted
	// connections before that of the response was opened.
	StartedAt *int64
	Accepted  bool
	// Refused is set if the endpoint's address refused a connection.
	Refused bool
}

// Evidence is what is known of an endpoint's process after the end of a response.
type Evidence string

// Values of Evidence.
const (
	// Outlived means that the process that sent the response lived beyond its end.
	Outlived Evidence = "outlived"
	// SameInstance means that a process of the same instance, whose entry names no start time either, answered after the end.
	SameInstance Evidence = "same_instance"
	// Replaced means that another process answered, Refused that the address refuses connections.
	Replaced Evidence = "replaced"
	Refused  Evidence = "refused"
	// Empty means that nothing preceded the end of a series of events.
	Empty Evidence = "empty"
	// Unknown means that there was no answer in time.
	Unknown Evidence = "unknown"
)

// Judge returns the evidence of an observation.
func Judge(o Observation, sender Sender) Evidence {
	switch {
	case o.Refused:
		return Refused
	case !o.Answered:
		return Unknown
	case o.Misdirected:
		return Replaced
	case o.SameProcess:
		return Outlived
	case o.StartedAt == nil && (o.Failed || sender.EntryStartedAt != 0):
		return Unknown // the process would have named its start time
	case o.StartedAt == nil:
		return SameInstance
	}
	return o.judgeNamed(sender)
}

// judgeNamed returns the evidence of an answer that names a start time.
func (o *Observation) judgeNamed(sender Sender) Evidence {
	switch {
	case sender.StartedAt != 0 && *o.StartedAt == sender.StartedAt:
		return Outlived
	case !o.Later:
		return Unknown
	case sender.StartedAt == 0 && (*o.StartedAt == sender.EntryStartedAt || o.Accepted):
		return Outlived
	}
	return Replaced
}

// Whole reports whether the end of the connection is believed to be the end of the response.
func (e Evidence) Whole() bool { return e == Outlived || e == SameInstance }

// Errors of responses whose end is not believed.
var (
	// errEnded wraps the error of a response that was cut off, as the process is gone, errEmpty as the engine aborted it.
	errEnded    = fmt.Errorf("the endpoint's process ended with its response: %w", io.ErrUnexpectedEOF)
	errEmpty    = fmt.Errorf("the engine closed the connection before the first event of its stream: %w", io.ErrUnexpectedEOF)
	errUnproven = errors.New("it is not known whether the endpoint's process lived beyond the end of its response")
)

// Err returns the error of a response that ended with its connection, nil if it is whole.
func (e Evidence) Err() error {
	switch {
	case e.Whole():
		return nil
	case e == Replaced || e == Refused:
		return errEnded
	case e == Empty:
		return errEmpty
	}
	return errUnproven
}
