// Package integration tests fleets of real daemons behind fault proxies.
package integration

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/test/fleet"
	"github.com/fulmartide/fulmartide/test/standin/engine"
)

var daemonBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fulmartide-integration-")
	if err == nil {
		daemonBinary, err = fleet.Build(context.Background(), dir, true)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// awaitTimeout bounds the waits for events. Passing tests never reach it.
const awaitTimeout = 30 * time.Second

// testFleet is a running fleet with a client that verifies every response.
type testFleet struct {
	*fleet.Fleet
	t      *testing.T
	layout fleet.Layout
	client experiment.Client
	begin  time.Time
}

func startFleet(t *testing.T, layout fleet.Layout, change func(*fleet.Options)) *testFleet {
	t.Helper()
	o := fleet.Options{Layout: layout, Binary: daemonBinary, Race: true, ListLag: 300 * time.Millisecond}
	if change != nil {
		change(&o)
	}
	f, err := fleet.Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	b := &testFleet{Fleet: f, t: t, layout: layout, begin: time.Now(), client: experiment.Client{
		HTTP: experiment.NewHTTPClient(), Model: layout.ModelName, Secret: fleet.Secret, ExpectedToken: engine.TokenForTag,
		ReadPath: "/marketplace/lots/7", CommitPath: "/marketplace/reservations",
	}}
	t.Cleanup(func() {
		b.audit()
		if err := f.Stop(); err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	for _, d := range f.Daemons() {
		b.awaitCompleteResponse(d.VM)
	}
	return b
}

// audit checks the invariants that must hold at the end of every test.
func (b *testFleet) audit() {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	if err := b.AwaitNoAllocations(ctx); err != nil {
		b.t.Errorf("audit: %v", err)
	}
	executions := map[string]int{}
	for name, s := range b.Services {
		for key, n := range s.Stats().Commits {
			executions[key] += n
		}
		b.checkNoSecretHeaders(name, s.Stats().Headers)
	}
	for key, n := range executions {
		if n > 1 {
			b.t.Errorf("audit: commit %s was executed %d times", key, n)
		}
	}
	for name, e := range b.Engines {
		b.checkNoSecretHeaders(name, e.Stats().Headers)
	}
}

func (b *testFleet) checkNoSecretHeaders(name string, headers map[string]int64) {
	for _, secret := range []string{"Authorization", "X-Api-Key", "Cookie"} {
		if headers[secret] > 0 {
			b.t.Errorf("audit: %s received the header %s", name, secret)
		}
	}
}

func (b *testFleet) chat(vm string, n int, tokens int64) experiment.Outcome {
	tag := fmt.Sprintf("%s-%s-%d", b.t.Name(), vm, n)
	return b.do(vm, experiment.Call{
		Workspace: b.layout.Workspaces[n%2].Name, Kind: experiment.Chat, Tag: tag,
		Prompt: fmt.Sprintf("{tag:%s}{stop:%d}", tag, tokens), MaxTokens: tokens + 4, StopAt: tokens,
	})
}

// chatWithSecret sends a short chat with another key.
func (b *testFleet) chatWithSecret(secret func(string) string, vm string) experiment.Outcome {
	original := b.client.Secret
	b.client.Secret = secret
	defer func() { b.client.Secret = original }()
	return b.chat(vm, 0, 3)
}

func (b *testFleet) commit(vm, key string) experiment.Outcome {
	return b.do(vm, experiment.Call{Workspace: b.layout.Workspaces[0].Name, Kind: experiment.Commit, IdempotencyKey: key})
}

func (b *testFleet) do(vm string, call experiment.Call) experiment.Outcome {
	o := b.client.Do(b.t.Context(), b.begin, experiment.Target{VM: vm, Address: b.Daemon(vm).Callers}, call)
	if o.Corrupt != "" {
		b.t.Errorf("corrupt response: %+v", o)
	}
	if o.Execution == fault.NotExecuted && o.RequestID != "" && b.receivedByEngine(o.RequestID) {
		b.t.Errorf("request reported as not_run was received by an engine: %+v", o)
	}
	return o
}

// receivedByEngine reports whether any engine accepted a prefill or decode of the request.
func (b *testFleet) receivedByEngine(request string) bool {
	for _, e := range b.Engines {
		if e.Received(request) {
			return true
		}
	}
	return false
}

// awaitCompleteResponse sends chats to a VM until it returns a complete response.
func (b *testFleet) awaitCompleteResponse(vm string) {
	b.t.Helper()
	b.await("a complete response from "+vm, func() bool { return b.chat(vm, 0, 3).Complete })
}

// await polls condition until it returns true.
func (b *testFleet) await(what string, condition func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			b.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runConcurrently runs n calls concurrently and returns their outcomes.
func runConcurrently(n int, call func(i int) experiment.Outcome) []experiment.Outcome {
	out := make([]experiment.Outcome, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = call(i)
		}()
	}
	wg.Wait()
	return out
}

// countComplete returns the number of outcomes with a complete response.
func countComplete(outs []experiment.Outcome) int {
	n := 0
	for _, o := range outs {
		if o.Complete {
			n++
		}
	}
	return n
}

func (b *testFleet) must(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}
