package relay

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
)

func (f *fixture) newOpenAIClient(t *testing.T, key string) openai.Client {
	t.Helper()
	server := httptest.NewServer(f.server)
	t.Cleanup(server.Close)
	return openai.NewClient(option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey(key), option.WithHTTPClient(server.Client()))
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}}
}

func TestOpenAIClientStreamsChat(t *testing.T) {
	f := newFixture(t, []endpoint.Frame{{Started: true}, tokenFrame(0), tokenFrame(1), tokenFrame(2), endFrame(3)})
	client := f.newOpenAIClient(t, "good")
	params := chatParams("m")
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	c := acc.Choices[0]
	if c.Message.Content != "t0 t1 t2 " || c.FinishReason != "stop" || acc.Usage.CompletionTokens != 3 {
		t.Errorf("content %q, finish reason %s, usage %+v", c.Message.Content, c.FinishReason, acc.Usage)
	}
}

func TestOpenAIClientReadsChatCompletionAndModels(t *testing.T) {
	f := newFixture(t, []endpoint.Frame{{Started: true}, tokenFrame(0), endFrame(1)})
	client := f.newOpenAIClient(t, "good")
	got, err := client.Chat.Completions.New(t.Context(), chatParams("m"))
	if err != nil || got.Choices[0].Message.Content != "t0 " {
		t.Fatalf("completion %+v, error %v", got, err)
	}
	models, err := client.Models.List(t.Context())
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "m" {
		t.Errorf("models %+v, error %v", models, err)
	}
}

func TestOpenAIClientDisconnectCancelsEngineRequests(t *testing.T) {
	f := newFixture(t, []endpoint.Frame{{Started: true}, tokenFrame(0)})
	f.engine.block = make(chan struct{})
	client := f.newOpenAIClient(t, "good")
	ctx, cancel := context.WithCancel(t.Context())
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("m"))
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	<-f.engine.block
	cancel()
	for range 2 { // prefill and decode endpoint
		<-f.engine.cancelled
	}
}

func TestOpenAIClientDecodesErrors(t *testing.T) {
	for key, status := range map[string]int{"bad": 401, "good": 403} {
		f := newFixture(t)
		client := f.newOpenAIClient(t, key)
		_, err := client.Chat.Completions.New(t.Context(), chatParams("other"))
		var apiErr *openai.Error
		if !errors.As(err, &apiErr) || apiErr.StatusCode != status {
			t.Fatalf("unexpected error %v", err)
		}
		if apiErr.Message == "" || (apiErr.Code != string(fault.Unauthenticated) && apiErr.Code != string(fault.Forbidden)) {
			t.Errorf("missing message or unexpected code in %+v", apiErr)
		}
	}
}
