package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// form tells the two OpenAI generation interfaces apart.
type form int

const (
	formChat form = iota
	formCompletion
)

// generationBody is the part of an OpenAI generation request that the router reads.
// Fields it does not know are let through unread, as OpenAI servers do.
type generationBody struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	Adapter             string          `json:"adapter"`
	N                   *int64          `json:"n"`
	Class               string          `json:"class"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// generation is a checked generation call.
type generation struct {
	form         form
	model        string
	adapter      string
	class        string
	prompt       string
	promptTokens int64
	maxTokens    int64 // 0: the model's bound
	stream       bool
	includeUsage bool
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Cancelled, "send the whole body", "read request body")
	}
	if int64(len(raw)) > limit {
		return nil, fault.New(fault.TooLarge, fmt.Sprintf("send at most %d bytes", limit), "request body is too large")
	}
	return raw, nil
}

// parseGeneration checks the body of a generation call.
func parseGeneration(f form, raw []byte, maxPromptTokens int64) (generation, error) {
	var b generationBody
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(&b); err != nil {
		return generation{}, fault.Wrap(err, fault.Malformed, "send a JSON object as the OpenAI API describes", "request body")
	}
	if dec.More() {
		return generation{}, malformed("request body", "holds more than one JSON value")
	}
	prompt, err := b.text(f)
	if err != nil {
		return generation{}, err
	}
	g := generation{
		form:         f,
		model:        b.Model,
		adapter:      b.Adapter,
		class:        b.Class,
		prompt:       prompt,
		promptTokens: countTokens(prompt),
		stream:       b.Stream,
		includeUsage: b.StreamOptions != nil && b.StreamOptions.IncludeUsage,
	}
	if err := b.checkCounts(&g); err != nil {
		return generation{}, err
	}
	if g.promptTokens > maxPromptTokens {
		remedy := fmt.Sprintf("send a prompt of at most %d tokens", maxPromptTokens)
		return generation{}, fault.New(fault.TooLarge, remedy, "prompt is too long")
	}
	return g, nil
}

func (b generationBody) checkCounts(g *generation) error {
	if b.Model == "" {
		return malformed("model", "is missing")
	}
	if b.N != nil && *b.N != 1 {
		return malformed("n", "must be 1")
	}
	limit := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		limit = b.MaxCompletionTokens
	}
	if limit != nil && *limit < 1 {
		return malformed("max_tokens", "must be at least 1")
	}
	if limit != nil {
		g.maxTokens = *limit
	}
	return nil
}

func malformed(field, problem string) error {
	return fault.New(fault.Malformed, "correct "+field+" and send the call again", field+" "+problem)
}

func (b generationBody) text(f form) (string, error) {
	if f == formCompletion {
		var s string
		if err := json.Unmarshal(b.Prompt, &s); err != nil || s == "" {
			return "", malformed("prompt", "must be a string that is not empty")
		}
		return s, nil
	}
	if len(b.Messages) == 0 {
		return "", malformed("messages", "must hold at least one message")
	}
	var out strings.Builder
	for i, m := range b.Messages {
		content, err := contentText(m.Content)
		if err != nil {
			return "", malformed(fmt.Sprintf("messages[%d].content", i), "must be text or a list of text parts")
		}
		fmt.Fprintf(&out, "<%s>%s\n", m.Role, content)
	}
	return out.String(), nil
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func contentText(raw json.RawMessage) (string, error) {
	var s string
	if err := json.Unmarshal(raw, &s); err == nil {
		return s, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	var out strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", fmt.Errorf("part of type %q", p.Type)
		}
		out.WriteString(p.Text)
	}
	return out.String(), nil
}
