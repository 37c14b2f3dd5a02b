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

// The sequential ledger that histories are checked against.
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
		verdict string // run, refused, or outcome with its status
		status  int
	}
)

func stepCommit(s commitState, in commitInput, out commitOutput) (bool, any) {
	switch {
	case in.call == "finish":
		return s.nonce == in.nonce, commitState{s.nonce, in.status}
	case in.call == "abandon":
		return s.nonce == in.nonce && s.done == 0, commitState{}
	case out.verdict == "run":
		return s.nonce == "", commitState{nonce: in.nonce}
	case out.verdict == "outcome":
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

const never = int64(1) << 60

func (h *history) add(client int, in commitInput, call int64, out commitOutput, ret int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: ret})
}

// client makes commits through random VMs, repeating keys that others use too.
func (h *history) client(t *testing.T, id int, fleet []*vm, keys []string, commits int) {
	rng := rand.New(rand.NewPCG(uint64(id), 9))
	for n := range commits {
		v := fleet[rng.IntN(len(fleet))]
		in := ledger.Intent{Workspace: "w", Key: keys[rng.IntN(len(keys))], Fingerprint: 1, Nonce: fmt.Sprint(id, ".", n)}
		if !h.begin(t, id, v, in) {
			continue
		}
		switch rng.IntN(4) {
		case 0: // the caller's VM dies: no outcome
		case 1:
			h.end(t, id, "abandon", in, 0, func(ctx context.Context) error { return v.service.AbandonAndWait(ctx, in) })
		default:
			status := 1 + id*commits + n
			v := fleet[rng.IntN(len(fleet))]
			h.end(t, id, "finish", in, status, func(ctx context.Context) error {
				return v.service.FinishAndWait(ctx, in, ledger.Outcome{Status: status})
			})
		}
	}
}

func (h *history) begin(t *testing.T, id int, v *vm, in ledger.Intent) (ran bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	call := h.now()
	got, err := v.service.Begin(ctx, in)
	out := commitOutput{verdict: "run"}
	switch {
	case err != nil:
		out.verdict = "refused"
	case got != nil:
		out = commitOutput{"outcome", got.Status}
	}
	if err != nil && !slices.Contains([]fault.Kind{fault.OutcomeUnknown, fault.Unavailable, fault.Stopping}, fault.KindOf(err)) {
		t.Errorf("begin: %v", err)
	}
	h.add(id, commitInput{call: "begin", key: in.Key, nonce: in.Nonce}, call, out, h.now())
	return out.verdict == "run"
}

func (h *history) end(t *testing.T, id int, what string, in ledger.Intent, status int, do func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	call := h.now()
	ret := never
	if err := do(ctx); err == nil {
		ret = h.now()
	} else if fault.Is(err, fault.Conflict) {
		t.Errorf("%s: %v", what, err)
	}
	h.add(id, commitInput{what, in.Key, in.Nonce, status}, call, commitOutput{}, ret)
}

// Clients repeat each other's keys through VMs that disagree about owners, over a store that
// fails before and after the effect, while one VM dies.
func TestHistoriesAreLinearizable(t *testing.T) {
	fleet := startFleet(t, 4, newStore(0.1, 0.15))
	fleet[0].without("vm-1")
	fleet[1].without("vm-2")
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
	verdicts := map[string]int{}
	for _, op := range h.ops {
		verdicts[op.Input.(commitInput).call+" "+op.Output.(commitOutput).verdict]++
	}
	t.Log(verdicts)
	if verdicts["begin run"] < len(keys)/2 || verdicts["begin outcome"] == 0 {
		t.Errorf("too little happened: %v", verdicts)
	}
	if result := porcupine.CheckOperationsTimeout(commitModel, h.ops, time.Minute); result != porcupine.Ok {
		t.Fatalf("history is not linearizable: %v", result)
	}
}
