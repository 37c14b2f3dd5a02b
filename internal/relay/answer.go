package relay

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// completionWriter writes the response of one generation call to the caller.
type completionWriter interface {
	// writeToken appends the next token.
	writeToken(text string) error
	// finish completes a successful response.
	finish(reason string, u usage) error
	// started reports whether any part of the response was sent.
	started() bool
	// fail ends a response that cannot be completed.
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

// responseMeta holds the fields common to all messages of one response.
type responseMeta struct {
	id      string
	model   string
	created int64
	api     apiKind
}

func newResponseMeta(id string, g generation) responseMeta {
	return responseMeta{id: id, model: g.model, created: time.Now().Unix(), api: g.api}
}

func (m responseMeta) newCompletion(object string, c ...choice) completion {
	return completion{ID: m.id, Object: object, Created: m.created, Model: m.model, Choices: c}
}

// bufferedWriter collects tokens and writes a single response at the end.
type bufferedWriter struct {
	responseMeta
	w        http.ResponseWriter
	text     strings.Builder
	finished bool
}

func (b *bufferedWriter) writeToken(text string) error {
	b.text.WriteString(text)
	return nil
}

func (b *bufferedWriter) finish(reason string, u usage) error {
	b.finished = true
	text := b.text.String()
	c := choice{FinishReason: &reason}
	object := objectChat
	if b.api == apiChat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
		object = objectCompletion
	}
	out := b.newCompletion(object, c)
	out.Usage = &u
	b.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(b.w).Encode(out)
}

func (b *bufferedWriter) started() bool       { return b.finished }
func (b *bufferedWriter) fail(d fault.Detail) { _ = d }

// streamWriter sends each token as a server-sent event as it arrives.
type streamWriter struct {
	responseMeta
	w            http.ResponseWriter
	controller   *http.ResponseController
	includeUsage bool
	headerSent   bool
}

// writeTimeout bounds the write of one event to a caller that does not read.
const writeTimeout = 10 * time.Second

func (s *streamWriter) started() bool { return s.headerSent }

func (s *streamWriter) writeEvent(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if !s.headerSent {
		s.headerSent = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-cache")
	}
	return s.write("data: " + string(raw) + "\n\n")
}

func (s *streamWriter) write(data string) error {
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write([]byte(data)); err != nil {
		return err
	}
	return s.controller.Flush()
}

func (s *streamWriter) writeToken(text string) error {
	if s.api == apiCompletion {
		return s.writeEvent(s.newCompletion(objectCompletion, choice{Text: &text}))
	}
	delta := &message{Content: text}
	if !s.headerSent {
		delta.Role = "assistant"
	}
	return s.writeEvent(s.newCompletion(objectChatChunk, choice{Delta: delta}))
}

func (s *streamWriter) finish(reason string, u usage) error {
	c := choice{FinishReason: &reason}
	object := objectChatChunk
	if s.api == apiChat {
		c.Delta = &message{}
	} else {
		c.Text = new(string)
		object = objectCompletion
	}
	if err := s.writeEvent(s.newCompletion(object, c)); err != nil {
		return err
	}
	if s.includeUsage {
		out := s.newCompletion(object)
		out.Choices = []choice{}
		out.Usage = &u
		if err := s.writeEvent(out); err != nil {
			return err
		}
	}
	return s.write("data: [DONE]\n\n")
}

func (s *streamWriter) fail(d fault.Detail) { _ = s.writeEvent(newErrorBody(s.id, d)) }

var (
	_ completionWriter = (*bufferedWriter)(nil)
	_ completionWriter = (*streamWriter)(nil)
)
