package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

const (
	maxStreamBytes = 16 << 20
	maxAnswerBytes = 1 << 20
	// callLimit bounds a call whose VM neither answers nor breaks off.
	callLimit = 90 * time.Second
)

// Target is the VM that a call goes to.
type Target struct {
	VM      string
	Callers netip.AddrPort
}

// Client makes calls as callers do and checks their answers.
type Client struct {
	HTTP *http.Client
	// Model is the model of chats.
	Model string
	// ReadPath and CommitPath are the service's paths.
	ReadPath, CommitPath string
	// Secret gives the key of a workspace.
	Secret func(workspace string) string
	// Token gives token i of the right answer to a chat with this tag.
	Token func(tag string, i int64) string
}

// NewHTTPClient makes a client with connections for many calls at once.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
}

// Do makes one call and waits for its end. start is the start of the run.
func (c *Client) Do(ctx context.Context, start time.Time, to Target, call Call) Outcome {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	out := Outcome{Call: call, VM: to.VM, Sent: time.Since(start)}
	req, err := c.request(ctx, to, call)
	if err == nil {
		err = c.exchange(req, start, &out)
	}
	out.Ended = time.Since(start)
	if err != nil && out.Kind == "" && out.Corrupt == "" {
		out.NoAnswer = true
		out.Run = fault.ExecutionUnknown
		out.Message = err.Error()
		var op *net.OpError
		out.NoConnection = errors.As(err, &op) && op.Op == "dial"
	}
	return out
}

// chatBody is the body of a chat completion call.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int64         `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Adapter   string        `json:"adapter,omitempty"`
	Class     string        `json:"class,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *Client) request(ctx context.Context, to Target, call Call) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(nil)
	switch call.Kind {
	case Chat:
		raw, err := json.Marshal(chatBody{
			Model: c.Model, Messages: []chatMessage{{Role: "user", Content: call.Prompt}}, MaxTokens: call.MaxTokens,
			Stream: true, Adapter: call.Adapter, Class: string(call.Class),
		})
		if err != nil {
			return nil, err
		}
		body = raw
	case Read:
		method, path = http.MethodGet, c.ReadPath
	case Commit:
		path, body = c.CommitPath, []byte(`{"commit":"`+call.IdempotencyKey+`"}`)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.Callers.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The transport must not repeat a call on its own.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.Secret(call.Workspace))
	req.Header.Set("Content-Type", "application/json")
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	return req, nil
}

func (c *Client) exchange(req *http.Request, start time.Time, out *Outcome) error {
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	out.Answered = time.Since(start)
	out.RequestID = resp.Header.Get("X-Request-Id")
	if resp.StatusCode != http.StatusOK {
		raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		if err != nil {
			return err
		}
		return out.refused(raw)
	}
	if out.Call.Kind == Chat {
		return c.readStream(resp.Body, start, out)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	out.FirstToken = time.Since(start)
	out.Whole = err == nil
	return err
}

// refusal is the router's statement about a call that failed.
type refusal struct {
	Error struct {
		Kind    fault.Kind      `json:"kind"`
		Message string          `json:"message"`
		Run     fault.Execution `json:"run"`
	} `json:"error"`
}

func (o *Outcome) refused(raw []byte) error {
	var r refusal
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	if r.Error.Kind == "" {
		return fmt.Errorf("refusal without a kind: %q", raw)
	}
	o.Kind, o.Run, o.Message = r.Error.Kind, r.Error.Run, r.Error.Message
	return nil
}

// event is one message of a streamed chat.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

const (
	dataPrefix = "data: "
	doneMark   = "[DONE]"
)

// readStream reads a streamed chat and checks it token by token.
func (c *Client) readStream(body io.Reader, start time.Time, out *Outcome) error {
	lines := bufio.NewReader(io.LimitReader(body, maxStreamBytes))
	finished := false
	var last time.Duration
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return fmt.Errorf("stream broke off: %w", err)
		}
		data, isData := strings.CutPrefix(strings.TrimSpace(line), dataPrefix)
		if !isData {
			continue
		}
		if data == doneMark {
			_, _ = io.Copy(io.Discard, lines) // to its end, so that the connection is used again
			break
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return err
		}
		if len(e.Choices) == 0 {
			return out.refused([]byte(data))
		}
		if text := e.Choices[0].Delta.Content; text != "" {
			last = time.Since(start)
			if err := c.take(out, text, last); err != nil {
				return err
			}
		}
		finished = finished || e.Choices[0].FinishReason != nil
	}
	if out.Tokens > 1 {
		out.Gap = (last - out.FirstToken) / time.Duration(out.Tokens-1)
	}
	if want := min(out.Call.StopAt, out.Call.MaxTokens); !finished || out.Tokens != want {
		out.Corrupt = fmt.Sprintf("answer ended after %d of %d tokens", out.Tokens, want)
		return nil
	}
	out.Whole = true
	return nil
}

var errCorrupt = errors.New("answer is corrupt")

// take checks the text of one event: the next token, or several.
func (c *Client) take(out *Outcome, text string, now time.Duration) error {
	if out.Tokens == 0 {
		out.FirstToken = now
	}
	for text != "" {
		want := c.Token(out.Call.Tag, out.Tokens)
		rest, ok := strings.CutPrefix(text, want)
		if !ok {
			out.Corrupt = fmt.Sprintf("token %d is %q, want %q", out.Tokens, text, want)
			return errCorrupt
		}
		out.Tokens++
		text = rest
	}
	return nil
}
