// Package integration proves promises with real daemons behind fault proxies.
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

// eventually bounds the waits for events; it decides nothing while things work.
const eventually = 30 * time.Second

// bench is a running fleet with a client that checks every answer.
type bench struct {
	*fleet.Fleet
	t      *testing.T
	layout fleet.Layout
	client experiment.Client
	begin  time.Time
}

func start(t *testing.T, layout fleet.Layout, change func(*fleet.Options)) *bench {
	t.Helper()
	o := fleet.Options{Layout: layout, Binary: daemonBinary, Race: true, ListLag: 300 * time.Millisecond}
	if change != nil {
		change(&o)
	}
	f, err := fleet.Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{Fleet: f, t: t, layout: layout, begin: time.Now(), client: experiment.Client{
		HTTP: experiment.NewHTTPClient(), Model: layout.ModelName, Secret: fleet.Secret, ExpectedToken: engine.TokenOfTag,
		ReadPath: "/marketplace/lots/7", CommitPath: "/marketplace/reservations",
	}}
	t.Cleanup(func() {
		b.audit()
		if err := f.Stop(); err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	for _, d := range f.Daemons() {
		b.awaitAnswer(d.VM)
	}
	return b
}

// audit checks what must hold at the end of every run.
func (b *bench) audit() {
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	if err := b.AwaitFreed(ctx); err != nil {
		b.t.Errorf("audit: %v", err)
	}
	runs := map[string]int{}
	for name, s := range b.Services {
		for key, n := range s.Stats().Commits {
			runs[key] += n
		}
		b.checkHeaders(name, s.Stats().Headers)
	}
	for key, n := range runs {
		if n > 1 {
			b.t.Errorf("audit: commit %s ran %d times", key, n)
		}
	}
	for name, e := range b.Engines {
		b.checkHeaders(name, e.Stats().Headers)
	}
}

func (b *bench) checkHeaders(name string, headers map[string]int64) {
	for _, secret := range []string{"Authorization", "X-Api-Key", "Cookie"} {
		if headers[secret] > 0 {
			b.t.Errorf("audit: %s received the header %s", name, secret)
		}
	}
}

func (b *bench) chat(vm string, n int, tokens int64) experiment.Outcome {
	tag := fmt.Sprintf("%s-%s-%d", b.t.Name(), vm, n)
	return b.do(vm, experiment.Call{
		Workspace: b.layout.Workspaces[n%2].Name, Kind: experiment.Chat, Tag: tag,
		Prompt: fmt.Sprintf("{tag:%s}{stop:%d}", tag, tokens), MaxTokens: tokens + 4, StopAt: tokens,
	})
}

// chatAs makes a short chat with a key of its own.
func (b *bench) chatAs(secret func(string) string, vm string) experiment.Outcome {
	usual := b.client.Secret
	b.client.Secret = secret
	defer func() { b.client.Secret = usual }()
	return b.chat(vm, 0, 3)
}

func (b *bench) commit(vm, key string) experiment.Outcome {
	return b.do(vm, experiment.Call{Workspace: b.layout.Workspaces[0].Name, Kind: experiment.Commit, IdempotencyKey: key})
}

func (b *bench) do(vm string, call experiment.Call) experiment.Outcome {
	o := b.client.Do(b.t.Context(), b.begin, experiment.Target{VM: vm, Address: b.Daemon(vm).Callers}, call)
	if o.Corrupt != "" {
		b.t.Errorf("corrupt answer: %+v", o)
	}
	if o.Run == fault.NotExecuted && o.RequestID != "" && b.seen(o.RequestID) {
		b.t.Errorf("untrue not_run: %+v", o)
	}
	return o
}

// seen reports whether any engine was given an order of the request.
func (b *bench) seen(request string) bool {
	for _, e := range b.Engines {
		if e.Saw(request) {
			return true
		}
	}
	return false
}

// awaitAnswer asks a VM until it gives a whole answer.
func (b *bench) awaitAnswer(vm string) {
	b.t.Helper()
	b.await("a whole answer of "+vm, func() bool { return b.chat(vm, 0, 3).Complete })
}

// await repeats check until it holds.
func (b *bench) await(what string, check func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(eventually)
	for !check() {
		if time.Now().After(deadline) {
			b.t.Fatalf("%s did not come", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// all runs n calls at once and gives their outcomes.
func all(n int, call func(i int) experiment.Outcome) []experiment.Outcome {
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

// whole reports how many outcomes are whole answers.
func whole(outs []experiment.Outcome) int {
	n := 0
	for _, o := range outs {
		if o.Complete {
			n++
		}
	}
	return n
}

func (b *bench) must(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}
