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
	// callTimeout limits a call whose VM neither responds nor closes the connection.
	callTimeout = 90 * time.Second
)

// Target is the VM to which a call is sent.
type Target struct {
	VM      string
	Address netip.AddrPort
}

// Client sends calls over HTTP and verifies the answers.
type Client struct {
	HTTP *http.Client
	// Model is the model that chats request.
	Model string
	// ReadPath and CommitPath are the paths of the plain service.
	ReadPath, CommitPath string
	// Secret returns the API key of a workspace.
	Secret func(workspace string) string
	// ExpectedToken returns token i of the correct answer to a chat with the given tag.
	ExpectedToken func(tag string, i int64) string
}

// NewHTTPClient returns an HTTP client that keeps enough idle connections for many concurrent calls.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
}

// Do sends one call and reads its response to the end. The times in the outcome are relative to
// start, the start of the run.
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
		out.Execution = fault.ExecutionUnknown
		out.Message = err.Error()
		var op *net.OpError
		out.DialFailed = errors.As(err, &op) && op.Op == "dial"
	}
	return out
}

// chatBody is the request body of a chat completion.
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
	// Without GetBody the transport cannot resend the request on its own.
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

// errorResponse is the error object that the router returns for a failed call.
type errorResponse struct {
	Error struct {
		Kind    fault.Kind      `json:"kind"`
		Message string          `json:"message"`
		Run     fault.Execution `json:"run"`
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
	o.Kind, o.Execution, o.Message = r.Error.Kind, r.Error.Run, r.Error.Message
	return nil
}

// event is one server-sent event of a streamed chat completion.
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

// readStream reads a streamed chat completion and verifies every token.
func (c *Client) readStream(body io.Reader, start time.Time, out *Outcome) error {
	lines := bufio.NewReader(io.LimitReader(body, maxStreamBytes))
	finished := false
	var last time.Duration
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return fmt.Errorf("stream interrupted: %w", err)
		}
		data, isData := strings.CutPrefix(strings.TrimSpace(line), dataPrefix)
		if !isData {
			continue
		}
		if data == doneMarker {
			_, _ = io.Copy(io.Discard, lines) // the connection is reused only after the body was read to its end
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

// checkText compares the text of one event with the expected tokens. An event may contain several
// tokens.
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
