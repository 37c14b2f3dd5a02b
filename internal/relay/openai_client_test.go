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

func (f *fixture) openAI(t *testing.T, key string) openai.Client {
	t.Helper()
	server := httptest.NewServer(f.server)
	t.Cleanup(server.Close)
	return openai.NewClient(option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey(key), option.WithHTTPClient(server.Client()))
}

func chat(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}}
}

func TestOpenAIClientStreamsAChat(t *testing.T) {
	f := newFixture(t, []endpoint.Frame{{Started: true}, token(0), token(1), token(2), end(3)})
	client := f.openAI(t, "good")
	params := chat("m")
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
		t.Errorf("got %q, %s, %+v", c.Message.Content, c.FinishReason, acc.Usage)
	}
}

func TestOpenAIClientReadsAWholeChatAndTheModels(t *testing.T) {
	f := newFixture(t, []endpoint.Frame{{Started: true}, token(0), end(1)})
	client := f.openAI(t, "good")
	got, err := client.Chat.Completions.New(t.Context(), chat("m"))
	if err != nil || got.Choices[0].Message.Content != "t0 " {
		t.Fatalf("got %+v, %v", got, err)
	}
	models, err := client.Models.List(t.Context())
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "m" {
		t.Errorf("got %+v, %v", models, err)
	}
}

func TestOpenAIClientCancelsAStreamAndEnginesAreFreed(t *testing.T) {
	f := newFixture(t, []endpoint.Frame{{Started: true}, token(0)})
	f.engine.block = make(chan struct{})
	client := f.openAI(t, "good")
	ctx, cancel := context.WithCancel(t.Context())
	stream := client.Chat.Completions.NewStreaming(ctx, chat("m"))
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	<-f.engine.block
	cancel()
	for range 2 { // prefill and decode endpoint
		<-f.engine.cancelled
	}
}

func TestOpenAIClientTypesRefusals(t *testing.T) {
	for key, status := range map[string]int{"bad": 401, "good": 403} {
		f := newFixture(t)
		client := f.openAI(t, key)
		_, err := client.Chat.Completions.New(t.Context(), chat("other"))
		var refusal *openai.Error
		if !errors.As(err, &refusal) || refusal.StatusCode != status {
			t.Fatalf("got %v", err)
		}
		if refusal.Message == "" || (refusal.Code != string(fault.Unauthenticated) && refusal.Code != string(fault.Forbidden)) {
			t.Errorf("got %+v", refusal)
		}
	}
}
