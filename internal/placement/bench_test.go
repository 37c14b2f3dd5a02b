package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// busyCell returns a cell of n endpoints whose decode endpoints are about 80% full.
func busyCell(n int) (*Cell, clock.Instant) {
	const slots, fill = 20, 16
	c := NewCell(PolicyPredictive)
	now := clock.Instant(1)
	c.Step(now, ConfigurationInput{Model: testModel, Endpoints: testEndpoints(n/2, n/2, slots)})
	now = now.Add(time.Second)
	c.Step(now, TickInput{})
	for i := range n / 2 * fill {
		r := benchRequest(uint64(i + 1))
		in := RestoreInput{
			Request:    r,
			Assignment: Assignment{Prefill: fmt.Sprintf("p%d", i%(n/2)), Decode: fmt.Sprintf("d%d", i%(n/2))},
			Stage:      StageTransferDone,
		}
		c.Step(now, in)
	}
	for i := range n / 2 {
		r := benchRequest(uint64(1_000_000 + i))
		in := RestoreInput{
			Request:    r,
			Assignment: Assignment{Prefill: fmt.Sprintf("p%d", i), Decode: fmt.Sprintf("d%d", i)},
			Elapsed:    time.Duration(i%7) * time.Millisecond,
		}
		if i%3 > 0 {
			c.Step(now, in)
		}
	}
	return c, now
}

func benchRequest(seq uint64) Request {
	return Request{
		ID:              ident.RequestID{VM: ident.VM{Name: "v", Incarnation: 1}, Seq: seq},
		Workspace:       fmt.Sprint(seq % 7),
		Model:           "m",
		Class:           configuration.Urgent,
		PromptTokens:    1500 + int64(seq%5)*700,
		MaxOutputTokens: 400,
		Pieces:          []uint64{seq % 50, 1000 + seq%300, 100_000 + seq},
		DataCentre:      "dc",
		FirstToken:      820 * time.Millisecond,
		Gap:             57 * time.Millisecond,
		Deadline:        time.Minute,
		NeedPrefill:     true,
	}
}

// BenchmarkDecision places one request among n endpoints and releases it again. The reported
// percentiles cover the placement only.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{128, 500, 2000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			c, now := busyCell(n)
			durations := make([]time.Duration, 0, b.N)
			seq := uint64(5_000_000)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				r := benchRequest(seq)
				start := time.Now()
				out := c.Step(now, PlaceInput{Request: r})
				durations = append(durations, time.Since(start))
				if len(out) != 1 || out[0].Decision == nil || out[0].Decision.Refusal != nil {
					b.Fatalf("not placed: %+v", out)
				}
				c.Step(now, ProgressInput{ID: r.ID, Stage: StageReleased})
			}
			slices.Sort(durations)
			b.ReportMetric(float64(durations[len(durations)/2].Nanoseconds()), "p50-ns")
			b.ReportMetric(float64(durations[len(durations)*99/100].Nanoseconds()), "p99-ns")
		})
	}
}

// The number of allocations per decision must not grow with the number of endpoints.
func TestDecisionAllocationsIndependentOfFleetSize(t *testing.T) {
	allocations := func(n int) float64 {
		c, now := busyCell(n)
		seq := uint64(5_000_000)
		return testing.AllocsPerRun(200, func() {
			seq++
			r := benchRequest(seq)
			c.Step(now, PlaceInput{Request: r})
			c.Step(now, ProgressInput{ID: r.ID, Stage: StageReleased})
		})
	}
	small, large := allocations(20), allocations(1000)
	if large > small+4 {
		t.Fatalf("%v allocations with 20 endpoints, %v with 1000; want at most 4 more", small, large)
	}
}
