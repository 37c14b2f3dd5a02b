// Package experiment measures a running fleet: seeded open-loop arrivals, a client that checks
// every answer, an exact replay of plans, an audit of what must always hold, and comparisons
// of policies over several seeds.
package experiment

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// Kind is what a call asks for.
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

// Call is one arrival.
type Call struct {
	// At is the time from the start of the run.
	At        time.Duration
	Workspace string
	Kind      Kind
	Class     configuration.Class
	// Prompt is the text of a chat. Tag is the mark in it by which the answer is known.
	Prompt string
	Tag    string
	// Adapter of a chat, or empty.
	Adapter string
	// MaxTokens bounds the answer of a chat; StopAt is the length it will have.
	MaxTokens, StopAt int64
	// IdempotencyKey of a commit.
	IdempotencyKey string
	// Pick chooses the VM, in [0,1).
	Pick float64
}

// roleMark is what the router puts around a chat's text.
const roleMark = "<user>\n"

const bytesPerToken = 4

// PromptTokens gives the prompt's length in tokens, as the router counts it.
func (c Call) PromptTokens() int64 {
	return (int64(len(c.Prompt)+len(roleMark)) + bytesPerToken - 1) / bytesPerToken
}

// Reserved gives the tokens that admission takes from the plan.
func (c Call) Reserved() int64 {
	if c.Kind != Chat {
		return 1
	}
	return c.PromptTokens() + c.MaxTokens
}

// Used gives the tokens that the whole answer uses.
func (c Call) Used() int64 {
	if c.Kind != Chat {
		return 1
	}
	return c.PromptTokens() + min(c.MaxTokens, c.StopAt)
}

// Outcome is what became of a call.
type Outcome struct {
	Call Call
	// RequestID is the router's name for the call, empty when it did not answer.
	RequestID string
	VM        string
	// Sent, FirstToken and Ended are times from the start of the run; FirstToken is 0 when
	// none came. Answered is when the answer's head came.
	Sent, Answered, FirstToken, Ended time.Duration
	// Whole is set for a whole and correct answer.
	Whole bool
	// Gap is the mean time between tokens.
	Gap time.Duration
	// Kind and Run are the router's statement about a call that failed. NoAnswer is set when
	// the VM's connection broke or was never there.
	Kind     fault.Kind
	Run      fault.Execution
	Message  string
	NoAnswer bool
	// NoConnection is set when the VM took no connection, so that nothing was sent.
	NoConnection bool
	// Corrupt tells what was wrong with an answer: a token missing, doubled or of another call.
	Corrupt string
	// Tokens counts the tokens that came.
	Tokens int64
}

// Refused reports whether the router refused the call before any of it was run.
func (o Outcome) Refused() bool { return !o.Whole && o.Run == fault.NotExecuted && o.Kind != "" }
