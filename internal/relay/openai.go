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

// apiKind selects one of the two OpenAI generation APIs.
type apiKind int

const (
	apiChat apiKind = iota
	apiCompletion
)

// generationRequest is the part of an OpenAI generation request that the router uses.
// Unknown fields are ignored, as OpenAI servers do.
type generationRequest struct {
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

// generation holds the validated parameters of a generation call.
type generation struct {
	api          apiKind
	model        string
	adapter      string
	class        string
	prompt       string
	promptTokens int64
	maxTokens    int64 // 0 selects the model's limit
	stream       bool
	includeUsage bool
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Cancelled, "send the complete body", "read request body")
	}
	if int64(len(raw)) > limit {
		return nil, fault.New(fault.TooLarge, fmt.Sprintf("send at most %d bytes", limit), "request body is too large")
	}
	return raw, nil
}

// parseGeneration parses and validates the body of a generation call.
func parseGeneration(api apiKind, raw []byte, maxPromptTokens int64) (generation, error) {
	var req generationRequest
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(&req); err != nil {
		return generation{}, fault.Wrap(err, fault.Malformed, "send a JSON object as specified by the OpenAI API",
			"request body")
	}
	if dec.More() {
		return generation{}, malformedField("request body", "contains more than one JSON value")
	}
	prompt, err := req.promptText(api)
	if err != nil {
		return generation{}, err
	}
	g := generation{
		api:          api,
		model:        req.Model,
		adapter:      req.Adapter,
		class:        req.Class,
		prompt:       prompt,
		promptTokens: countTokens(prompt),
		stream:       req.Stream,
		includeUsage: req.StreamOptions != nil && req.StreamOptions.IncludeUsage,
	}
	if err := req.validate(&g); err != nil {
		return generation{}, err
	}
	if g.promptTokens > maxPromptTokens {
		remedy := fmt.Sprintf("send a prompt of at most %d tokens", maxPromptTokens)
		return generation{}, fault.New(fault.TooLarge, remedy, "prompt is too long")
	}
	return g, nil
}

func (r generationRequest) validate(g *generation) error {
	if r.Model == "" {
		return malformedField("model", "is missing")
	}
	if r.N != nil && *r.N != 1 {
		return malformedField("n", "must be 1")
	}
	limit := r.MaxTokens
	if r.MaxCompletionTokens != nil {
		limit = r.MaxCompletionTokens
	}
	if limit != nil && *limit < 1 {
		return malformedField("max_tokens", "must be at least 1")
	}
	if limit != nil {
		g.maxTokens = *limit
	}
	return nil
}

func malformedField(field, problem string) error {
	return fault.New(fault.Malformed, "correct "+field+" and retry the call", field+" "+problem)
}

func (r generationRequest) promptText(api apiKind) (string, error) {
	if api == apiCompletion {
		var s string
		if err := json.Unmarshal(r.Prompt, &s); err != nil || s == "" {
			return "", malformedField("prompt", "must be a non-empty string")
		}
		return s, nil
	}
	if len(r.Messages) == 0 {
		return "", malformedField("messages", "must contain at least one message")
	}
	var out strings.Builder
	for i, m := range r.Messages {
		content, err := contentText(m.Content)
		if err != nil {
			return "", malformedField(fmt.Sprintf("messages[%d].content", i), "must be a string or a list of text parts")
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
			return "", fmt.Errorf("unsupported content part type %q", p.Type)
		}
		out.WriteString(p.Text)
	}
	return out.String(), nil
}
