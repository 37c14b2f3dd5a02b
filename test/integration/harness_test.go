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
	started, err := fleet.Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	f := &testFleet{Fleet: started, t: t, layout: layout, begin: time.Now(), client: experiment.Client{
		HTTP: experiment.NewHTTPClient(), Model: layout.ModelName, Secret: fleet.Secret, ExpectedToken: engine.TokenForTag,
		ReadPath: "/marketplace/lots/7", CommitPath: "/marketplace/reservations",
	}}
	t.Cleanup(func() {
		f.audit()
		if err := started.Stop(); err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	for _, d := range started.Daemons() {
		f.awaitCompleteResponse(d.VM)
	}
	// Otherwise awaitDecoding may find the memory of these calls.
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	f.must(f.AwaitNoAllocations(ctx))
	return f
}

// audit checks the invariants that must hold at the end of every test.
func (f *testFleet) audit() {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	if err := f.AwaitNoAllocations(ctx); err != nil {
		f.t.Errorf("audit: %v", err)
	}
	executions := map[string]int{}
	for name, s := range f.Services {
		for key, n := range s.Stats().Commits {
			executions[key] += n
		}
		f.checkNoCredentialHeaders(name, s.Stats().Headers)
	}
	for key, n := range executions {
		if n > 1 {
			f.t.Errorf("audit: commit %s was executed %d times", key, n)
		}
	}
	for name, e := range f.Engines {
		f.checkNoCredentialHeaders(name, e.Stats().Headers)
	}
}

func (f *testFleet) checkNoCredentialHeaders(name string, headers map[string]int64) {
	for _, header := range []string{"Authorization", "X-Api-Key", "Cookie"} {
		if headers[header] > 0 {
			f.t.Errorf("audit: %s received the header %s", name, header)
		}
	}
}

func (f *testFleet) chat(vm string, n int, tokens int64) experiment.Outcome {
	tag := fmt.Sprintf("%s-%s-%d", f.t.Name(), vm, n)
	return f.do(vm, experiment.Call{
		Workspace: f.layout.Workspaces[n%2].Name, Kind: experiment.Chat, Tag: tag,
		Prompt: fmt.Sprintf("{tag:%s}{stop:%d}", tag, tokens), MaxTokens: tokens + 4, StopAt: tokens,
	})
}

// chatWithSecret sends a short chat with another key.
func (f *testFleet) chatWithSecret(secret func(string) string, vm string) experiment.Outcome {
	original := f.client.Secret
	f.client.Secret = secret
	defer func() { f.client.Secret = original }()
	return f.chat(vm, 0, 3)
}

func (f *testFleet) commit(vm, key string) experiment.Outcome {
	return f.do(vm, experiment.Call{Workspace: f.layout.Workspaces[0].Name, Kind: experiment.Commit, IdempotencyKey: key})
}

func (f *testFleet) do(vm string, call experiment.Call) experiment.Outcome {
	o := f.client.Do(f.t.Context(), f.begin, experiment.Target{VM: vm, Address: f.Daemon(vm).Callers}, call)
	if o.Corrupt != "" {
		f.t.Errorf("corrupt response: %+v", o)
	}
	if o.Execution == fault.NotExecuted && o.RequestID != "" && f.receivedByEngine(o.RequestID) {
		f.t.Errorf("request reported as not_run was received by an engine: %+v", o)
	}
	return o
}

// receivedByEngine reports whether any engine accepted a prefill or decode of the request.
func (f *testFleet) receivedByEngine(request string) bool {
	for _, e := range f.Engines {
		if e.Received(request) {
			return true
		}
	}
	return false
}

// awaitCompleteResponse sends chats to a VM until it returns a complete response.
func (f *testFleet) awaitCompleteResponse(vm string) {
	f.t.Helper()
	f.await("a complete response from "+vm, func() bool { return f.chat(vm, 0, 3).Complete })
}

// await polls condition until it returns true.
func (f *testFleet) await(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for %s", what)
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

func (f *testFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}
