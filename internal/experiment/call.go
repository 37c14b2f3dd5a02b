// Package experiment measures a running fleet. It generates seeded open-loop arrivals, verifies every
// answer, replays the calls against exact token buckets, audits the invariants of the system and
// compares policies over several seeds.
package experiment

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// Kind is the type of a call.
type Kind string

// The kinds of call.
const (
	// Chat is a streamed chat completion.
	Chat Kind = "chat"
	// Read is an idempotent call to a plain service.
	Read Kind = "read"
	// Commit is a call to a plain service that must run at most once.
	Commit Kind = "commit"
)

// Call is one generated call.
type Call struct {
	// At is the time from the start of the run.
	At        time.Duration
	Workspace string
	Kind      Kind
	Class     configuration.Class
	// Prompt is the text of a chat. It contains Tag, from which the expected answer is derived.
	Prompt string
	Tag    string
	// Adapter is the adapter that a chat requests, or empty.
	Adapter string
	// MaxTokens is the max_tokens of a chat. StopAt is the number of tokens after which the stand-in
	// engine ends the answer.
	MaxTokens, StopAt int64
	// IdempotencyKey is set for commits.
	IdempotencyKey string
	// Pick is a random number in [0,1) that selects the VM.
	Pick float64
}

// roleMarkup is the text that the router adds to a chat message when it builds the prompt.
const roleMarkup = "<user>\n"

const bytesPerToken = 4

// PromptTokens returns the length of the prompt in tokens, counted as the router does.
func (c Call) PromptTokens() int64 {
	return (int64(len(c.Prompt)+len(roleMarkup)) + bytesPerToken - 1) / bytesPerToken
}

// ReservedTokens returns the number of tokens that admission reserves from the plan.
func (c Call) ReservedTokens() int64 {
	if c.Kind != Chat {
		return 1
	}
	return c.PromptTokens() + c.MaxTokens
}

// UsedTokens returns the number of tokens that the call uses if it completes.
func (c Call) UsedTokens() int64 {
	if c.Kind != Chat {
		return 1
	}
	return c.PromptTokens() + min(c.MaxTokens, c.StopAt)
}

// Outcome is the result of a call.
type Outcome struct {
	Call Call
	// RequestID is the router's ID of the call, or empty if no response headers arrived.
	RequestID string
	VM        string
	// These times are relative to the start of the run. HeadersAt is when the response headers
	// arrived. FirstTokenAt is 0 if no token arrived.
	SentAt, HeadersAt, FirstTokenAt, EndedAt time.Duration
	// Complete is set if the answer was complete and correct.
	Complete bool
	// Gap is the mean time between two tokens.
	Gap time.Duration
	// Kind, Execution and Message are the error that the router reported. NoAnswer is set if there was
	// no valid response: the connection failed, the response was truncated or it could not be parsed.
	// Execution is then unknown, unless no VM was ready and the call was not sent.
	Kind      fault.Kind
	Execution fault.Execution
	Message   string
	NoAnswer  bool
	// DialFailed is set if no connection to the VM could be opened and therefore nothing was sent.
	DialFailed bool
	// Corrupt describes the error in an answer: a token that is missing, repeated or from another call.
	Corrupt string
	// Tokens is the number of correct tokens received.
	Tokens int64
}

// Refused reports whether the router rejected the call before any part of it was executed.
func (o Outcome) Refused() bool {
	return !o.Complete && o.Execution == fault.NotExecuted && o.Kind != ""
}
