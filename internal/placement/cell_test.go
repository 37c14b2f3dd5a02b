package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

var testModel = configuration.Model{
	KVBytesPerToken:        100_000,
	PieceTokens:            2048,
	PrefillTokensPerSecond: 20_000,
	GapBaseMicros:          20_000,
	GapPerSlotMicros:       1_500,
	PrefillTTLMillis:       800,
}

const testLinkRate = 4_000_000_000

// testEndpoints returns the endpoints p0, p1, ... and d0, d1, ... of one model.
func testEndpoints(prefills, decodes, slots int) map[string]configuration.Endpoint {
	out := map[string]configuration.Endpoint{}
	for i := range prefills {
		out[fmt.Sprintf("p%d", i)] = configuration.Endpoint{Role: configuration.RolePrefill, DataCentre: "dc", Model: "m", LinkBytesPerSecond: testLinkRate}
	}
	for i := range decodes {
		out[fmt.Sprintf("d%d", i)] = configuration.Endpoint{Role: configuration.RoleDecode, DataCentre: "dc", Model: "m", Slots: slots, LinkBytesPerSecond: testLinkRate}
	}
	return out
}

func testID(vm string, seq uint64) ident.RequestID {
	return ident.RequestID{VM: ident.VM{Name: vm, Incarnation: 1}, Seq: seq}
}

// cellHarness drives a Cell and records the decisions that its callers received.
type cellHarness struct {
	cell      *Cell
	now       clock.Instant
	seq       uint64
	endpoints map[string]configuration.Endpoint
	// pending holds the requests without a decision, placed those that were assigned.
	pending, placed map[ident.RequestID]Request
	stages          map[ident.RequestID]Stage
	refused         map[ident.RequestID]bool
}

func newCellHarness(policy string, endpoints map[string]configuration.Endpoint) *cellHarness {
	h := &cellHarness{
		cell:      NewCell(policy),
		now:       1,
		endpoints: endpoints,
		pending:   map[ident.RequestID]Request{},
		placed:    map[ident.RequestID]Request{},
		stages:    map[ident.RequestID]Stage{},
		refused:   map[ident.RequestID]bool{},
	}
	h.cell.EnableOrders()
	h.cell.Step(h.now, ConfigurationInput{Model: testModel, Endpoints: endpoints})
	h.now = h.now.Add(warmUpTime)
	return h
}

// step applies one input and checks every decision that results.
func (h *cellHarness) step(t rapid.TB, in Input) []*Decision {
	var out []*Decision
	for _, a := range h.cell.Step(h.now, in) {
		if a.Decision == nil {
			continue
		}
		h.recordDecision(t, a.Decision)
		out = append(out, a.Decision)
	}
	return out
}

func (h *cellHarness) recordDecision(t rapid.TB, d *Decision) {
	r, pending := h.pending[d.ID]
	if !pending {
		t.Fatalf("decision for %v, which has no pending request", d.ID)
	}
	delete(h.pending, d.ID)
	if d.Refusal != nil {
		h.refused[d.ID] = true
		if h.cell.Contains(d.ID) {
			t.Fatalf("%v was refused but is still queued or claimed", d.ID)
		}
		return
	}
	if h.refused[d.ID] && !d.Reassigned {
		t.Fatalf("%v was assigned after it had been refused", d.ID)
	}
	h.placed[d.ID] = r
	h.stages[d.ID] = 0
	for _, name := range []string{d.Assignment.Prefill, d.Assignment.Decode} {
		e := h.cell.replicas[name]
		kept := !r.NeedPrefill && name == r.PrefillHolder
		if e == nil || (!kept && (e.leaving || e.health.ejected || e.changingRole)) || slices.Contains(r.Avoid, name) {
			t.Fatalf("%v was assigned to %s, which must not receive it", d.ID, name)
		}
	}
	if h.cell.policy == PolicyPredictive {
		h.checkClaim(t, h.cell.claims[d.ID])
	}
}

// checkClaim checks that the claims made earlier leave a predicted free slot for a new claim,
// within the batch size that every gap target allows.
func (h *cellHarness) checkClaim(t rapid.TB, cl *claim) {
	decode := &cl.decode.decode
	running := decode.external
	for _, o := range decode.claims[:slices.Index(decode.claims, cl)] {
		if o.releaseAt > cl.decodeAt {
			running++
		}
	}
	if capacity := cl.decode.capacity(cl.batchLimit); running+1 > capacity {
		t.Fatalf("%d requests predicted on %s, which has a capacity of %d", running+1, cl.decode.name, capacity)
	}
}

// checkInvariants must succeed after every input.
func (h *cellHarness) checkInvariants(t rapid.TB) {
	claims := map[*claim]bool{}
	for _, cl := range h.cell.claims {
		claims[cl] = true
	}
	for _, e := range h.cell.replicas {
		var tokens int64
		for _, cl := range e.prefill.claims {
			tokens += cl.prefillTokens
			if !claims[cl] {
				t.Fatalf("%s has prefill work without a claim", e.name)
			}
		}
		if tokens != e.prefill.tokens || tokens < 0 {
			t.Fatalf("%s: prefill token count is %d, sum over its claims is %d", e.name, e.prefill.tokens, tokens)
		}
		for _, cl := range e.decode.claims {
			if !claims[cl] {
				t.Fatalf("%s has a decode slot without a claim", e.name)
			}
		}
		for _, s := range e.link.spans {
			if !claims[s.claim] {
				t.Fatalf("%s has a link span without a claim", e.name)
			}
		}
		if e.decode.external < 0 || !slices.IsSorted(e.decode.releaseTimes) || len(e.decode.releaseTimes) != len(e.decode.claims) {
			t.Fatalf("%s: decode slots are inconsistent with their claims", e.name)
		}
	}
	for _, n := range h.cell.roles {
		if 2*n.ejected > n.total {
			t.Fatalf("%d of %d endpoints of a role are ejected, want at most half", n.ejected, n.total)
		}
	}
	for id := range h.pending {
		if !h.cell.Contains(id) {
			t.Fatalf("%v is pending but neither queued nor claimed", id)
		}
	}
	if want := len(h.pending); h.cell.Queued() != want {
		t.Fatalf("cell has %d queued requests, want %d", h.cell.Queued(), want)
	}
	if h.cell.urgent.length+h.cell.mayWait.length+len(h.cell.reassignments) != h.cell.Queued() {
		t.Fatal("lengths of the queues do not add up to the number of queued requests")
	}
}

func drawRequest(t *rapid.T, id ident.RequestID) Request {
	class := rapid.SampledFrom([]configuration.Class{configuration.Urgent, configuration.MayWait}).Draw(t, "class")
	pieces := rapid.SliceOfN(rapid.Uint64Range(1, 6), 0, 4).Draw(t, "pieces")
	r := Request{
		ID:              id,
		Workspace:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		Weight:          rapid.IntRange(0, 3).Draw(t, "weight"),
		Adapter:         rapid.SampledFrom([]string{"", "", "", "style"}).Draw(t, "adapter"),
		Model:           "m",
		Class:           class,
		PromptTokens:    int64(rapid.IntRange(1, 12_000).Draw(t, "prompt")),
		MaxOutputTokens: int64(rapid.IntRange(1, 200).Draw(t, "output")),
		Pieces:          pieces,
		DataCentre:      "dc",
		FirstToken:      820 * time.Millisecond,
		Gap:             time.Duration(rapid.IntRange(15, 57).Draw(t, "gap")) * time.Millisecond,
		Deadline:        time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second,
		NeedPrefill:     true,
	}
	return r
}

func drawID[V any](t *rapid.T, requests map[ident.RequestID]V) ident.RequestID {
	ids := slices.SortedFunc(maps.Keys(requests), func(a, b ident.RequestID) int { return int(a.Seq) - int(b.Seq) })
	if len(ids) == 0 {
		t.Skip("no requests")
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (h *cellHarness) actions() map[string]func(*rapid.T) {
	name := func(t *rapid.T) string {
		return rapid.SampledFrom(slices.Sorted(maps.Keys(h.endpoints))).Draw(t, "endpoint")
	}
	return map[string]func(*rapid.T){
		"place": func(t *rapid.T) {
			h.seq++
			vm := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "vm")
			r := drawRequest(t, testID(vm, h.seq))
			h.pending[r.ID] = r
			h.step(t, PlaceInput{Request: r})
		},
		"placeAgain": func(t *rapid.T) {
			id := drawID(t, h.pending)
			h.step(t, PlaceInput{Request: h.pending[id]})
		},
		"cancel": func(t *rapid.T) {
			id := drawID(t, h.pending)
			delete(h.pending, id)
			h.step(t, CancelInput{ID: id})
		},
		"progress": func(t *rapid.T) {
			id := drawID(t, h.placed)
			stage := Stage(rapid.IntRange(int(StagePrefillDone), int(StageReleased)).Draw(t, "stage"))
			h.stages[id] = max(h.stages[id], stage)
			if stage == StageReleased {
				delete(h.placed, id)
			}
			h.step(t, ProgressInput{ID: id, Stage: stage})
		},
		"reassign": func(t *rapid.T) {
			id := drawID(t, h.placed)
			r := h.placed[id]
			cl := h.cell.claims[id]
			if cl == nil {
				t.Skip("claim has expired")
			}
			failed := cl.assignment.Decode
			r.NeedPrefill = h.stages[id] != StagePrefillDone
			r.PrefillHolder = cl.assignment.Prefill
			r.Avoid = []string{failed}
			delete(h.placed, id)
			h.pending[id] = r
			h.step(t, ReassignInput{Request: r, Failed: failed})
		},
		"load": func(t *rapid.T) {
			l := endpoint.Load{Running: rapid.IntRange(0, 6).Draw(t, "running"), Role: rapid.SampledFrom([]string{"", "leaving", "prefill", "decode"}).Draw(t, "role")}
			l.Adapters = rapid.SampledFrom([][]string{nil, {"style"}}).Draw(t, "adapters")
			h.step(t, LoadInput{Endpoint: name(t), Load: l})
		},
		"orderDone": func(t *rapid.T) { h.step(t, OrderDoneInput{Endpoint: name(t), Failed: rapid.Bool().Draw(t, "failed")}) },
		"silent":    func(t *rapid.T) { h.step(t, LoadPollFailedInput{Endpoint: name(t)}) },
		"cache": func(t *rapid.T) {
			e := endpoint.CacheEvent{
				Seq:     rapid.Uint64Range(1, 50).Draw(t, "seq"),
				Piece:   rapid.Uint64Range(1, 6).Draw(t, "piece"),
				Present: rapid.Bool().Draw(t, "present"),
			}
			h.step(t, CacheInput{Endpoint: name(t), Events: []endpoint.CacheEvent{e}})
		},
		"drain": func(t *rapid.T) {
			n := name(t)
			e := h.endpoints[n]
			e.Leaving = !e.Leaving
			h.endpoints[n] = e
			h.step(t, ConfigurationInput{Model: testModel, Endpoints: h.endpoints})
		},
		"remove": func(t *rapid.T) {
			if len(h.endpoints) < 4 {
				t.Skip("too few endpoints left")
			}
			delete(h.endpoints, name(t))
			h.step(t, ConfigurationInput{Model: testModel, Endpoints: h.endpoints})
		},
		"time": func(t *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(t, "ticks") {
				h.now = h.now.Add(TickPeriod)
				h.step(t, TickInput{})
			}
		},
		"ownerChange": func(t *rapid.T) { h.changeOwner(t) },
		"vmGone": func(t *rapid.T) {
			gone := ident.VM{Name: "v2", Incarnation: 1}
			for _, set := range []map[ident.RequestID]Request{h.pending, h.placed} {
				maps.DeleteFunc(set, func(id ident.RequestID, _ Request) bool { return id.VM == gone })
			}
			h.step(t, MembersInput{Members: []membership.Member{{VM: gone, State: membership.Gone}}})
		},
		"": func(t *rapid.T) { h.checkInvariants(t) },
	}
}

// TestReassignmentIsLateRatherThanRefused fails the prefill engine of a request when its latency
// target has almost passed.
func TestReassignmentIsLateRatherThanRefused(t *testing.T) {
	h := newCellHarness(PolicyPredictive, testEndpoints(2, 2, 4))
	r := Request{
		ID: testID("a", 1), Workspace: "w", Model: "m", Class: configuration.Urgent, PromptTokens: 1000, MaxOutputTokens: 100,
		FirstToken: time.Second, Gap: time.Second, Deadline: 10 * time.Second, NeedPrefill: true,
	}
	h.pending[r.ID] = r
	first := h.step(t, PlaceInput{Request: r})
	if len(first) != 1 || first[0].Refusal != nil {
		t.Fatalf("decisions %+v, want an assignment", first)
	}
	failed := first[0].Assignment.Prefill
	h.now = h.now.Add(r.FirstToken - time.Millisecond)
	r.FirstToken, r.Deadline, r.Avoid = time.Millisecond, r.Deadline-h.now.Sub(0), []string{failed}
	h.pending[r.ID] = r
	again := h.step(t, ReassignInput{Request: r, Failed: failed})
	if len(again) != 1 || again[0].Refusal != nil || again[0].Assignment.Prefill == failed {
		t.Fatalf("decisions %+v, want an assignment to the other prefill engine", again)
	}
}

func TestCellClaimInvariants(t *testing.T) {
	for _, policy := range []string{PolicyPredictive, PolicyRoundRobin, PolicyLeastLoaded} {
		t.Run(policy, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				endpoints := testEndpoints(rapid.IntRange(1, 3).Draw(t, "p"), rapid.IntRange(1, 4).Draw(t, "d"), rapid.IntRange(1, 5).Draw(t, "slots"))
				h := newCellHarness(policy, endpoints)
				t.Repeat(h.actions())
				h.finish(t)
			})
		})
	}
}

// changeOwner moves the cell to a new owner without any state. Callers restore their
// assignments and repeat their pending requests.
func (h *cellHarness) changeOwner(t *rapid.T) {
	former := h.cell
	h.cell = NewCell(former.policy)
	h.cell.EnableOrders()
	h.step(t, ConfigurationInput{Model: testModel, Endpoints: h.endpoints})
	for id, r := range h.placed {
		cl := former.claims[id]
		_, known := h.endpoints[decodeOf(cl)]
		if cl == nil || !known {
			delete(h.placed, id)
			continue
		}
		in := RestoreInput{Request: r, Assignment: cl.assignment, Stage: cl.stage, Elapsed: h.now.Sub(cl.assignedAt)}
		h.step(t, in)
		h.step(t, in)
		if got := h.cell.claims[id]; got == nil || got.assignment != cl.assignment {
			t.Fatalf("%v was not restored", id)
		}
	}
	for _, r := range h.pending {
		r.PrefillHolder, r.NeedPrefill = "", true
		h.pending[r.ID] = r
		h.step(t, PlaceInput{Request: r})
	}
}

func decodeOf(cl *claim) string {
	if cl == nil {
		return ""
	}
	return cl.assignment.Decode
}

// finish ends all requests and checks that every resource was released.
func (h *cellHarness) finish(t rapid.TB) {
	for len(h.pending) > 0 {
		h.now = h.now.Add(time.Second)
		h.step(t, TickInput{})
	}
	for id := range h.placed {
		h.step(t, ProgressInput{ID: id, Stage: StageReleased})
	}
	if n := len(h.cell.claims); n != 0 {
		t.Fatalf("%d claims are left after all requests ended", n)
	}
	for _, e := range h.cell.replicas {
		if len(e.prefill.claims)+len(e.decode.claims)+len(e.link.spans) != 0 || e.prefill.tokens != 0 {
			t.Fatalf("%s still has claimed resources after all requests ended", e.name)
		}
	}
}
