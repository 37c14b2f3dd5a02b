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
	// callTimeout bounds a call whose VM neither answers nor breaks off.
	callTimeout = 90 * time.Second
)

// Target is the VM that a call goes to.
type Target struct {
	VM      string
	Address netip.AddrPort
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
	// ExpectedToken gives token i of the right answer to a chat with this tag.
	ExpectedToken func(tag string, i int64) string
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out := Outcome{Call: call, VM: to.VM, SentAt: time.Since(start)}
	req, err := c.request(ctx, to, call)
	if err == nil {
		err = c.roundTrip(req, start, &out)
	}
	out.EndedAt = time.Since(start)
	if err != nil && out.Kind == "" && out.Corrupt == "" {
		out.NoAnswer = true
		out.Run = fault.RunUnknown
		out.Message = err.Error()
		var op *net.OpError
		out.DialFailed = errors.As(err, &op) && op.Op == "dial"
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
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.Address.String()+path, bytes.NewReader(body))
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

func (c *Client) roundTrip(req *http.Request, start time.Time, out *Outcome) error {
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	out.HeadersAt = time.Since(start)
	out.RequestID = resp.Header.Get("X-Request-Id")
	if resp.StatusCode != http.StatusOK {
		raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		if err != nil {
			return err
		}
		return out.parseError(raw)
	}
	if out.Call.Kind == Chat {
		return c.readStream(resp.Body, start, out)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	out.FirstTokenAt = time.Since(start)
	out.Complete = err == nil
	return err
}

// errorResponse is the router's statement about a call that failed.
type errorResponse struct {
	Error struct {
		Kind    fault.Kind `json:"kind"`
		Message string     `json:"message"`
		Run     fault.Run  `json:"run"`
	} `json:"error"`
}

func (o *Outcome) parseError(raw []byte) error {
	var r errorResponse
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
	doneMarker = "[DONE]"
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
		if data == doneMarker {
			_, _ = io.Copy(io.Discard, lines) // to its end, so that the connection is used again
			break
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return err
		}
		if len(e.Choices) == 0 {
			return out.parseError([]byte(data))
		}
		if text := e.Choices[0].Delta.Content; text != "" {
			last = time.Since(start)
			if err := c.checkText(out, text, last); err != nil {
				return err
			}
		}
		finished = finished || e.Choices[0].FinishReason != nil
	}
	if out.Tokens > 1 {
		out.Gap = (last - out.FirstTokenAt) / time.Duration(out.Tokens-1)
	}
	if want := min(out.Call.StopAt, out.Call.MaxTokens); !finished || out.Tokens != want {
		out.Corrupt = fmt.Sprintf("answer ended after %d of %d tokens", out.Tokens, want)
		return nil
	}
	out.Complete = true
	return nil
}

var errCorrupt = errors.New("answer is corrupt")

// checkText checks the text of one event: the next token, or several.
func (c *Client) checkText(out *Outcome, text string, now time.Duration) error {
	if out.Tokens == 0 {
		out.FirstTokenAt = now
	}
	for text != "" {
		want := c.ExpectedToken(out.Call.Tag, out.Tokens)
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
