package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// claimSlots claims n decode slots of an endpoint for requests with the given output length.
func claimSlots(c *Cell, now clock.Instant, decode string, n int, output int64) {
	for range n {
		r := benchRequest(uint64(len(c.claims)) + 1<<32)
		r.MaxOutputTokens = output
		in := RestoreInput{Request: r, Assignment: Assignment{Prefill: "p0", Decode: decode}, Stage: StageTransferDone}
		c.Step(now, in)
	}
}

// queuePrefill adds a prompt of the given length to an endpoint's prefill queue.
func queuePrefill(c *Cell, now clock.Instant, prefill string, tokens int64) {
	r := benchRequest(uint64(len(c.claims)) + 1<<33)
	r.PromptTokens = tokens
	c.Step(now, RestoreInput{Request: r, Assignment: Assignment{Prefill: prefill, Decode: "d0"}})
}

// Each case prepares a cell of two prefill and two decode endpoints with two slots each, and
// states the expected assignment, wait or refusal.
func TestChooseEndpoints(t *testing.T) {
	const now = clock.Instant(time.Hour)
	for _, c := range []struct {
		name            string
		prepare         func(*Cell)
		change          func(*Request)
		prefill, decode string
		waits           bool
		refused         string
	}{
		{name: "first by name if all endpoints are equal", prefill: "p0", decode: "d0"},
		{
			name:    "decode endpoint with the smaller batch",
			prepare: func(c *Cell) { claimSlots(c, now, "d0", 1, 400) },
			prefill: "p0", decode: "d1",
		},
		{
			name:    "prefill endpoint with the shorter queue",
			prepare: func(c *Cell) { queuePrefill(c, now, "p0", 700) },
			prefill: "p1", decode: "d1",
		},
		{
			name: "cached prefix decides between equal queues",
			prepare: func(c *Cell) {
				c.Step(now, CacheInput{Endpoint: "p1", Events: []endpoint.CacheEvent{{Seq: 1, Piece: 3, Present: true}}})
			},
			change:  func(r *Request) { r.Pieces, r.PromptTokens = []uint64{3}, 4000 },
			prefill: "p1", decode: "d0",
		},
		{
			name: "evicted prefix is ignored",
			prepare: func(c *Cell) {
				c.Step(now, CacheInput{Endpoint: "p1", Events: []endpoint.CacheEvent{{Seq: 1, Piece: 3, Present: true}, {Seq: 2, Piece: 3}}})
			},
			change:  func(r *Request) { r.Pieces, r.PromptTokens = []uint64{3}, 4000 },
			prefill: "p0", decode: "d0",
		},
		{
			name: "waits for a busy endpoint with the prefix instead of recomputing it",
			prepare: func(c *Cell) {
				c.Step(now, CacheInput{Endpoint: "p1", Events: []endpoint.CacheEvent{{Seq: 1, Piece: 3, Present: true}, {Seq: 2, Piece: 4, Present: true}}})
				queuePrefill(c, now, "p1", 2000)
			},
			change: func(r *Request) { r.Pieces, r.PromptTokens = []uint64{3, 4}, 4100 },
			waits:  true,
		},
		{
			name:    "endpoints that failed the request are avoided",
			change:  func(r *Request) { r.Avoid = []string{"p0", "d0"} },
			prefill: "p1", decode: "d1",
		},
		{
			name:    "local endpoints first",
			prepare: func(c *Cell) { moveToOtherDataCentre(c, "p0", "d0") },
			prefill: "p1", decode: "d1",
		},
		{
			name:    "waits if no slot becomes free in time",
			prepare: func(c *Cell) { claimSlots(c, now, "d0", 2, 1000); claimSlots(c, now, "d1", 2, 1000) },
			waits:   true,
		},
		{
			name:    "slot that is predicted to become free in time",
			prepare: func(c *Cell) { claimSlots(c, now, "d0", 2, 1000); claimSlots(c, now, "d1", 2, 8) },
			prefill: "p0", decode: "d1",
		},
		{
			name: "last slots are reserved for urgent requests",
			prepare: func(c *Cell) {
				c.lastUrgentAt, c.urgentRecently = now, true
				for _, e := range c.decodes {
					e.config.Slots = 4
				}
				claimSlots(c, now, "d0", 3, 1000)
				claimSlots(c, now, "d1", 3, 1000)
			},
			change: func(r *Request) { r.Class = configuration.MayWait },
			waits:  true,
		},
		{
			name:    "refused if no batch can meet the gap target",
			change:  func(r *Request) { r.Gap = 5 * time.Millisecond },
			refused: "no endpoint can meet the gap target",
		},
		{
			name:    "refused if the prompt cannot be computed in time",
			change:  func(r *Request) { r.PromptTokens = 40_000 },
			refused: "predicted first token in 3.022s",
		},
		{
			name:    "refused if no endpoint is left",
			change:  func(r *Request) { r.Avoid = []string{"d0", "d1"} },
			refused: "no endpoint can serve the request: avoided=2",
		},
		{
			name:    "kept prefill result needs a decode endpoint only",
			change:  func(r *Request) { r.NeedPrefill, r.PrefillHolder, r.Avoid = false, "p1", []string{"d0"} },
			prefill: "p1", decode: "d1",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			cell := NewCell(PolicyPredictive)
			cell.Step(now-clock.Instant(time.Second), ConfigurationInput{Model: testModel, Endpoints: testEndpoints(2, 2, 2)})
			if c.prepare != nil {
				c.prepare(cell)
			}
			r := benchRequest(1)
			r.Pieces = nil
			if c.change != nil {
				c.change(&r)
			}
			actions := cell.Step(now, PlaceInput{Request: r})
			if len(actions) == 0 {
				if !c.waits {
					t.Fatal("request is queued, want a decision")
				}
				return
			}
			d := actions[0].Decision
			if d.Refusal != nil {
				if d.Refusal.Message != c.refused || d.Refusal.RetryAfter <= 0 {
					t.Fatalf("unexpected refusal: %+v", d.Refusal)
				}
				return
			}
			if c.waits || c.refused != "" || d.Assignment.Prefill != c.prefill || d.Assignment.Decode != c.decode {
				t.Fatalf("unexpected assignment: prefill %s, decode %s", d.Assignment.Prefill, d.Assignment.Decode)
			}
		})
	}
}

func moveToOtherDataCentre(c *Cell, names ...string) {
	for _, name := range names {
		c.replicas[name].dataCentre = c.assignDataCentreNumber("other")
	}
}

// Transfers that share a link must not overlap. A gap before a later transfer is used if it is
// long enough.
func TestEarliestStartOnTwoLinks(t *testing.T) {
	var a, b linkSchedule
	a.add(linkSpan{start: 10, end: 20, claim: &claim{}})
	b.add(linkSpan{start: 22, end: 30, claim: &claim{}})
	for _, c := range []struct {
		ready clock.Instant
		d     time.Duration
		want  clock.Instant
	}{{0, 10, 0}, {0, 11, 30}, {12, 2, 20}, {12, 5, 30}, {40, 5, 40}} {
		if got := earliestStart(&a, &b, c.ready, c.d); got != c.want {
			t.Errorf("ready at %d, duration %d: got start %d, want %d", c.ready, c.d, got, c.want)
		}
	}
}

func TestLargeCellsAreSharded(t *testing.T) {
	doc := configuration.Document{
		DataCentres: map[string]configuration.DataCentre{"dc": {Region: "r"}},
		Models:      map[string]configuration.Model{"m": testModel},
		Endpoints:   testEndpoints(150, 150, 4),
	}
	l := newLayout(&configuration.Snapshot{Version: 3, Document: doc})
	if len(l.cells) != 3 {
		t.Fatalf("got %d cells, want 3 for 300 endpoints", len(l.cells))
	}
	seen, used := map[string]bool{}, map[string]int{}
	for _, c := range l.cells {
		for name := range c.endpoints {
			if seen[name] {
				t.Fatalf("endpoint %s is in two cells", name)
			}
			seen[name] = true
		}
	}
	for seq := range uint64(300) {
		used[l.cellFor("m", "r", ident.RequestID{VM: ident.VM{Name: "v"}, Seq: seq}).name]++
	}
	if len(seen) != 300 || len(used) != 3 {
		t.Fatalf("%d endpoints in cells, requests per cell %v; want 300 endpoints and 3 cells", len(seen), used)
	}
	if other := l.cellFor("m", "elsewhere", ident.RequestID{}); other == nil || other.region != "r" {
		t.Fatalf("got cell %+v, want one in the region that has the model", other)
	}
	if got := fmt.Sprint(l.cellFor("unknown", "r", ident.RequestID{})); got != "<nil>" {
		t.Fatalf("cell of an unknown model: got %s, want none", got)
	}
}
