// Package fault gives every error of the system a typed kind, a message that names
// the remedy, and a truthful statement of whether the work was run.
package fault

import (
	"errors"
	"time"

	"github.com/samber/oops"
)

// Kind classifies an error for callers, operators and retry decisions.
type Kind string

// The kinds of error.
const (
	// Malformed: the input does not parse or breaks a stated rule.
	Malformed Kind = "malformed"
	// TooLarge: the input is over a stated size limit.
	TooLarge Kind = "too_large"
	// Unauthenticated: no key, an unknown key or a withdrawn key.
	Unauthenticated Kind = "unauthenticated"
	// Forbidden: the key's plan does not include what was asked for.
	Forbidden Kind = "forbidden"
	// NotFound: no such object, route or model.
	NotFound Kind = "not_found"
	// Conflict: another writer came first.
	Conflict Kind = "conflict"
	// OverPlan: the workspace is over its rate and burst.
	OverPlan Kind = "over_plan"
	// Overloaded: a queue is full or no capacity is left.
	Overloaded Kind = "overloaded"
	// TargetMissed: the latency target cannot be met.
	TargetMissed Kind = "target_missed"
	// Unavailable: something that is needed does not answer.
	Unavailable Kind = "unavailable"
	// Timeout: a deadline passed.
	Timeout Kind = "timeout"
	// Cancelled: the caller went away, or its key was withdrawn.
	Cancelled Kind = "cancelled"
	// OutcomeUnknown: the call may have run.
	OutcomeUnknown Kind = "outcome_unknown"
	// TooOld: an idempotency key is older than the ledger's memory.
	TooOld Kind = "too_old"
	// Stopping: this process is shutting down.
	Stopping Kind = "stopping"
	// Internal: a fault of the system itself.
	Internal Kind = "internal"
)

// Run states whether an endpoint was given the work of a failed request.
type Run string

// The statements about a run.
const (
	// NotRun: no byte of the request reached an endpoint.
	NotRun Run = "not_run"
	// RunUnknown: the endpoint may have run the request.
	RunUnknown Run = "unknown"
	// Ran: the endpoint ran the request.
	Ran Run = "ran"
)

// Option adds a detail to an error made by New or Wrap.
type Option func(*Detail)

// WithRun states whether the work was run. Without it the statement is NotRun.
func WithRun(r Run) Option { return func(d *Detail) { d.Run = r } }

// WithRetryAfter tells the caller how long to wait before another try.
func WithRetryAfter(wait time.Duration) Option { return func(d *Detail) { d.RetryAfter = wait } }

// New makes an error of kind with a remedy, which says what the reader can do about it.
func New(kind Kind, remedy, message string, opts ...Option) error {
	return build(nil, kind, remedy, message, opts)
}

// Wrap gives err a kind and a remedy, which count before those that err may have. It returns
// nil for a nil err.
func Wrap(err error, kind Kind, remedy, message string, opts ...Option) error {
	if err == nil {
		return nil
	}
	return build(err, kind, remedy, message, opts)
}

func build(cause error, kind Kind, remedy, message string, opts []Option) error {
	t := &typed{detail: Detail{Kind: kind, Message: message, Remedy: remedy, Run: NotRun}, cause: cause}
	for _, opt := range opts {
		opt(&t.detail)
	}
	return oops.Code(string(kind)).Hint(remedy).Wrap(t)
}

// typed carries a Detail in an error chain; the outermost one counts.
type typed struct {
	detail Detail
	cause  error
}

func (t *typed) Error() string {
	if t.cause == nil {
		return t.detail.Message
	}
	return t.detail.Message + ": " + t.cause.Error()
}

func (t *typed) Unwrap() error { return t.cause }

// Detail is the typed content of an error, as it crosses between processes.
type Detail struct {
	Kind       Kind          `msgpack:"k" json:"kind"`
	Message    string        `msgpack:"m" json:"message"`
	Remedy     string        `msgpack:"r" json:"remedy"`
	Run        Run           `msgpack:"u" json:"run"`
	RetryAfter time.Duration `msgpack:"a,omitempty" json:"-"`
}

// Describe reads the typed content of err. An error from outside this package counts as
// Internal and as not run.
func Describe(err error) Detail {
	var t *typed
	if !errors.As(err, &t) {
		return Detail{Kind: Internal, Message: err.Error(), Run: NotRun, Remedy: "report this with the log line of the request"}
	}
	d := t.detail
	d.Message = err.Error()
	return d
}

// Error rebuilds an error from its content.
func (d Detail) Error() error {
	return New(d.Kind, d.Remedy, d.Message, WithRun(d.Run), WithRetryAfter(d.RetryAfter))
}

// KindOf gives the kind of err, Internal for errors from outside this package.
func KindOf(err error) Kind { return Describe(err).Kind }

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }
