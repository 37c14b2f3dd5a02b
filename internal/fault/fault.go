// Package fault defines the typed errors used throughout the system. Each error has a kind, a
// message, a remedy and a statement of whether the failed request was executed.
package fault

import (
	"errors"
	"time"

	"github.com/samber/oops"
)

// Kind classifies an error for callers, operators and retry decisions.
type Kind string

// Error kinds.
const (
	// Malformed means that the input could not be parsed or violates a documented constraint.
	Malformed Kind = "malformed"
	// TooLarge means that the input exceeds a documented size limit.
	TooLarge Kind = "too_large"
	// Unauthenticated means that the API key is missing, unknown or withdrawn.
	Unauthenticated Kind = "unauthenticated"
	// Forbidden means that the key's plan does not include what was requested.
	Forbidden Kind = "forbidden"
	// NotFound means that the object, route or model does not exist.
	NotFound Kind = "not_found"
	// Conflict means that another writer changed the object first.
	Conflict Kind = "conflict"
	// PlanExceeded means that the workspace exceeded the rate and burst of its plan.
	PlanExceeded Kind = "over_plan"
	// Overloaded means that a queue is full or no capacity is left.
	Overloaded Kind = "overloaded"
	// TargetMissed means that the latency target cannot be met.
	TargetMissed Kind = "target_missed"
	// Quarantined means that calls with the same part in their prompts have crashed endpoints.
	Quarantined Kind = "quarantined"
	// Unavailable means that a dependency does not respond.
	Unavailable Kind = "unavailable"
	// Timeout means that a deadline expired.
	Timeout Kind = "timeout"
	// Cancelled means that the caller disconnected or its key was withdrawn.
	Cancelled Kind = "cancelled"
	// OutcomeUnknown means that the call may have been executed.
	OutcomeUnknown Kind = "outcome_unknown"
	// Expired means that an idempotency key or a revision of the platform store is outside the period for
	// which records are kept. This includes an idempotency key whose timestamp is in the future.
	Expired Kind = "too_old"
	// Stopping means that this process is shutting down.
	Stopping Kind = "stopping"
	// Internal means a bug or an unexpected failure in the system itself.
	Internal Kind = "internal"
)

// Execution states whether an endpoint executed a failed request.
type Execution string

// Values of Execution.
const (
	// NotExecuted means that no endpoint executed the request: it was not sent, or every endpoint that
	// received it rejected it.
	NotExecuted Execution = "not_run"
	// ExecutionUnknown means that an endpoint may have executed the request.
	ExecutionUnknown Execution = "unknown"
	// Executed means that an endpoint executed the request.
	Executed Execution = "ran"
)

// Option sets an optional field of an error created by New or Wrap.
type Option func(*Detail)

// WithExecution sets whether the request was executed. The default is NotExecuted.
func WithExecution(e Execution) Option { return func(d *Detail) { d.Execution = e } }

// WithRetryAfter sets how long the caller should wait before retrying.
func WithRetryAfter(wait time.Duration) Option { return func(d *Detail) { d.RetryAfter = wait } }

// New returns an error of the given kind. The remedy describes what the recipient can do about it.
func New(kind Kind, remedy, message string, opts ...Option) error {
	return build(nil, kind, remedy, message, opts)
}

// Wrap returns an error that wraps err. Its kind, remedy, execution and retry delay replace those of err;
// its message is followed by that of err. It returns nil if err is nil.
func Wrap(err error, kind Kind, remedy, message string, opts ...Option) error {
	if err == nil {
		return nil
	}
	return build(err, kind, remedy, message, opts)
}

func build(cause error, kind Kind, remedy, message string, opts []Option) error {
	e := &typedError{detail: Detail{Kind: kind, Message: message, Remedy: remedy, Execution: NotExecuted}, cause: cause}
	for _, opt := range opts {
		opt(&e.detail)
	}
	return oops.Code(string(kind)).Hint(remedy).Wrap(e)
}

// typedError carries a Detail in an error chain. The outermost one takes precedence.
type typedError struct {
	detail Detail
	cause  error
}

func (e *typedError) Error() string {
	if e.cause == nil {
		return e.detail.Message
	}
	return e.detail.Message + ": " + e.cause.Error()
}

func (e *typedError) Unwrap() error { return e.cause }

// Detail holds the fields of an error in the form that is sent between processes.
type Detail struct {
	Kind       Kind          `msgpack:"k" json:"kind"`
	Message    string        `msgpack:"m" json:"message"`
	Remedy     string        `msgpack:"r" json:"remedy"`
	Execution  Execution     `msgpack:"u" json:"run"`
	RetryAfter time.Duration `msgpack:"a,omitempty" json:"-"`
}

// DetailOf returns the details of err. An error that was not created by this package is reported as
// Internal and NotExecuted.
func DetailOf(err error) Detail {
	var e *typedError
	if !errors.As(err, &e) {
		return Detail{Kind: Internal, Message: err.Error(), Execution: NotExecuted, Remedy: "report this with the log line of the request"}
	}
	d := e.detail
	d.Message = err.Error()
	return d
}

// Err converts the details back to an error.
func (d Detail) Err() error {
	return New(d.Kind, d.Remedy, d.Message, WithExecution(d.Execution), WithRetryAfter(d.RetryAfter))
}

// KindOf returns the kind of err, or Internal if err was not created by this package.
func KindOf(err error) Kind { return DetailOf(err).Kind }

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }
