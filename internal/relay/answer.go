package relay

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// answer is the caller's side of a generation: the one writer of its response.
type answer interface {
	// token gives the next token.
	token(text string) error
	// finish ends a whole answer.
	finish(reason string, u usage) error
	// started reports whether any byte was written.
	started() bool
	// fail ends an answer that cannot be made whole.
	fail(d fault.Detail)
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

const (
	objectChat       = "chat.completion"
	objectChatChunk  = "chat.completion.chunk"
	objectCompletion = "text_completion"
)

// head holds what all messages of one answer share.
type head struct {
	id      string
	model   string
	created int64
	form    form
}

func newHead(id string, g generation) head {
	return head{id: id, model: g.model, created: time.Now().Unix(), form: g.form}
}

func (h head) message(object string, c ...choice) completion {
	return completion{ID: h.id, Object: object, Created: h.created, Model: h.model, Choices: c}
}

// wholeAnswer collects tokens and writes them at the end.
type wholeAnswer struct {
	head
	w    http.ResponseWriter
	text strings.Builder
	done bool
}

func (a *wholeAnswer) token(text string) error {
	a.text.WriteString(text)
	return nil
}

func (a *wholeAnswer) finish(reason string, u usage) error {
	a.done = true
	text := a.text.String()
	c := choice{FinishReason: &reason}
	object := objectChat
	if a.form == formChat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
		object = objectCompletion
	}
	out := a.message(object, c)
	out.Usage = &u
	a.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(a.w).Encode(out)
}

func (a *wholeAnswer) started() bool       { return a.done }
func (a *wholeAnswer) fail(d fault.Detail) { _ = d }

// streamAnswer writes server-sent events as tokens arrive.
type streamAnswer struct {
	head
	w            http.ResponseWriter
	control      *http.ResponseController
	includeUsage bool
	begun        bool
}

// writeLimit is how long one event may wait for a caller that does not read.
const writeLimit = 10 * time.Second

func (a *streamAnswer) started() bool { return a.begun }

func (a *streamAnswer) event(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if !a.begun {
		a.begun = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-cache")
	}
	return a.write("data: " + string(raw) + "\n\n")
}

func (a *streamAnswer) write(s string) error {
	_ = a.control.SetWriteDeadline(time.Now().Add(writeLimit))
	if _, err := a.w.Write([]byte(s)); err != nil {
		return err
	}
	return a.control.Flush()
}

func (a *streamAnswer) token(text string) error {
	if a.form == formCompletion {
		return a.event(a.message(objectCompletion, choice{Text: &text}))
	}
	delta := &message{Content: text}
	if !a.begun {
		delta.Role = "assistant"
	}
	return a.event(a.message(objectChatChunk, choice{Delta: delta}))
}

func (a *streamAnswer) finish(reason string, u usage) error {
	c := choice{FinishReason: &reason}
	object := objectChatChunk
	if a.form == formChat {
		c.Delta = &message{}
	} else {
		c.Text = new(string)
		object = objectCompletion
	}
	if err := a.event(a.message(object, c)); err != nil {
		return err
	}
	if a.includeUsage {
		out := a.message(object)
		out.Choices = []choice{}
		out.Usage = &u
		if err := a.event(out); err != nil {
			return err
		}
	}
	return a.write("data: [DONE]\n\n")
}

func (a *streamAnswer) fail(d fault.Detail) { _ = a.event(describeError(a.id, d)) }

var (
	_ answer = (*wholeAnswer)(nil)
	_ answer = (*streamAnswer)(nil)
)
