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
	KeepMillis:             800,
}

const testLinkRate = 4_000_000_000

// testEndpoints makes p0.. and d0.. of one model.
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

// cellModel drives a Cell and keeps what its callers were told.
type cellModel struct {
	cell      *Cell
	now       clock.Instant
	seq       uint64
	endpoints map[string]configuration.Endpoint
	// open holds the requests that wait for an answer, placed those that were assigned.
	open, placed map[ident.RequestID]Request
	stages       map[ident.RequestID]Stage
	refused      map[ident.RequestID]bool
}

func newCellModel(policy string, endpoints map[string]configuration.Endpoint) *cellModel {
	m := &cellModel{
		cell:      NewCell(policy),
		now:       1,
		endpoints: endpoints,
		open:      map[ident.RequestID]Request{},
		placed:    map[ident.RequestID]Request{},
		stages:    map[ident.RequestID]Stage{},
		refused:   map[ident.RequestID]bool{},
	}
	m.cell.AllowOrders()
	m.cell.Step(m.now, ConfigurationInput{Model: testModel, Endpoints: endpoints})
	m.now = m.now.Add(settleTime)
	return m
}

// step feeds one input and checks every decision that follows.
func (m *cellModel) step(t rapid.TB, in Input) []*Decision {
	var out []*Decision
	for _, a := range m.cell.Step(m.now, in) {
		if a.Decision == nil {
			continue
		}
		m.decided(t, a.Decision)
		out = append(out, a.Decision)
	}
	return out
}

func (m *cellModel) decided(t rapid.TB, d *Decision) {
	r, asked := m.open[d.ID]
	if !asked {
		t.Fatalf("answer for %v, which waits for none", d.ID)
	}
	delete(m.open, d.ID)
	if d.Refusal != nil {
		m.refused[d.ID] = true
		if m.cell.Knows(d.ID) {
			t.Fatalf("%v was refused and is still known", d.ID)
		}
		return
	}
	if m.refused[d.ID] && !d.Moved {
		t.Fatalf("%v was assigned after its refusal", d.ID)
	}
	m.placed[d.ID] = r
	m.stages[d.ID] = 0
	for _, name := range []string{d.Assignment.Prefill, d.Assignment.Decode} {
		e := m.cell.byName[name]
		kept := !r.NeedPrefill && name == r.Kept
		if e == nil || (!kept && (e.leaving || e.health.ejected || e.changing)) || slices.Contains(r.Avoid, name) {
			t.Fatalf("%v was assigned to %s, which must get nothing", d.ID, name)
		}
	}
	if m.cell.policy == PolicyPredictive {
		m.checkClaim(t, m.cell.claims[d.ID])
	}
}

// checkClaim checks that, among the claims made before it, a slot is predicted to be free for
// a new claim, within the batch that every gap target allows.
func (m *cellModel) checkClaim(t rapid.TB, cl *claim) {
	decode := &cl.decode.decode
	running := decode.foreign
	for _, o := range decode.claims[:slices.Index(decode.claims, cl)] {
		if o.release > cl.decodeAt {
			running++
		}
	}
	if capacity := cl.decode.capacity(cl.batch); running+1 > capacity {
		t.Fatalf("%d requests predicted on %s with room for %d", running+1, cl.decode.name, capacity)
	}
}

// check holds after every input.
func (m *cellModel) check(t rapid.TB) {
	held := map[*claim]bool{}
	for _, cl := range m.cell.claims {
		held[cl] = true
	}
	for _, e := range m.cell.byName {
		var tokens int64
		for _, cl := range e.prefill.work {
			tokens += cl.prefillTokens
			if !held[cl] {
				t.Fatalf("%s has prefill work of no claim", e.name)
			}
		}
		if tokens != e.prefill.tokens || tokens < 0 {
			t.Fatalf("%s counts %d prefill tokens, has %d", e.name, e.prefill.tokens, tokens)
		}
		for _, cl := range e.decode.claims {
			if !held[cl] {
				t.Fatalf("%s has a slot of no claim", e.name)
			}
		}
		for _, s := range e.link.spans {
			if !held[s.claim] {
				t.Fatalf("%s has link time of no claim", e.name)
			}
		}
		if e.decode.foreign < 0 || !slices.IsSorted(e.decode.releases) || len(e.decode.releases) != len(e.decode.claims) {
			t.Fatalf("%s: decode slots are inconsistent", e.name)
		}
	}
	for _, n := range m.cell.roles {
		if 2*n.ejected > n.total {
			t.Fatalf("%d of %d ejected", n.ejected, n.total)
		}
	}
	for id := range m.open {
		if !m.cell.Knows(id) {
			t.Fatalf("%v waits and is not known", id)
		}
	}
	if want := len(m.open); m.cell.Queued() != want {
		t.Fatalf("%d queued, %d wait", m.cell.Queued(), want)
	}
	if m.cell.urgent.length+m.cell.mayWait.length+len(m.cell.moves) != m.cell.Queued() {
		t.Fatal("queues disagree with their index")
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

func pick[V any](t *rapid.T, from map[ident.RequestID]V) ident.RequestID {
	ids := slices.SortedFunc(maps.Keys(from), func(a, b ident.RequestID) int { return int(a.Seq) - int(b.Seq) })
	if len(ids) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *cellModel) actions() map[string]func(*rapid.T) {
	name := func(t *rapid.T) string {
		return rapid.SampledFrom(slices.Sorted(maps.Keys(m.endpoints))).Draw(t, "endpoint")
	}
	return map[string]func(*rapid.T){
		"place": func(t *rapid.T) {
			m.seq++
			vm := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "vm")
			r := drawRequest(t, testID(vm, m.seq))
			m.open[r.ID] = r
			m.step(t, PlaceInput{Request: r})
		},
		"placeAgain": func(t *rapid.T) {
			id := pick(t, m.open)
			m.step(t, PlaceInput{Request: m.open[id]})
		},
		"cancel": func(t *rapid.T) {
			id := pick(t, m.open)
			delete(m.open, id)
			m.step(t, CancelInput{ID: id})
		},
		"progress": func(t *rapid.T) {
			id := pick(t, m.placed)
			stage := Stage(rapid.IntRange(int(StagePrefillDone), int(StageReleased)).Draw(t, "stage"))
			m.stages[id] = max(m.stages[id], stage)
			if stage == StageReleased {
				delete(m.placed, id)
			}
			m.step(t, ProgressInput{ID: id, Stage: stage})
		},
		"reassign": func(t *rapid.T) {
			id := pick(t, m.placed)
			r := m.placed[id]
			cl := m.cell.claims[id]
			if cl == nil {
				t.Skip("expired")
			}
			failed := cl.assignment.Decode
			r.NeedPrefill = m.stages[id] != StagePrefillDone
			r.Kept = cl.assignment.Prefill
			r.Avoid = []string{failed}
			delete(m.placed, id)
			m.open[id] = r
			m.step(t, ReassignInput{Request: r, Failed: failed, Started: m.stages[id] >= StageTransferDone})
		},
		"load": func(t *rapid.T) {
			l := endpoint.Load{Running: rapid.IntRange(0, 6).Draw(t, "running"), Role: rapid.SampledFrom([]string{"", "leaving", "prefill", "decode"}).Draw(t, "role")}
			l.Adapters = rapid.SampledFrom([][]string{nil, {"style"}}).Draw(t, "adapters")
			m.step(t, LoadInput{Endpoint: name(t), Load: l})
		},
		"orderDone": func(t *rapid.T) { m.step(t, OrderDoneInput{Endpoint: name(t), Failed: rapid.Bool().Draw(t, "failed")}) },
		"silent":    func(t *rapid.T) { m.step(t, SilentInput{Endpoint: name(t)}) },
		"cache": func(t *rapid.T) {
			e := endpoint.CacheEvent{
				Seq:     rapid.Uint64Range(1, 50).Draw(t, "seq"),
				Piece:   rapid.Uint64Range(1, 6).Draw(t, "piece"),
				Present: rapid.Bool().Draw(t, "present"),
			}
			m.step(t, CacheInput{Endpoint: name(t), Events: []endpoint.CacheEvent{e}})
		},
		"drain": func(t *rapid.T) {
			n := name(t)
			e := m.endpoints[n]
			e.Leaving = !e.Leaving
			m.endpoints[n] = e
			m.step(t, ConfigurationInput{Model: testModel, Endpoints: m.endpoints})
		},
		"remove": func(t *rapid.T) {
			if len(m.endpoints) < 4 {
				t.Skip("few left")
			}
			delete(m.endpoints, name(t))
			m.step(t, ConfigurationInput{Model: testModel, Endpoints: m.endpoints})
		},
		"time": func(t *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(t, "ticks") {
				m.now = m.now.Add(TickPeriod)
				m.step(t, TickInput{})
			}
		},
		"ownerChange": func(t *rapid.T) { m.changeOwner(t) },
		"vmGone": func(t *rapid.T) {
			gone := ident.VM{Name: "v2", Incarnation: 1}
			for _, set := range []map[ident.RequestID]Request{m.open, m.placed} {
				maps.DeleteFunc(set, func(id ident.RequestID, _ Request) bool { return id.VM == gone })
			}
			m.step(t, MembersInput{Members: []membership.Member{{VM: gone, State: membership.Gone}}})
		},
		"": func(t *rapid.T) { m.check(t) },
	}
}

func TestCellKeepsItsClaimsExact(t *testing.T) {
	for _, policy := range []string{PolicyPredictive, PolicyRoundRobin, PolicyLeastLoaded} {
		t.Run(policy, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				endpoints := testEndpoints(rapid.IntRange(1, 3).Draw(t, "p"), rapid.IntRange(1, 4).Draw(t, "d"), rapid.IntRange(1, 5).Draw(t, "slots"))
				m := newCellModel(policy, endpoints)
				t.Repeat(m.actions())
				m.finish(t)
			})
		})
	}
}

// changeOwner moves the cell to an owner that knows nothing: callers bring their assignments
// and ask their open questions again.
func (m *cellModel) changeOwner(t *rapid.T) {
	former := m.cell
	m.cell = NewCell(former.policy)
	m.cell.AllowOrders()
	m.step(t, ConfigurationInput{Model: testModel, Endpoints: m.endpoints})
	for id, r := range m.placed {
		cl := former.claims[id]
		_, known := m.endpoints[claimDecode(cl)]
		if cl == nil || !known {
			delete(m.placed, id)
			continue
		}
		in := RestoreInput{Request: r, Assignment: cl.assignment, Stage: cl.stage, Elapsed: m.now.Sub(cl.assigned)}
		m.step(t, in)
		m.step(t, in)
		if got := m.cell.claims[id]; got == nil || got.assignment != cl.assignment {
			t.Fatalf("%v was not restored", id)
		}
	}
	for _, r := range m.open {
		r.Kept, r.NeedPrefill = "", true
		m.open[r.ID] = r
		m.step(t, PlaceInput{Request: r})
	}
}

func claimDecode(cl *claim) string {
	if cl == nil {
		return ""
	}
	return cl.assignment.Decode
}

// finish ends all requests and checks that everything was given back.
func (m *cellModel) finish(t rapid.TB) {
	for len(m.open) > 0 {
		m.now = m.now.Add(time.Second)
		m.step(t, TickInput{})
	}
	for id := range m.placed {
		m.step(t, ProgressInput{ID: id, Stage: StageReleased})
	}
	if n := len(m.cell.claims); n != 0 {
		t.Fatalf("%d claims are left", n)
	}
	for _, e := range m.cell.byName {
		if len(e.prefill.work)+len(e.decode.claims)+len(e.link.spans) != 0 || e.prefill.tokens != 0 {
			t.Fatalf("%s still holds something", e.name)
		}
	}
}
