package ledger_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ledger"
)

// Sequential model of the ledger that histories are checked against.
type (
	commitState struct {
		nonce string
		done  int
	}
	commitInput struct {
		call   string
		key    string
		nonce  string
		status int
	}
	commitOutput struct {
		result string // "run", "rejected", or "outcome" with its status
		status int
	}
)

func stepCommit(s commitState, in commitInput, out commitOutput) (bool, any) {
	switch {
	case in.call == "finish":
		return s.nonce == in.nonce, commitState{s.nonce, in.status}
	case in.call == "abandon":
		return s.nonce == in.nonce && s.done == 0, commitState{}
	case out.result == "run":
		return s.nonce == "", commitState{nonce: in.nonce}
	case out.result == "outcome":
		return s.done != 0 && s.done == out.status, s
	}
	return true, s
}

var commitModel = porcupine.Model{
	Init: func() any { return commitState{} },
	Step: func(state, in, out any) (bool, any) {
		return stepCommit(state.(commitState), in.(commitInput), out.(commitOutput))
	},
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range all {
			key := op.Input.(commitInput).key
			byKey[key] = append(byKey[key], op)
		}
		return slices.Collect(maps.Values(byKey))
	},
}

type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) now() int64 { return int64(time.Since(h.start)) }

const noReturn = int64(1) << 60

func (h *history) add(client int, in commitInput, call int64, out commitOutput, ret int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: ret})
}

// client makes commits through random VMs with keys that other clients also use.
func (h *history) client(t *testing.T, id int, fleet []*vm, keys []string, commits int) {
	rng := rand.New(rand.NewPCG(uint64(id), 9))
	for n := range commits {
		v := fleet[rng.IntN(len(fleet))]
		in := ledger.Intent{Workspace: "w", Key: keys[rng.IntN(len(keys))], Fingerprint: 1, Nonce: fmt.Sprint(id, ".", n)}
		if !h.begin(t, id, v, in) {
			continue
		}
		switch rng.IntN(4) {
		case 0: // the caller's VM fails without recording an outcome
		case 1:
			h.complete(t, id, "abandon", in, 0, func(ctx context.Context) error { return v.service.AbandonAndWait(ctx, in) })
		default:
			status := 1 + id*commits + n
			v := fleet[rng.IntN(len(fleet))]
			h.complete(t, id, "finish", in, status, func(ctx context.Context) error {
				return v.service.FinishAndWait(ctx, in, ledger.Outcome{Status: status})
			})
		}
	}
}

func (h *history) begin(t *testing.T, id int, v *vm, in ledger.Intent) (ran bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	call := h.now()
	got, err := v.service.Begin(ctx, in)
	out := commitOutput{result: "run"}
	switch {
	case err != nil:
		out.result = "rejected"
	case got != nil:
		out = commitOutput{"outcome", got.Status}
	}
	if err != nil && !slices.Contains([]fault.Kind{fault.OutcomeUnknown, fault.Unavailable, fault.Stopping}, fault.KindOf(err)) {
		t.Errorf("begin: %v", err)
	}
	h.add(id, commitInput{call: "begin", key: in.Key, nonce: in.Nonce}, call, out, h.now())
	return out.result == "run"
}

func (h *history) complete(t *testing.T, id int, operation string, in ledger.Intent, status int, do func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	call := h.now()
	ret := noReturn
	if err := do(ctx); err == nil {
		ret = h.now()
	} else if fault.Is(err, fault.Conflict) {
		t.Errorf("%s: %v", operation, err)
	}
	h.add(id, commitInput{operation, in.Key, in.Nonce, status}, call, commitOutput{}, ret)
}

// Clients repeat each other's keys through VMs that disagree about shard owners. The store fails
// both before and after applying calls, and one VM is killed during the run.
func TestHistoriesAreLinearizable(t *testing.T) {
	fleet := startFleet(t, 4, newStore(0.1, 0.15))
	fleet[0].hideMember("vm-1")
	fleet[1].hideMember("vm-2")
	keys := make([]string, 40)
	for i := range keys {
		keys[i] = newKey(uint64(i))
	}
	h := &history{start: time.Now()}
	var wg sync.WaitGroup
	const clients, commits = 12, 30
	var victim sync.Once
	for id := range clients {
		wg.Go(func() {
			h.client(t, id, fleet[:3], keys, commits/2)
			victim.Do(fleet[3].kill)
			h.client(t, id+clients, fleet[:3], keys, commits/2)
		})
	}
	wg.Wait()
	results := map[string]int{}
	for _, op := range h.ops {
		results[op.Input.(commitInput).call+" "+op.Output.(commitOutput).result]++
	}
	t.Log(results)
	if results["begin run"] < len(keys)/2 || results["begin outcome"] == 0 {
		t.Errorf("too few commits ran or were repeated: %v", results)
	}
	if result := porcupine.CheckOperationsTimeout(commitModel, h.ops, time.Minute); result != porcupine.Ok {
		t.Fatalf("history is not linearizable: %v", result)
	}
}
